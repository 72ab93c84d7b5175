/** The exchange of news between the controllers of a deployment. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { TerminalState } from '../wire/jobs.js';
import { RequestForwarder, type ReplyHandler } from './request-forwarder.js';
import {
  decodePeerMessage,
  EMPTY_MESSAGE,
  encodePeerMessage,
  type ForwardedRequest,
  type JobEnd,
  type JobProgress,
  type PeerMessage,
  type PeerStatus,
} from './message.js';
import { PeerStatuses } from './peer-statuses.js';

/** What is done with the news of the other controllers. */
export interface PeerEvents {
  jobAccepted(id: string): void;
  statusReceived(status: PeerStatus): void;
  jobEnded(id: string, state: TerminalState): void;
  jobProgressed(p: JobProgress): void;
  /** To be answered here, and not passed on again. */
  requestForwarded(
    method: string,
    path: string,
    body: Buffer,
    done: (status: number, body: Buffer) => void,
  ): void;
}

/** Items of each kind that one message carries at most. */
const MAX_ITEMS_PER_MESSAGE = 200;

/** Tells the other controllers this one's news, and takes theirs. */
export class Peers {
  private readonly statuses: PeerStatuses;
  private readonly forwarder: RequestForwarder;
  private endedJobs: JobEnd[] = [];
  private acceptedJobs: string[] = [];
  private newsScheduled = false;
  private newsDelayMs = 0;
  /** Messages that could not be read, since the process began. */
  unreadableMessages = 0;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly hosts: string[],
    private readonly ownStatus: () => PeerStatus,
    private readonly events: PeerEvents,
  ) {
    this.statuses = new PeerStatuses(() => eventLoop.now());
    this.forwarder = new RequestForwarder(eventLoop, (host, request) =>
      this.sendTo(host, { request }),
    );
  }

  /** Begins to tell the own status every `statusMs`, and news within `newsMs`. */
  start(statusMs: number, newsMs: number): void {
    this.newsDelayMs = newsMs;
    this.eventLoop.every(statusMs, 'peer-status', () => this.publish([], this.ownStatus()));
  }

  /** Tells the others of a job's end, with what else comes within a moment. */
  announceJobEnd(id: string, state: TerminalState): void {
    this.endedJobs.push({ id, state });
    this.scheduleNews();
  }

  /** Tells the others that this controller has accepted a job. */
  announceJobAccepted(id: string): void {
    this.acceptedJobs.push(id);
    this.scheduleNews();
  }

  private scheduleNews(): void {
    if (this.newsScheduled) return;
    this.newsScheduled = true;
    this.eventLoop.after(this.newsDelayMs, 'peer-news', () => {
      this.newsScheduled = false;
      this.publish([], null);
    });
  }

  /** Sends what has been announced to all, with progress and a status, in as many messages as it takes. */
  publish(progress: JobProgress[], status: PeerStatus | null): void {
    let { endedJobs, acceptedJobs } = this;
    this.endedJobs = [];
    this.acceptedJobs = [];
    do {
      this.broadcast({
        ...EMPTY_MESSAGE,
        status,
        finals: endedJobs.slice(0, MAX_ITEMS_PER_MESSAGE),
        accepted: acceptedJobs.slice(0, MAX_ITEMS_PER_MESSAGE),
        progress: progress.slice(0, MAX_ITEMS_PER_MESSAGE),
      });
      endedJobs = endedJobs.slice(MAX_ITEMS_PER_MESSAGE);
      acceptedJobs = acceptedJobs.slice(MAX_ITEMS_PER_MESSAGE);
      progress = progress.slice(MAX_ITEMS_PER_MESSAGE);
      status = null;
    } while (endedJobs.length + acceptedJobs.length + progress.length > 0);
  }

  private broadcast(message: PeerMessage): void {
    const bytes = encodePeerMessage(message);
    for (const host of this.hosts) this.eventLoop.runtime.sendPeer(host, bytes);
  }

  private sendTo(host: string, part: Partial<PeerMessage>): void {
    this.eventLoop.runtime.sendPeer(host, encodePeerMessage({ ...EMPTY_MESSAGE, ...part }));
  }

  /** Takes a message of another controller; one that can't be read is dropped and counted. */
  receive(bytes: Buffer): void {
    let message: PeerMessage;
    try {
      message = decodePeerMessage(bytes);
    } catch (err) {
      this.dropUnreadable(err);
      return;
    }
    this.handleMessage(message);
  }

  /** Counts and logs what came from another controller and can't be read. */
  dropUnreadable(err: unknown): void {
    this.unreadableMessages++;
    this.eventLoop.log.warn({ err }, 'broken message from a peer');
  }

  private handleMessage(message: PeerMessage): void {
    const { status, request, reply } = message;
    if (status !== null) {
      this.statuses.record(status);
      this.events.statusReceived(status);
    }
    if (request !== null) this.handleForwardedRequest(request);
    if (reply !== null) this.forwarder.handleReply(reply);
    for (const id of message.accepted) this.events.jobAccepted(id);
    for (const end of message.finals) this.events.jobEnded(end.id, end.state);
    for (const progress of message.progress) this.events.jobProgressed(progress);
  }

  private handleForwardedRequest({ from, id, method, path, body }: ForwardedRequest): void {
    this.events.requestForwarded(method, path, body, (status, answer) => {
      this.sendTo(from, { reply: { id, status, body: answer } });
    });
  }

  /** The peer that the state service served last, if within `freshMs`. */
  hostServedByStateStore(freshMs: number): string | null {
    return this.statuses.hostServedByStateStore(freshMs);
  }

  /** Some peer was served by the state service within `freshMs`, by what it said lately. */
  stateServedElsewhere(freshMs: number): boolean {
    return this.hostServedByStateStore(freshMs) !== null;
  }

  /** What the others have said of themselves within `freshMs`. */
  recentStatuses(freshMs: number): PeerStatus[] {
    return this.statuses.recent(freshMs);
  }

  /** Has a peer answer a request. */
  forward(
    host: string,
    method: string,
    path: string,
    body: Buffer,
    timeoutMs: number,
    done: ReplyHandler,
  ): void {
    this.forwarder.forward(
      host,
      { from: this.ownStatus().host, method, path, body },
      timeoutMs,
      done,
    );
  }
}
