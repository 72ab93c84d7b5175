/** All fault scenarios in a deployment with short leases, two zones and no machine at the start. */
import {
  singleControllerZone,
  withShortLeases,
} from './simulation/scenarios/short-lease-scenarios.js';
import { allScenarios } from './simulation/scenarios/fault-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';

const SEEDS = 1;

testScenarios(
  'keeps the rules and finishes all jobs with short leases',
  allScenarios.map(withShortLeases),
  SEEDS,
);
testScenarios(
  'keeps the rules and finishes all jobs with short leases and a zone with one controller',
  singleControllerZone,
  SEEDS,
);
