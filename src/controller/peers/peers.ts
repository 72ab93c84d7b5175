import avsc from 'avsc';
import type { Core } from '../core/core.js';
import type { FinalState, JobState } from '../wire/jobs.js';

/**
 * What controllers tell one another. None of it is needed for the rules: it only saves questions to
 * the state service. Final states never change, so they may be passed on and kept.
 */
export interface PeerStatus {
  host: string;
  identity: string;
  /** Milliseconds since the state service last served the sender; -1: never. */
  stateOkAgeMs: number;
  leaderHost: string;
  term: number;
  /** Puts and deletes at the state service that the sender would make a second. */
  wantedWrites: number;
  /** Workers' reports a second that the sender has sent on to the leader. */
  strayReports: number;
}

export interface JobProgress {
  id: string;
  state: JobState;
  done: number;
  running: number;
  exits: Record<string, number>;
  blocked: string;
}

/** A user's request that the sender can't answer: the state service doesn't serve it just now. */
export interface ForwardedRequest {
  from: string;
  id: number;
  method: string;
  path: string;
  body: Buffer;
}

export interface ForwardedReply {
  id: number;
  status: number;
  body: Buffer;
}

export interface PeerMessage {
  status: PeerStatus | null;
  finals: { id: string; state: FinalState }[];
  /** Jobs that the sender has accepted. */
  accepted: string[];
  progress: JobProgress[];
  request: ForwardedRequest | null;
  reply: ForwardedReply | null;
}

const type = avsc.Type.forSchema({
  type: 'record',
  name: 'PeerMessage',
  fields: [
    {
      name: 'status',
      type: [
        'null',
        {
          type: 'record',
          name: 'Status',
          fields: [
            { name: 'host', type: 'string' },
            { name: 'identity', type: 'string' },
            { name: 'stateOkAgeMs', type: 'double' },
            { name: 'leaderHost', type: 'string' },
            { name: 'term', type: 'long' },
            { name: 'wantedWrites', type: 'double' },
            { name: 'strayReports', type: 'double' },
          ],
        },
      ],
    },
    {
      name: 'finals',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'Final',
          fields: [
            { name: 'id', type: 'string' },
            {
              name: 'state',
              type: { type: 'enum', name: 'FinalState', symbols: ['done', 'cancelled'] },
            },
          ],
        },
      },
    },
    { name: 'accepted', type: { type: 'array', items: 'string' } },
    {
      name: 'progress',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'Progress',
          fields: [
            { name: 'id', type: 'string' },
            {
              name: 'state',
              type: {
                type: 'enum',
                name: 'JobState',
                symbols: ['queued', 'running', 'done', 'cancelled'],
              },
            },
            { name: 'done', type: 'int' },
            { name: 'running', type: 'int' },
            { name: 'exits', type: { type: 'map', values: 'int' } },
            { name: 'blocked', type: 'string' },
          ],
        },
      },
    },
    {
      name: 'request',
      type: [
        'null',
        {
          type: 'record',
          name: 'Request',
          fields: [
            { name: 'from', type: 'string' },
            { name: 'id', type: 'long' },
            { name: 'method', type: 'string' },
            { name: 'path', type: 'string' },
            { name: 'body', type: 'bytes' },
          ],
        },
      ],
    },
    {
      name: 'reply',
      type: [
        'null',
        {
          type: 'record',
          name: 'Reply',
          fields: [
            { name: 'id', type: 'long' },
            { name: 'status', type: 'int' },
            { name: 'body', type: 'bytes' },
          ],
        },
      ],
    },
  ],
});

export function encodePeer(message: PeerMessage): Buffer {
  return type.toBuffer(message);
}

/** Throws on bytes that are not one whole message. */
export function decodePeer(bytes: Buffer): PeerMessage {
  // `clone` turns avsc's generated record classes into plain objects.
  const value: unknown = type.fromBuffer(bytes);
  return value as PeerMessage;
}

export const MAX_FRAME = 256 * 1024;

/** Frames on the wire: four bytes of length, then the message. */
export function frame(bytes: Buffer): Buffer {
  const out = Buffer.allocUnsafe(bytes.length + 4);
  out.writeUInt32BE(bytes.length, 0);
  bytes.copy(out, 4);
  return out;
}

export class Unframer {
  private data: Buffer = Buffer.alloc(0);

  /** Throws when a frame is longer than any message may be. */
  push(bytes: Buffer): Buffer[] {
    this.data = this.data.length === 0 ? bytes : Buffer.concat([this.data, bytes]);
    const frames: Buffer[] = [];
    while (this.data.length >= 4) {
      const size = this.data.readUInt32BE(0);
      if (size > MAX_FRAME) throw new Error('frame too large');
      if (this.data.length < size + 4) break;
      frames.push(this.data.subarray(4, size + 4));
      this.data = this.data.subarray(size + 4);
    }
    return frames;
  }
}

interface Known {
  status: PeerStatus;
  at: number;
}

export interface PeerEvents {
  accepted(id: string): void;
  status(status: PeerStatus): void;
  final(id: string, state: FinalState): void;
  progress(p: JobProgress): void;
  /** To be answered here, and not passed on again. */
  request(
    method: string,
    path: string,
    body: Buffer,
    done: (status: number, body: Buffer) => void,
  ): void;
}

const PER_MESSAGE = 200;

/** From how many the first id of a forwarded request is drawn. */
const FIRST_IDS = 2 ** 48;

export class Peers {
  private readonly known = new Map<string, Known>();
  private finals: PeerMessage['finals'] = [];
  private accepted: string[] = [];
  private sending = false;
  private newsMs = 0;
  private readonly asked = new Map<number, (r: ForwardedReply | null) => void>();
  private lastId: number;

  constructor(
    private readonly core: Core,
    private readonly hosts: string[],
    private readonly own: () => PeerStatus,
    private readonly events: PeerEvents,
  ) {
    // The process before on this host has counted too, and answers to it may still be on their way.
    this.lastId = Math.floor(core.env.random() * FIRST_IDS);
  }

  start(statusMs: number, newsMs: number): void {
    this.newsMs = newsMs;
    this.core.every(statusMs, 'peer-status', () => this.send([], this.own()));
  }

  /** Tells the others of a job's end, with what else comes within a moment. */
  announce(id: string, state: FinalState): void {
    this.finals.push({ id, state });
    this.sendSoon();
  }

  announceAccepted(id: string): void {
    this.accepted.push(id);
    this.sendSoon();
  }

  private sendSoon(): void {
    if (this.sending) return;
    this.sending = true;
    this.core.after(this.newsMs, 'peer-news', () => {
      this.sending = false;
      this.send([], null);
    });
  }

  send(progress: JobProgress[], status: PeerStatus | null): void {
    let { finals, accepted } = this;
    this.finals = [];
    this.accepted = [];
    do {
      const bytes = encodePeer({
        status,
        finals: finals.slice(0, PER_MESSAGE),
        accepted: accepted.slice(0, PER_MESSAGE),
        progress: progress.slice(0, PER_MESSAGE),
        request: null,
        reply: null,
      });
      for (const host of this.hosts) this.core.env.sendPeer(host, bytes);
      finals = finals.slice(PER_MESSAGE);
      accepted = accepted.slice(PER_MESSAGE);
      progress = progress.slice(PER_MESSAGE);
      status = null;
    } while (finals.length + accepted.length + progress.length > 0);
  }

  receive(bytes: Buffer): void {
    let message: PeerMessage;
    try {
      message = decodePeer(bytes);
    } catch (err) {
      this.core.log.warn({ err }, 'broken message from a peer');
      return;
    }
    if (message.status !== null) {
      this.known.set(message.status.host, { status: message.status, at: this.core.now() });
      this.events.status(message.status);
    }
    const { request, reply } = message;
    if (request !== null) {
      this.events.request(request.method, request.path, request.body, (status, body) => {
        this.sendOne(request.from, { reply: { id: request.id, status, body } });
      });
    }
    if (reply !== null) this.asked.get(reply.id)?.(reply);
    for (const id of message.accepted) this.events.accepted(id);
    for (const f of message.finals) this.events.final(f.id, f.state);
    for (const p of message.progress) this.events.progress(p);
  }

  private sendOne(host: string, part: Partial<PeerMessage>): void {
    const nothing = { status: null, finals: [], accepted: [], progress: [] };
    const empty = { ...nothing, request: null, reply: null };
    this.core.env.sendPeer(host, encodePeer({ ...empty, ...part }));
  }

  /** The peer that the state service served last, if within `freshMs`. */
  served(freshMs: number): string | null {
    const now = this.core.now();
    let best: string | null = null;
    let bestAge = freshMs;
    for (const [host, { status, at }] of this.known) {
      const age = status.stateOkAgeMs < 0 ? Infinity : status.stateOkAgeMs + (now - at);
      if (age < bestAge) {
        best = host;
        bestAge = age;
      }
    }
    return best;
  }

  /** What the others have said of themselves within `freshMs`. */
  heard(freshMs: number): PeerStatus[] {
    const now = this.core.now();
    return [...this.known.values()].filter((k) => now - k.at < freshMs).map((k) => k.status);
  }

  /** Has a peer answer a request. */
  forward(
    host: string,
    method: string,
    path: string,
    body: Buffer,
    timeoutMs: number,
    done: (r: ForwardedReply | null) => void,
  ): void {
    const id = ++this.lastId;
    const timer = this.core.after(timeoutMs, 'forward-timeout', () => settle(null));
    const settle = (r: ForwardedReply | null): void => {
      if (!this.asked.delete(id)) return;
      timer.cancel();
      done(r);
    };
    this.asked.set(id, settle);
    this.sendOne(host, { request: { from: this.own().host, id, method, path, body } });
  }

  /** Some peer was served by the state service within `ms`, by what it said lately. */
  stateServedElsewhere(ms: number): boolean {
    return this.served(ms) !== null;
  }
}
