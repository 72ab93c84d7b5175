/** The fault scenarios. Each combines faults, and checks by counters that they had an effect. */
import { controllerScenarios } from './controller-scenarios.js';
import { failoverScenarios } from './failover-scenarios.js';
import { machineScenarios } from './machine-scenarios.js';
import { responseScenarios } from './response-scenarios.js';
import { stateStoreScenarios } from './state-store-scenarios.js';
import { workloadScenarios } from './workload-scenarios.js';

/** Scenarios about the state store, controllers, machines and workloads. */
export const faultScenarios = [
  ...stateStoreScenarios,
  ...controllerScenarios,
  ...machineScenarios,
  ...workloadScenarios,
];

/** All fault scenarios, including those about failovers and about responses to users. */
export const allScenarios = [...faultScenarios, ...failoverScenarios, ...responseScenarios];
