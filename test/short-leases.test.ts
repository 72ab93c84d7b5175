import { answerMeetings } from './world/answer-meetings.js';
import { meetings } from './world/meetings.js';
import { testMeetings } from './world/play-meeting.js';
import { singleControllerZone, withShortLeases } from './world/short-leases.js';
import { takeoverMeetings } from './world/takeover-meetings.js';

// The whole table on a deployment with short leases, two zones and no machine at the start. More
// seeds: MEETING_SEEDS and MEETING_FIRST.
const SEEDS = 1;
const table = [...meetings, ...takeoverMeetings, ...answerMeetings];

testMeetings('short leases: meetings of troubles', table.map(withShortLeases), SEEDS);
testMeetings('short leases: the zone with one controller', singleControllerZone, SEEDS);
