import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import type { Runtime, Logger } from '../runtime/runtime.js';
import { defaultProperties } from '../settings/properties.js';
import { SettingsError } from '../settings/settings-error.js';
import { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { JobWatch } from './job-watch.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const nothing = (): void => undefined;
const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };

type Followed = (got: unknown) => void;

/** A feed with a hand-driven clock and state service. */
class Bench {
  now = 1000;
  readonly follows: { from: number; holdMs: number; done: Followed }[] = [];
  readonly ranges: Followed[] = [];
  private timers: { at: number; fn: () => void }[] = [];
  readonly seen: string[] = [];
  readonly feed: JobWatch;

  constructor() {
    const runtime: Runtime = {
      startedAt: -Infinity,
      now: () => this.now,
      wallClock: () => this.now,
      random: () => 0.5,
      defer: (fn) => fn(),
      startTimer: (ms, fn) => {
        this.timers.push({ at: this.now + ms, fn });
        return { cancel: nothing };
      },
      call: nothing,
      hasSpareConnection: () => true,
      sendPeer: nothing,
    };
    const client = {
      watch: (_: string, from: number, holdMs: number, done: Followed) =>
        this.follows.push({ from, holdMs, done }),
      readPrefix: (_: string, _timeoutMs: number, done: Followed) => this.ranges.push(done),
    } as unknown as StateStoreClient;
    this.feed = new JobWatch(new EventLoop(runtime, silent), settings, client, {
      onSnapshot: (items) => this.seen.push(`all ${items.length}`),
      onEvents: (events) => this.seen.push(...events.map((e) => `${e.kind} ${e.key}`)),
    });
  }

  pass(ms: number): void {
    const until = this.now + ms;
    for (;;) {
      const next = this.timers.filter((t) => t.at <= until).sort((a, b) => a.at - b.at)[0];
      if (next === undefined) break;
      this.timers = this.timers.filter((t) => t !== next);
      this.now = Math.max(this.now, next.at);
      next.fn();
    }
    this.now = until;
  }

  get last(): { from: number; holdMs: number; done: Followed } {
    const f = this.follows.at(-1);
    assert.ok(f);
    return f;
  }
}

const events = (revision: number, list: unknown[] = []): unknown => ({
  kind: 'ok',
  value: { revision, events: list },
});

describe('the view of live jobs', () => {
  it('is as old as the read that it is from, not as the answer to it', () => {
    const b = new Bench();
    b.feed.start(7, b.now);
    assert.ok(b.feed.isFresh);
    b.pass(2000);
    b.last.done(events(8, [{ kind: 'delete', key: 'live/req-1' }]));
    assert.deepEqual(b.seen, ['delete live/req-1']);
    assert.equal(b.feed.stalenessMs, 2000);
  });

  it('counts no more once older than the settings allow, whatever else is answered', () => {
    const b = new Bench();
    b.feed.start(7, b.now);
    for (let ms = 0; ms < settings.maxWatchStalenessMs + 1000; ms += 100) {
      b.pass(100);
      b.last.done({ kind: 'failed' });
    }
    assert.ok(!b.feed.isFresh);
    b.pass(1000);
    b.last.done(events(9));
    assert.ok(b.feed.isFresh);
  });

  it('has to catch up after a gap, by a read sent after it', () => {
    const b = new Bench();
    b.feed.start(7, b.now);
    const before = b.last;
    b.pass(100);
    b.feed.requireFreshRead();
    assert.ok(!b.feed.isFresh);
    assert.equal(b.last.holdMs, 0);
    assert.equal(b.last.from, 7);
    before.done(events(8));
    assert.ok(!b.feed.isFresh, 'a read from before the gap proves nothing');
    b.last.done(events(8));
    assert.ok(b.feed.isFresh);
  });

  it('asks anew when a watch is lost', () => {
    const b = new Bench();
    b.feed.start(7, b.now);
    b.pass(settings.leaderLeaseMs * 2 + 1);
    assert.equal(b.follows.length, 2);
    assert.equal(b.last.holdMs, 0);
  });

  it('reads all jobs when the service has forgotten the changes since', () => {
    const b = new Bench();
    b.feed.start(7, b.now);
    b.pass(500);
    b.last.done({ kind: 'too-old' });
    b.pass(500);
    b.ranges[0]?.({ kind: 'ok', value: { items: [], revision: 30_000 } });
    assert.deepEqual(b.seen, ['all 0']);
    assert.equal(b.feed.stalenessMs, 500);
    assert.equal(b.last.from, 30_000);
  });

  it('is bound by settings that let cancelled tasks end in time, or the start is refused', () => {
    const { workers } = standalonePlatform();
    assert.ok(
      (settings.maxWatchStalenessMs + settings.workerLeaseMs) / 1000 + 4 < workers.cancelDeadlineS,
    );
    const tight = {
      ...standalonePlatform(),
      workers: { ...workers, cancelDeadlineS: workers.leaseS + 5 },
    };
    assert.throws(
      () => new Settings(tight, defaultProperties()),
      (err: Error) => err instanceof SettingsError && /cancel_s.*lease_s/.test(err.message),
    );
  });
});
