/** Exchange of messages between the controllers of a deployment. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { TerminalState } from '../wire/jobs.js';
import { decodePeerMessage } from './message-codec.js';
import type { ForwardedRequest, JobProgress, PeerMessage, PeerStatus } from './message.js';
import { PeerPublisher } from './peer-publisher.js';
import { PeerStatuses } from './peer-statuses.js';
import { RequestForwarder, type ReplyHandler } from './request-forwarder.js';

/** Number of statuses that a controller sends in one heartbeat interval. */
const STATUSES_PER_HEARTBEAT = 3;
/** Announcements are delayed by one heartbeat interval divided by this number. */
const ANNOUNCEMENTS_PER_HEARTBEAT = 15;

/** Handlers of the messages of the other controllers. */
export interface PeerEvents {
  /** A peer has accepted a job. */
  jobAccepted(id: string): void;
  /** A peer has sent its status. */
  statusReceived(status: PeerStatus): void;
  /** A peer has announced the terminal state of a job. */
  jobEnded(id: string, state: TerminalState): void;
  /** The leader has sent the new progress of a job. */
  jobProgressed(progress: JobProgress): void;
  /** A peer has forwarded a request, which must be answered on this node and not be forwarded again. */
  requestForwarded(
    method: string,
    path: string,
    body: Buffer,
    done: (status: number, body: Buffer) => void,
  ): void;
}

/** The other controllers, and the intervals at which messages are sent to them. */
export interface PeersOptions {
  /** Hosts of the other controllers. */
  hosts: readonly string[];
  /** Interval in milliseconds between two messages with this controller's status. */
  statusIntervalMs: number;
  /**
   * Delay of an announcement in milliseconds. Later announcements within the delay are sent in the same
   * message.
   */
  announcementDelayMs: number;
}

/** Derives the options from the settings. */
export function peersOptions({ platform, heartbeatIntervalMs }: Settings): PeersOptions {
  return {
    hosts: platform.peers.map((peer) => peer.host),
    statusIntervalMs: heartbeatIntervalMs / STATUSES_PER_HEARTBEAT,
    announcementDelayMs: heartbeatIntervalMs / ANNOUNCEMENTS_PER_HEARTBEAT,
  };
}

/**
 * Sends this controller's status and announcements to the other controllers, and passes their messages to
 * the handlers. Messages may be lost: no invariant depends on their delivery.
 */
export class Peers {
  /** Number of messages and connections that were dropped as unreadable since the process started. */
  unreadableMessages = 0;
  private readonly statuses: PeerStatuses;
  private readonly publisher: PeerPublisher;
  private readonly forwarder: RequestForwarder;

  /** @param ownStatus - returns the current status of this controller; called for each message that needs it */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly options: PeersOptions,
    private readonly ownStatus: () => PeerStatus,
    private readonly events: PeerEvents,
  ) {
    const { hosts, announcementDelayMs } = options;
    this.statuses = new PeerStatuses(() => eventLoop.now());
    this.publisher = new PeerPublisher(eventLoop, hosts, announcementDelayMs);
    this.forwarder = new RequestForwarder(eventLoop, (host, request) =>
      this.publisher.sendTo(host, { request }),
    );
  }

  /** Starts to send this controller's status to the others at regular intervals. */
  start(): void {
    this.eventLoop.every(this.options.statusIntervalMs, 'peer-status', () =>
      this.publisher.publish([], this.ownStatus()),
    );
  }

  // ---- sending

  /** Announces the terminal state of a job to the others within `announcementDelayMs`. */
  announceJobEnd(id: string, state: TerminalState): void {
    this.publisher.announceJobEnd(id, state);
  }

  /** Announces to the others within `announcementDelayMs` that this controller has accepted a job. */
  announceJobAccepted(id: string): void {
    this.publisher.announceJobAccepted(id);
  }

  /** Sends the progress of jobs and all pending announcements to the others. */
  publishProgress(progress: readonly JobProgress[]): void {
    this.publisher.publish(progress, null);
  }

  /** Forwards a request to the peer on `host`. `done` gets null if no reply arrives within `timeoutMs`. */
  forward(
    host: string,
    method: string,
    path: string,
    body: Buffer,
    timeoutMs: number,
    done: ReplyHandler,
  ): void {
    const request = { from: this.ownStatus().host, method, path, body };
    this.forwarder.forward(host, request, timeoutMs, done);
  }

  // ---- receiving

  /** Handles a message of another controller. Drops, logs and counts it if it cannot be decoded. */
  receive(bytes: Buffer): void {
    let message: PeerMessage;
    try {
      message = decodePeerMessage(bytes);
    } catch (err) {
      this.dropUnreadable(err);
      return;
    }
    this.dispatch(message);
  }

  /** Logs and counts a message or a connection of another controller that was dropped as unreadable. */
  dropUnreadable(err: unknown): void {
    this.unreadableMessages++;
    this.eventLoop.log.warn({ err }, 'unreadable peer message dropped');
  }

  private dispatch(message: PeerMessage): void {
    const { status, request, reply } = message;
    if (status !== null) {
      this.statuses.record(status);
      this.events.statusReceived(status);
    }
    if (request !== null) this.answerForwardedRequest(request);
    if (reply !== null) this.forwarder.handleReply(reply);
    for (const id of message.accepted) this.events.jobAccepted(id);
    for (const end of message.finals) this.events.jobEnded(end.id, end.state);
    for (const progress of message.progress) this.events.jobProgressed(progress);
  }

  private answerForwardedRequest({ from, id, method, path, body }: ForwardedRequest): void {
    this.events.requestForwarded(method, path, body, (status, replyBody) => {
      this.publisher.sendTo(from, { reply: { id, status, body: replyBody } });
    });
  }

  // ---- statuses of the peers

  /**
   * Returns the host of the peer that the state store served most recently, or null if it served no peer
   * within the last `maxAgeMs`.
   */
  hostServedByStateStore(maxAgeMs: number): string | null {
    return this.statuses.hostServedByStateStore(maxAgeMs);
  }

  /** Returns whether the state store has served a peer within the last `maxAgeMs`. */
  stateServedElsewhere(maxAgeMs: number): boolean {
    return this.hostServedByStateStore(maxAgeMs) !== null;
  }

  /** Returns the statuses that arrived less than `maxAgeMs` ago. */
  recentStatuses(maxAgeMs: number): PeerStatus[] {
    return this.statuses.recent(maxAgeMs);
  }
}
