/** All fault scenarios in a deployment with short leases, two zones and no machines at the start. */
import {
  singleControllerZone,
  withShortLeases,
} from './simulation/scenarios/short-lease-scenarios.js';
import { allScenarios } from './simulation/scenarios/fault-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';

const SEEDS = 1;

testScenarios(
  'the service violates no rule and finishes all jobs with short leases',
  allScenarios.map(withShortLeases),
  SEEDS,
);
testScenarios(
  'the service violates no rule and finishes all jobs with short leases and one controller in a zone',
  singleControllerZone,
  SEEDS,
);
