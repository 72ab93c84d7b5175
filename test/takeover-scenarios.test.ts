import { answerScenarios } from './simulation/answer-scenarios.js';
import { testScenarios } from './simulation/play-scenario.js';
import { takeoverScenarios } from './simulation/takeover-scenarios.js';

testScenarios('meetings of troubles with a takeover', takeoverScenarios);
testScenarios('meetings of troubles with what users are told', answerScenarios);
