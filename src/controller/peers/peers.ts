/** The exchange of news between the controllers of a deployment. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { TerminalState } from '../wire/jobs.js';
import { RequestForwarder, type ReplyHandler } from './forwarding.js';
import {
  decodePeer,
  EMPTY_MESSAGE,
  encodePeer,
  type ForwardedRequest,
  type JobEnd,
  type JobProgress,
  type PeerMessage,
  type PeerStatus,
} from './message.js';
import { PeerStatuses } from './statuses.js';

/** What is done with the news of the other controllers. */
export interface PeerEvents {
  accepted(id: string): void;
  status(status: PeerStatus): void;
  final(id: string, state: TerminalState): void;
  progress(p: JobProgress): void;
  /** To be answered here, and not passed on again. */
  request(
    method: string,
    path: string,
    body: Buffer,
    done: (status: number, body: Buffer) => void,
  ): void;
}

/** Items of each kind that one message carries at most. */
const PER_MESSAGE = 200;

/** Tells the other controllers this one's news, and takes theirs. */
export class Peers {
  private readonly statuses: PeerStatuses;
  private readonly forwarder: RequestForwarder;
  private finals: JobEnd[] = [];
  private accepted: string[] = [];
  private sending = false;
  private newsMs = 0;
  /** Messages that could not be read, since the process began. */
  unreadable = 0;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly hosts: string[],
    private readonly own: () => PeerStatus,
    private readonly events: PeerEvents,
  ) {
    this.statuses = new PeerStatuses(() => eventLoop.now());
    this.forwarder = new RequestForwarder(eventLoop, (host, request) =>
      this.sendOne(host, { request }),
    );
  }

  /** Begins to tell the own status every `statusMs`, and news within `newsMs`. */
  start(statusMs: number, newsMs: number): void {
    this.newsMs = newsMs;
    this.eventLoop.every(statusMs, 'peer-status', () => this.send([], this.own()));
  }

  /** Tells the others of a job's end, with what else comes within a moment. */
  announce(id: string, state: TerminalState): void {
    this.finals.push({ id, state });
    this.sendSoon();
  }

  /** Tells the others that this controller has accepted a job. */
  announceAccepted(id: string): void {
    this.accepted.push(id);
    this.sendSoon();
  }

  private sendSoon(): void {
    if (this.sending) return;
    this.sending = true;
    this.eventLoop.after(this.newsMs, 'peer-news', () => {
      this.sending = false;
      this.send([], null);
    });
  }

  /** Sends what has been announced to all, with progress and a status, in as many messages as it takes. */
  send(progress: JobProgress[], status: PeerStatus | null): void {
    let { finals, accepted } = this;
    this.finals = [];
    this.accepted = [];
    do {
      this.sendAll({
        ...EMPTY_MESSAGE,
        status,
        finals: finals.slice(0, PER_MESSAGE),
        accepted: accepted.slice(0, PER_MESSAGE),
        progress: progress.slice(0, PER_MESSAGE),
      });
      finals = finals.slice(PER_MESSAGE);
      accepted = accepted.slice(PER_MESSAGE);
      progress = progress.slice(PER_MESSAGE);
      status = null;
    } while (finals.length + accepted.length + progress.length > 0);
  }

  private sendAll(message: PeerMessage): void {
    const bytes = encodePeer(message);
    for (const host of this.hosts) this.eventLoop.runtime.sendPeer(host, bytes);
  }

  private sendOne(host: string, part: Partial<PeerMessage>): void {
    this.eventLoop.runtime.sendPeer(host, encodePeer({ ...EMPTY_MESSAGE, ...part }));
  }

  /** Takes a message of another controller; one that can't be read is dropped and counted. */
  receive(bytes: Buffer): void {
    let message: PeerMessage;
    try {
      message = decodePeer(bytes);
    } catch (err) {
      this.dropped(err);
      return;
    }
    this.take(message);
  }

  /** Counts and logs what came from another controller and can't be read. */
  dropped(err: unknown): void {
    this.unreadable++;
    this.eventLoop.log.warn({ err }, 'broken message from a peer');
  }

  private take(message: PeerMessage): void {
    const { status, request, reply } = message;
    if (status !== null) {
      this.statuses.take(status);
      this.events.status(status);
    }
    if (request !== null) this.answer(request);
    if (reply !== null) this.forwarder.answered(reply);
    for (const id of message.accepted) this.events.accepted(id);
    for (const end of message.finals) this.events.final(end.id, end.state);
    for (const progress of message.progress) this.events.progress(progress);
  }

  private answer({ from, id, method, path, body }: ForwardedRequest): void {
    this.events.request(method, path, body, (status, answer) => {
      this.sendOne(from, { reply: { id, status, body: answer } });
    });
  }

  /** The peer that the state service served last, if within `freshMs`. */
  served(freshMs: number): string | null {
    return this.statuses.served(freshMs);
  }

  /** Some peer was served by the state service within `freshMs`, by what it said lately. */
  stateServedElsewhere(freshMs: number): boolean {
    return this.served(freshMs) !== null;
  }

  /** What the others have said of themselves within `freshMs`. */
  heard(freshMs: number): PeerStatus[] {
    return this.statuses.heard(freshMs);
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
    this.forwarder.forward(host, { from: this.own().host, method, path, body }, timeoutMs, done);
  }
}
