import { meetings } from './world/meetings.js';
import { testMeetings } from './world/play-meeting.js';

// Most rules that were ever broken broke when two troubles met (operators' issue "Meetings of
// troubles"). Each meeting is brought about here, with the rules checked after every step.
testMeetings('meetings of troubles', meetings);
