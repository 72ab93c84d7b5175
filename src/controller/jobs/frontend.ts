import type { Core } from '../core/core.js';
import type { Settings } from '../settings/settings.js';
import { Batcher } from '../store/batcher.js';
import { reserve, type StateClient } from '../store/client.js';
import { sizeOf } from '../store/pages.js';
import { isMap, WireError } from '../wire/cbor.js';
import type { MachineType } from '../wire/cloud.js';
import {
  isJobId,
  readJob,
  readJobId,
  writeAnswer,
  writeJob,
  type FinalState,
  type JobAnswer,
  type JobSpec,
} from '../wire/jobs.js';
import type { Condition } from '../wire/state.js';
import { admit } from './admission.js';

export const liveKey = (id: string): string => `live/${id}`;
export const finalKey = (id: string): string => `final/${id}`;

export interface Answer {
  allow?: string;
  /** A body that is not CBOR, with its type. */
  raw?: Buffer;
  type?: string;
  status: number;
  body?: unknown;
  retryAfterS?: number;
}

type Respond = (a: Answer) => void;

/** What is current for a job at the state service. */
type Standing = 'absent' | 'live' | FinalState | 'unsure';

export interface FrontendHooks {
  types(): MachineType[] | null;
  /** Counts for display, if this node has them. */
  progress(id: string): JobAnswer | null;
  /** This node has just accepted a job. */
  accepted(id: string): void;
  /** This node has just ended a job by cancelling it. */
  cancelled(id: string): void;
}

const CALL_MS = 1500;

export function finalRecord(state: FinalState, at: number): unknown {
  return { state, at };
}

export function readFinal(value: unknown): FinalState | null {
  if (!isMap(value)) return null;
  const s = value['state'];
  return s === 'done' || s === 'cancelled' ? s : null;
}

/** A map that forgets its oldest entries. */
class Bounded<V> {
  private readonly map = new Map<string, V>();
  constructor(private readonly limit: number) {}
  get(key: string): V | undefined {
    return this.map.get(key);
  }
  set(key: string, value: V): void {
    this.map.delete(key);
    this.map.set(key, value);
    if (this.map.size > this.limit) {
      const oldest = this.map.keys().next();
      if (oldest.done !== true) this.map.delete(oldest.value);
    }
  }
  delete(key: string): void {
    this.map.delete(key);
  }
}

/**
 * The users' side, the same on every node. A job's end is final and answered from memory; anything
 * else, a 404 too, is an answer only after the state service has confirmed it, for another node may
 * have told the user something newer.
 */
export class Frontend {
  private readonly finals: Bounded<FinalState>;
  /** Versions of live records that this node has seen. */
  private readonly live: Bounded<number>;
  private readonly writes: Batcher;
  /** Questions whether jobs that are known to have been accepted have ended. */
  private readonly ends: Batcher;
  /** Questions about jobs that this node has not heard of. */
  private readonly unknown: Batcher;
  /** Submissions that have not left yet, with all who wait for them. */
  private readonly creating = new Map<string, Respond[]>();
  private readonly asked = new Map<string, ((s: Standing) => void)[]>();

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    private readonly client: StateClient,
    private readonly hooks: FrontendHooks,
  ) {
    const cache = settings.get('jobs.final.cache');
    this.finals = new Bounded(cache);
    this.live = new Bounded(cache);
    const common = { timeoutMs: CALL_MS, queueMs: CALL_MS };
    this.writes = new Batcher(core, client, {
      ...{ ...common, reserve: reserve.submissions, everyMs: 0 },
    });
    const polls = { ...common, reserve: reserve.polls, everyMs: settings.reportMs / 25 };
    this.ends = new Batcher(core, client, polls);
    this.unknown = new Batcher(core, client, polls);
  }

  /** Another controller has accepted the job. */
  learnAccepted(id: string): void {
    if (this.finals.get(id) === undefined && this.live.get(id) === undefined) this.live.set(id, 0);
  }

  /** How a job ended that this node knows to have ended; the end is for ever. */
  ended(id: string): FinalState | null {
    return this.finals.get(id) ?? null;
  }

  /** A job has ended, as another controller or this node's leader says. */
  learnFinal(id: string, state: FinalState): void {
    if (this.finals.get(id) !== undefined) return;
    this.finals.set(id, state);
    this.live.delete(id);
  }

  private retryLater(respond: Respond): void {
    const s = Math.max(this.writes.waitMs(), this.client.down ? 1000 : 0) / 1000;
    respond({ status: 503, body: { error: 'not now' }, retryAfterS: Math.max(1, Math.ceil(s)) });
  }

  submit(body: unknown, respond: Respond): void {
    let spec: JobSpec;
    try {
      spec = readJob(body);
    } catch (err) {
      if (!(err instanceof WireError)) throw err;
      this.core.log.debug({ reason: err.message, body }, 'malformed submission');
      return this.refuse(readJobId(body), { status: 400, body: { error: err.message } }, respond);
    }
    const ended = this.finals.get(spec.id);
    if (ended !== undefined) return this.reply(spec.id, ended, respond);
    const verdict = admit(spec, this.settings.platform.teams, this.hooks.types());
    if (typeof verdict === 'object')
      return this.refuse(spec.id, { status: 422, body: { error: verdict.refuse } }, respond);
    if (verdict !== 'accept' || this.live.get(spec.id) !== undefined) {
      this.ask(spec.id, (standing) => {
        if (standing !== 'absent') this.reply(spec.id, standing, respond);
        else this.retryLater(respond);
      });
      return;
    }
    const value = { job: writeJob(spec), at: Math.round(this.core.env.wall()) };
    if (sizeOf(value) > this.client.limits.valueBytes) {
      const refusal = { status: 400, body: { error: 'models: too many or too long' } };
      return this.refuse(spec.id, refusal, respond);
    }
    this.create(spec, value, respond);
  }

  /**
   * A job that is known already is recognised before it is judged: teams, machine types and what a
   * version takes for a submission may have changed since it was accepted.
   */
  private refuse(id: string | null, refusal: Answer, respond: Respond): void {
    if (id === null) return respond(refusal);
    this.ask(id, (standing) => {
      if (standing === 'absent') respond(refusal);
      else this.reply(id, standing, respond);
    });
  }

  private create(spec: JobSpec, value: unknown, respond: Respond): void {
    if (this.client.down) return this.retryLater(respond);
    const waiting = this.creating.get(spec.id);
    if (waiting !== undefined) {
      waiting.push(respond);
      return;
    }
    const waiters = [respond];
    const close = (): void => {
      if (this.creating.get(spec.id) === waiters) this.creating.delete(spec.id);
    };
    const answer = (each: (respond: Respond) => void): void => {
      close();
      for (const w of waiters) each(w);
    };
    const queued = this.writes.add({
      conditions: [
        { key: liveKey(spec.id), version: 0 },
        { key: finalKey(spec.id), version: 0 },
      ],
      writes: [{ put: liveKey(spec.id), value }],
      // A repeat that comes once the transaction has left may not share its answer: meanwhile the
      // user may have been told at another node that the job has ended.
      sent: close,
      done: (r) => {
        if (r.kind === 'ok') {
          this.live.set(spec.id, r.revision);
          this.hooks.accepted(spec.id);
          const body = writeAnswer({ id: spec.id, state: 'queued' });
          answer((respond) => respond({ status: 201, body }));
        } else if (r.kind === 'conflict') {
          this.standing(spec.id, new Set(r.failed), (s) =>
            answer((respond) => this.reply(spec.id, s, respond)),
          );
        } else answer((respond) => this.retryLater(respond));
      },
    });
    if (queued) this.creating.set(spec.id, waiters);
    else this.retryLater(respond);
  }

  poll(id: string, respond: Respond): void {
    if (!isJobId(id)) return respond({ status: 404, body: { error: 'no such job' } });
    this.ask(id, (s) => this.reply(id, s, respond));
  }

  private reply(id: string, standing: Standing, respond: Respond): void {
    if (standing === 'unsure') return this.retryLater(respond);
    if (standing === 'absent') return respond({ status: 404, body: { error: 'no such job' } });
    if (standing !== 'live')
      return respond({ status: 200, body: writeAnswer({ id, state: standing }) });
    const p = this.hooks.progress(id);
    const open = p !== null && (p.state === 'queued' || p.state === 'running');
    respond({ status: 200, body: writeAnswer(open ? p : { id, state: 'queued' }) });
  }

  /** Finds out what is current, many jobs in one transaction that only compares. */
  private ask(id: string, done: (s: Standing) => void): void {
    const ended = this.finals.get(id);
    if (ended !== undefined) return done(ended);
    if (this.client.down) return done('unsure');
    const waiting = this.asked.get(id);
    if (waiting !== undefined) {
      waiting.push(done);
      return;
    }
    const waiters = [done];
    const settle = (s: Standing): void => {
      if (this.asked.get(id) === waiters) this.asked.delete(id);
      for (const w of waiters) w(s);
    };
    const known = this.live.get(id) !== undefined;
    const conditions: Condition[] = [{ key: finalKey(id), version: 0 }];
    if (!known) conditions.push({ key: liveKey(id), version: 0 });
    const queued = (known ? this.ends : this.unknown).add({
      conditions,
      writes: [],
      // Only a question that has not left may be shared: one on its way may find the state from
      // before an answer that this user got elsewhere meanwhile.
      sent: () => {
        if (this.asked.get(id) === waiters) this.asked.delete(id);
      },
      done: (r) => {
        if (r.kind === 'ok') settle(known ? 'live' : 'absent');
        else if (r.kind === 'conflict') this.standing(id, new Set(r.failed), settle);
        else settle('unsure');
      },
    });
    if (queued) this.asked.set(id, waiters);
    else done('unsure');
  }

  /** What failed conditions tell. A job's live and final records never exist together. */
  private standing(id: string, failed: Set<string>, done: (s: Standing) => void): void {
    if (!failed.has(finalKey(id)) && failed.has(liveKey(id))) {
      if (this.live.get(id) === undefined) this.live.set(id, 0);
      return done('live');
    }
    if (!failed.has(finalKey(id))) return done('unsure');
    this.readEnd(id, (s) => done(s ?? 'unsure'));
  }

  private readEnd(id: string, done: (s: FinalState | null) => void): void {
    if (!this.client.tokens.take(1, reserve.reads)) return done(null);
    this.client.get(finalKey(id), CALL_MS, (got) => {
      const state = got.kind === 'ok' && got.value !== null ? readFinal(got.value.value) : null;
      if (state !== null) this.learnFinal(id, state);
      done(state);
    });
  }

  cancel(id: string, respond: Respond): void {
    if (!isJobId(id)) return respond({ status: 404, body: { error: 'no such job' } });
    this.tryCancel(id, 3, respond);
  }

  private tryCancel(id: string, tries: number, respond: Respond): void {
    const ended = this.finals.get(id);
    if (ended !== undefined) return this.reply(id, ended, respond);
    if (this.client.down || tries === 0) return this.retryLater(respond);
    const version = this.live.get(id);
    if (version === undefined || version === 0) {
      if (!this.client.tokens.take(1, reserve.submissions)) return this.retryLater(respond);
      this.client.get(liveKey(id), CALL_MS, (got) => {
        if (got.kind === 'failed') return this.retryLater(respond);
        if (got.value === null) {
          this.live.delete(id);
          this.ask(id, (s) => {
            // Accepted between the two questions: look again.
            if (s === 'live') this.tryCancel(id, tries - 1, respond);
            else this.reply(id, s, respond);
          });
          return;
        }
        this.live.set(id, got.value.version);
        this.tryCancel(id, tries, respond);
      });
      return;
    }
    const queued = this.writes.add({
      conditions: [
        { key: liveKey(id), version },
        { key: finalKey(id), version: 0 },
      ],
      writes: [
        { delete: liveKey(id) },
        { put: finalKey(id), value: finalRecord('cancelled', Math.round(this.core.env.wall())) },
      ],
      done: (r) => {
        if (r.kind === 'ok') {
          this.learnFinal(id, 'cancelled');
          this.hooks.cancelled(id);
          this.reply(id, 'cancelled', respond);
        } else if (r.kind === 'conflict') {
          this.live.delete(id);
          this.tryCancel(id, tries - 1, respond);
        } else this.retryLater(respond);
      },
    });
    if (!queued) this.retryLater(respond);
  }
}
