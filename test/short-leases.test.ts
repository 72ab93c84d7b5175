/** All fault scenarios in a deployment with short leases, two zones and no machine at the start. */
import { singleControllerZone, withShortLeases } from './simulation/deployments/short-leases.js';
import { failoverScenarios } from './simulation/scenarios/failover-scenarios.js';
import { faultScenarios } from './simulation/scenarios/fault-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';
import { responseScenarios } from './simulation/scenarios/response-scenarios.js';

const SEEDS = 1;
const scenarios = [...faultScenarios, ...failoverScenarios, ...responseScenarios];

testScenarios(
  'keeps the rules and finishes all jobs with short leases',
  scenarios.map(withShortLeases),
  SEEDS,
);
testScenarios(
  'keeps the rules and finishes all jobs with short leases and a zone with one controller',
  singleControllerZone,
  SEEDS,
);
