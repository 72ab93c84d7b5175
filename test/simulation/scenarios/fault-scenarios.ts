/** All fault scenarios. Each brings about a combination of faults, and shows by counters that it did. */
import { controllerScenarios } from './controller-scenarios.js';
import { failoverScenarios } from './failover-scenarios.js';
import { machineScenarios } from './machine-scenarios.js';
import { responseScenarios } from './response-scenarios.js';
import { stateStoreScenarios } from './state-store-scenarios.js';
import { workloadScenarios } from './workload-scenarios.js';

/** Cancellations, outages, unresponsive machines and late messages, around changes of the leader. */
export const faultScenarios = [
  ...stateStoreScenarios,
  ...controllerScenarios,
  ...machineScenarios,
  ...workloadScenarios,
];

/** All of them: also what is under way at a failover, and what users are told. */
export const allScenarios = [...faultScenarios, ...failoverScenarios, ...responseScenarios];
