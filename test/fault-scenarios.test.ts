/**
 * Scenarios of coinciding faults. They have found most of the rule violations. Each scenario is played with
 * several seeds, and the rules are checked after every step. `SCENARIO_SEEDS` sets the number of seeds,
 * `SCENARIO_FIRST` the first seed.
 */
import { faultScenarios } from './simulation/scenarios/fault-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';

testScenarios(
  'the service violates no rule and finishes all jobs in the fault scenario:',
  faultScenarios,
);
