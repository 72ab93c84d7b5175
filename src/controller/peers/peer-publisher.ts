/** Sending of messages to the other controllers. */
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

/** Largest number of entries in each list of one message. */
const MAX_ITEMS_PER_MESSAGE = 200;

/** Encodes and sends messages. Messages may be lost: no invariant depends on their delivery. */
export class PeerPublisher {
  private endedJobs: JobEnd[] = [];
  private acceptedJobs: string[] = [];
  private announcementScheduled = false;

  /**
   * @param hosts - the hosts of all other controllers
   * @param announcementDelayMs - the delay of an announcement in milliseconds; later announcements within the
   *   delay are sent in the same message
   */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly hosts: readonly string[],
    private readonly announcementDelayMs: number,
  ) {}

  /** Announces the terminal state of a job to all other controllers. */
  announceJobEnd(id: string, state: TerminalState): void {
    this.endedJobs.push({ id, state });
    this.scheduleAnnouncement();
  }

  /** Announces to all other controllers that this one has accepted a job. */
  announceJobAccepted(id: string): void {
    this.acceptedJobs.push(id);
    this.scheduleAnnouncement();
  }

  /**
   * Sends the pending announcements, the progress of jobs and a status to all other controllers, in as many
   * messages as `MAX_ITEMS_PER_MESSAGE` requires.
   */
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

  /** Sends a message that contains only the given parts to the controller on `host`. */
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
