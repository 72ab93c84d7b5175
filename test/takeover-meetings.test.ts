import { answerMeetings } from './world/answer-meetings.js';
import { testMeetings } from './world/play-meeting.js';
import { takeoverMeetings } from './world/takeover-meetings.js';

testMeetings('meetings of troubles with a takeover', takeoverMeetings);
testMeetings('meetings of troubles with what users are told', answerMeetings);
