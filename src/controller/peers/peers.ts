/** The exchange of messages between the controllers of a deployment. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { TerminalState } from '../wire/jobs.js';
import { decodePeerMessage } from './message-codec.js';
import type { ForwardedRequest, JobProgress, PeerMessage, PeerStatus } from './message.js';
import { PeerPublisher } from './peer-publisher.js';
import { PeerStatuses } from './peer-statuses.js';
import { RequestForwarder, type ReplyHandler } from './request-forwarder.js';

/** Statuses in a heartbeat interval. */
const STATUSES_PER_HEARTBEAT = 3;
/** Delays of an announcement in a heartbeat interval. */
const ANNOUNCEMENTS_PER_HEARTBEAT = 15;

/** What is done with the messages of the other controllers. */
export interface PeerEvents {
  /** A peer has accepted a job. */
  jobAccepted(id: string): void;
  /** A peer has sent its status. */
  statusReceived(status: PeerStatus): void;
  /** A peer knows how a job ended. */
  jobEnded(id: string, state: TerminalState): void;
  /** The leader has sent new counts of a job. */
  jobProgressed(progress: JobProgress): void;
  /** A peer has forwarded a request, which is answered here and not forwarded again. */
  requestForwarded(
    method: string,
    path: string,
    body: Buffer,
    done: (status: number, body: Buffer) => void,
  ): void;
}

/** Who the other controllers are, and how often they are told something. */
export interface PeersOptions {
  /** Hosts of the other controllers. */
  hosts: readonly string[];
  /** Time between two messages with this controller's status. */
  statusIntervalMs: number;
  /** How long an announcement waits for others to share its message. */
  announcementDelayMs: number;
}

/** The options that follow from the settings. */
export function peersOptions({ platform, heartbeatIntervalMs }: Settings): PeersOptions {
  return {
    hosts: platform.peers.map((peer) => peer.host),
    statusIntervalMs: heartbeatIntervalMs / STATUSES_PER_HEARTBEAT,
    announcementDelayMs: heartbeatIntervalMs / ANNOUNCEMENTS_PER_HEARTBEAT,
  };
}

/**
 * Publishes this controller's status and announcements to the others, and dispatches what they send.
 * No invariant depends on a message: each may be lost.
 */
export class Peers {
  /** Messages that could not be read, since the process began. */
  unreadableMessages = 0;
  private readonly statuses: PeerStatuses;
  private readonly publisher: PeerPublisher;
  private readonly forwarder: RequestForwarder;

  /** `ownStatus`: what this controller says of itself, asked anew for each message. */
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

  /** Begins to publish this controller's status at intervals. */
  start(): void {
    this.eventLoop.every(this.options.statusIntervalMs, 'peer-status', () =>
      this.publisher.publish([], this.ownStatus()),
    );
  }

  // ---- sending

  /** Announces a job's end to the others, in one message with what follows within a moment. */
  announceJobEnd(id: string, state: TerminalState): void {
    this.publisher.announceJobEnd(id, state);
  }

  /** Announces to the others that this controller has accepted a job. */
  announceJobAccepted(id: string): void {
    this.publisher.announceJobAccepted(id);
  }

  /** Sends the others the counts of jobs, with all pending announcements. */
  publishProgress(progress: readonly JobProgress[]): void {
    this.publisher.publish(progress, null);
  }

  /** Has a peer answer a request; `done` gets `null` if no reply has come within the time-out. */
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

  /** Takes a message of another controller; one that can't be read is dropped, logged and counted. */
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

  /** Logs and counts what came from another controller and can't be read. */
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

  // ---- what the peers say of themselves

  /** The peer that the state store served last, if within `maxAgeMs`. */
  hostServedByStateStore(maxAgeMs: number): string | null {
    return this.statuses.hostServedByStateStore(maxAgeMs);
  }

  /** The state store has served some peer within `maxAgeMs`. */
  stateServedElsewhere(maxAgeMs: number): boolean {
    return this.hostServedByStateStore(maxAgeMs) !== null;
  }

  /** The statuses that have arrived within `maxAgeMs`. */
  recentStatuses(maxAgeMs: number): PeerStatus[] {
    return this.statuses.recent(maxAgeMs);
  }
}
