/**
 * Faults that coincide: most violations of rules were found where two faults met. Each scenario is brought
 * about with several seeds, and the rules are checked after every step. More seeds: `SCENARIO_SEEDS` and
 * `SCENARIO_FIRST`.
 */
import { faultScenarios } from './simulation/scenarios/fault-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';

testScenarios('keeps the rules and finishes all jobs under coinciding faults', faultScenarios);
