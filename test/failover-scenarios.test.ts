/** Scenarios of faults that coincide with failovers, or with responses to users. */
import { failoverScenarios } from './simulation/scenarios/failover-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';
import { responseScenarios } from './simulation/scenarios/response-scenarios.js';

testScenarios(
  'the service violates no rule and finishes all jobs when faults coincide with failovers',
  failoverScenarios,
);
testScenarios('the service answers users consistently under coinciding faults', responseScenarios);
