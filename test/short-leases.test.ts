import { responseScenarios } from './simulation/scenarios/response-scenarios.js';
import { faultScenarios } from './simulation/scenarios/fault-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';
import { singleControllerZone, withShortLeases } from './simulation/deployments/short-leases.js';
import { failoverScenarios } from './simulation/scenarios/failover-scenarios.js';

// The whole table on a deployment with short leases, two zones and no machine at the start. More
// seeds: SCENARIO_SEEDS and SCENARIO_FIRST.
const SEEDS = 1;
const table = [...faultScenarios, ...failoverScenarios, ...responseScenarios];

testScenarios('short leases: meetings of troubles', table.map(withShortLeases), SEEDS);
testScenarios('short leases: the zone with one controller', singleControllerZone, SEEDS);
