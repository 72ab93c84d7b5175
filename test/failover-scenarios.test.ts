/** Faults that coincide with failovers, or with what users are told. */
import { failoverScenarios } from './simulation/scenarios/failover-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';
import { responseScenarios } from './simulation/scenarios/response-scenarios.js';

testScenarios(
  'keeps the rules and finishes all jobs when faults meet failovers',
  failoverScenarios,
);
testScenarios('answers users consistently under coinciding faults', responseScenarios);
