import { faultScenarios } from './simulation/scenarios/fault-scenarios.js';
import { testScenarios } from './simulation/scenarios/play-scenario.js';

// Most rules that were ever broken broke when two faults met (operators' issue "Meetings of
// troubles"). Each scenario is brought about here, with the rules checked after every step.
testScenarios('meetings of troubles', faultScenarios);
