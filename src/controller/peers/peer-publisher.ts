/** Sends this controller's messages to the others. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { TerminalState } from '../wire/jobs.js';
import { encodePeerMessage } from './message-codec.js';
import {
  EMPTY_MESSAGE,
  type JobEnd,
  type JobProgress,
  type PeerMessage,
  type PeerStatus,
} from './message.js';

/** Items of each kind that one message carries at most. */
const MAX_ITEMS_PER_MESSAGE = 200;

/** Encodes and sends messages. Delivery is best effort: no invariant depends on a message. */
export class PeerPublisher {
  private endedJobs: JobEnd[] = [];
  private acceptedJobs: string[] = [];
  private announcementScheduled = false;

  /** `announcementDelayMs`: how long an announcement waits for others to share its message. */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly hosts: readonly string[],
    private readonly announcementDelayMs: number,
  ) {}

  /** Announces a job's end to all others. */
  announceJobEnd(id: string, state: TerminalState): void {
    this.endedJobs.push({ id, state });
    this.scheduleAnnouncement();
  }

  /** Announces to all others that this controller has accepted a job. */
  announceJobAccepted(id: string): void {
    this.acceptedJobs.push(id);
    this.scheduleAnnouncement();
  }

  /** Sends the pending announcements to all others, with progress and a status, in as many messages as it takes. */
  publish(progress: readonly JobProgress[], status: PeerStatus | null): void {
    const { endedJobs, acceptedJobs } = this;
    this.endedJobs = [];
    this.acceptedJobs = [];
    const mostItems = Math.max(endedJobs.length, acceptedJobs.length, progress.length);
    let start = 0;
    do {
      const end = start + MAX_ITEMS_PER_MESSAGE;
      this.broadcast({
        ...EMPTY_MESSAGE,
        status: start === 0 ? status : null,
        finals: endedJobs.slice(start, end),
        accepted: acceptedJobs.slice(start, end),
        progress: progress.slice(start, end),
      });
      start = end;
    } while (start < mostItems);
  }

  /** Sends one controller a message with nothing but the given parts. */
  sendTo(host: string, parts: Partial<PeerMessage>): void {
    this.eventLoop.runtime.sendPeer(host, encodePeerMessage({ ...EMPTY_MESSAGE, ...parts }));
  }

  private scheduleAnnouncement(): void {
    if (this.announcementScheduled) return;
    this.announcementScheduled = true;
    this.eventLoop.after(this.announcementDelayMs, 'peer-announcement', () => {
      this.announcementScheduled = false;
      this.publish([], null);
    });
  }

  private broadcast(message: PeerMessage): void {
    const bytes = encodePeerMessage(message);
    for (const host of this.hosts) this.eventLoop.runtime.sendPeer(host, bytes);
  }
}
