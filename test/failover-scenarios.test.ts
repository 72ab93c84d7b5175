import { responseScenarios } from './simulation/scenarios/response-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';
import { failoverScenarios } from './simulation/scenarios/failover-scenarios.js';

testScenarios('meetings of troubles with a takeover', failoverScenarios);
testScenarios('meetings of troubles with what users are told', responseScenarios);
