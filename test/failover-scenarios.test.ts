/** Scenarios of faults that coincide with failovers, or with responses to users. */
import { failoverScenarios } from './simulation/scenarios/failover-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';
import { responseScenarios } from './simulation/scenarios/response-scenarios.js';

testScenarios(
  'the service violates no rule and finishes all jobs in the failover scenario:',
  failoverScenarios,
);
testScenarios(
  'the service answers users consistently in the response scenario:',
  responseScenarios,
);
