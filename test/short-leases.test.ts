import { answerScenarios } from './simulation/answer-scenarios.js';
import { faultScenarios } from './simulation/fault-scenarios.js';
import { testScenarios } from './simulation/play-scenario.js';
import { singleControllerZone, withShortLeases } from './simulation/short-leases.js';
import { takeoverScenarios } from './simulation/takeover-scenarios.js';

// The whole table on a deployment with short leases, two zones and no machine at the start. More
// seeds: SCENARIO_SEEDS and SCENARIO_FIRST.
const SEEDS = 1;
const table = [...faultScenarios, ...takeoverScenarios, ...answerScenarios];

testScenarios('short leases: meetings of troubles', table.map(withShortLeases), SEEDS);
testScenarios('short leases: the zone with one controller', singleControllerZone, SEEDS);
