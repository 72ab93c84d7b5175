/** All fault scenarios in a deployment with short leases, two zones and no machines at the start. */
import {
  singleControllerZone,
  withShortLeases,
} from './simulation/scenarios/short-lease-scenarios.js';
import { allScenarios } from './simulation/scenarios/fault-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';

const SEEDS = 1;

testScenarios(
  'with short leases, the service violates no rule and finishes all jobs in the scenario:',
  allScenarios.map(withShortLeases),
  SEEDS,
);
testScenarios(
  'with short leases and a single controller in a zone, the service violates no rule and finishes all jobs when',
  singleControllerZone,
  SEEDS,
);
