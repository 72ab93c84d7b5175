import type { Core } from '../core/core.js';
import type { Settings } from '../settings/settings.js';
import type { Condition, Write } from '../wire/state.js';
import { sizeOf } from './batcher.js';
import { reserve, type StateClient } from './client.js';

interface RecordState {
  /** Version at the service as far as known; 0: absent. */
  version: number;
  /** Newest value; undefined: to be deleted. */
  value: unknown;
  dirty: boolean;
  inFlight: boolean;
  /** An earlier answer was lost or failed on this key: read it before the next write. */
  unsure: boolean;
  urgent: boolean;
  waiters: (() => void)[];
}

interface Extra {
  conditions: Condition[];
  writes: Write[];
  done: (r: 'ok' | 'conflict') => void;
}

export interface RecordsOptions {
  /** Key and version that every transaction is conditional on: the leader's own. */
  fence: Condition;
  mayWrite: () => boolean;
  onFenced: () => void;
}

/**
 * The leader's records at the state service. Callers set the newest value of a key and are called
 * back once it, or a newer one, is stored. One transaction is in flight at a time.
 *
 * Every write is conditional on the leader's key and on the version of the key that it replaces.
 * So a copy that the network delivers late finds either another leader or a newer version, and
 * cannot put an old list of assignments over a newer one.
 */
export class Records {
  private readonly records = new Map<string, RecordState>();
  private readonly extras: Extra[] = [];
  private dirtyKeys = new Set<string>();
  private inFlight = false;
  private closed = false;
  private timerSet = false;
  private pauseUntil = 0;
  private lazyAt = 0;

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    private readonly client: StateClient,
    private readonly options: RecordsOptions,
  ) {}

  close(): void {
    this.closed = true;
  }

  /** A key as it was read at takeover. */
  adopt(key: string, version: number): void {
    this.records.set(key, {
      version,
      value: undefined,
      dirty: false,
      inFlight: false,
      unsure: false,
      urgent: false,
      waiters: [],
    });
  }

  has(key: string): boolean {
    const r = this.records.get(key);
    return r !== undefined && (r.version !== 0 || r.value !== undefined);
  }

  /** Not urgent: may wait to be written together with others. `undefined` deletes. */
  set(key: string, value: unknown, urgent: boolean, stored?: () => void): void {
    let r = this.records.get(key);
    if (r === undefined) {
      if (value === undefined) {
        stored?.();
        return;
      }
      this.adopt(key, 0);
      r = this.records.get(key);
      if (r === undefined) return;
    }
    r.value = value;
    r.dirty = true;
    r.urgent ||= urgent;
    if (stored !== undefined) r.waiters.push(stored);
    this.dirtyKeys.add(key);
  }

  /** Writes on keys that others write too, all or none, under the leader's fence. */
  transact(conditions: Condition[], writes: Write[], done: Extra['done']): void {
    this.extras.push({ conditions, writes, done });
  }

  get backlog(): number {
    return this.dirtyKeys.size + this.extras.length;
  }

  flush(): void {
    if (this.closed || this.inFlight || this.backlog === 0) return;
    const now = this.core.now();
    if (!this.options.mayWrite()) return this.later(50);
    if (now < this.pauseUntil) return this.later(this.pauseUntil - now);

    const urgentKeys: string[] = [];
    const lazyKeys: string[] = [];
    for (const key of this.dirtyKeys)
      (this.records.get(key)?.urgent === true ? urgentKeys : lazyKeys).push(key);
    const lazyDue = now >= this.lazyAt;
    if (urgentKeys.length === 0 && this.extras.length === 0 && !lazyDue)
      return this.later(this.lazyAt - now);
    if (lazyDue) this.lazyAt = now + this.settings.get('placement.hold.record.s') * 1000;

    const first = [...urgentKeys, ...lazyKeys].find((k) => this.records.get(k)?.unsure === true);
    if (first !== undefined) return this.reread(first);
    this.commit(lazyDue ? [...urgentKeys, ...lazyKeys] : urgentKeys);
  }

  private commit(keys: string[]): void {
    const { txnOps } = this.settings.platform.stateLimits;
    const wait = this.client.tokens.waitMs(1, reserve.records);
    if (wait > 0) return this.later(wait);
    const conditions: Condition[] = [this.options.fence];
    const writes: Write[] = [];
    const taken: string[] = [];
    const extras: Extra[] = [];
    let bytes = 512;
    const room = (w: number, c: number, size: number): boolean =>
      writes.length + w <= txnOps &&
      conditions.length + c <= 4 * txnOps &&
      bytes + size <= 60 * 1024 &&
      this.client.writeTokens.waitMs(w, reserve.records) === 0;
    // What frees or finishes before what starts: a finished job's user is waiting.
    while (this.extras.length > 0) {
      const e = this.extras[0];
      if (e === undefined) break;
      const size = sizeOf([e.conditions, e.writes]);
      if (!room(e.writes.length, e.conditions.length, size)) break;
      this.extras.shift();
      extras.push(e);
      conditions.push(...e.conditions);
      writes.push(...e.writes);
      this.client.writeTokens.force(e.writes.length);
      bytes += size;
    }
    for (const key of keys) {
      const r = this.records.get(key);
      if (r === undefined) continue;
      if (r.value === undefined && r.version === 0) {
        this.settled(key, r, 0);
        continue;
      }
      const size = sizeOf(r.value ?? null) + key.length * 2 + 60;
      if (!room(1, 1, size)) break;
      taken.push(key);
      conditions.push({ key, version: r.version });
      writes.push(r.value === undefined ? { delete: key } : { put: key, value: r.value });
      this.client.writeTokens.force(1);
      bytes += size;
      r.inFlight = true;
      r.dirty = false;
      this.dirtyKeys.delete(key);
    }
    if (writes.length === 0)
      return this.later(Math.max(10, this.client.writeTokens.waitMs(1, reserve.records)));
    this.client.tokens.force();
    const waiters = taken.map((k) => {
      const r = this.records.get(k);
      const list = r?.waiters ?? [];
      if (r !== undefined) r.waiters = [];
      return list;
    });
    const deleted = taken.map((k) => this.records.get(k)?.value === undefined);
    this.inFlight = true;
    this.client.multi(conditions, writes, this.settings.leaderLeaseMs / 4, (result) => {
      this.inFlight = false;
      if (this.closed) return;
      if (result.kind === 'ok') {
        taken.forEach((key, i) => {
          const r = this.records.get(key);
          if (r === undefined) return;
          r.version = deleted[i] === true ? 0 : result.revision;
          r.inFlight = false;
          if (!r.dirty) r.urgent = false;
          if (r.version === 0 && !r.dirty) this.records.delete(key);
          for (const w of waiters[i] ?? []) w();
        });
        for (const e of extras) e.done('ok');
        return;
      }
      if (result.kind === 'conflict' && result.failed.includes(this.options.fence.key)) {
        this.options.onFenced();
        return;
      }
      const failed = result.kind === 'conflict' ? new Set(result.failed) : null;
      taken.forEach((key, i) => {
        const r = this.records.get(key);
        if (r === undefined) return;
        r.inFlight = false;
        r.dirty = true;
        r.waiters.unshift(...(waiters[i] ?? []));
        this.dirtyKeys.add(key);
        // After no response the same condition goes out again: of the two copies only one can win,
        // and if it is the first, the second fails on this key and the key is read.
        if (failed?.has(key) === true) r.unsure = true;
      });
      for (const e of extras.reverse()) {
        if (failed !== null && e.conditions.some((c) => failed.has(c.key))) e.done('conflict');
        else this.extras.unshift(e);
      }
      if (result.kind !== 'conflict')
        this.pauseUntil = this.core.now() + (result.kind === 'refused' ? 100 : 20);
    });
  }

  private settled(key: string, r: RecordState, version: number): void {
    r.version = version;
    r.dirty = false;
    this.dirtyKeys.delete(key);
    const { waiters } = r;
    r.waiters = [];
    if (version === 0) this.records.delete(key);
    for (const w of waiters) w();
  }

  private reread(key: string): void {
    this.inFlight = true;
    this.client.tokens.force();
    this.client.get(key, this.settings.leaderLeaseMs / 4, (got) => {
      this.inFlight = false;
      if (this.closed) return;
      const r = this.records.get(key);
      if (r === undefined) return;
      if (got.kind === 'failed') {
        this.pauseUntil = this.core.now() + 100;
        return;
      }
      r.version = got.value?.version ?? 0;
      r.unsure = false;
    });
  }

  private later(ms: number): void {
    if (this.timerSet) return;
    this.timerSet = true;
    this.core.after(Math.max(5, ms), 'records', () => {
      this.timerSet = false;
    });
  }
}
