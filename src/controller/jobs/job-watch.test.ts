import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { standalonePlatform } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { SettingsError } from '../settings/settings-error.js';
import { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { WatchEvent } from '../wire/state.js';
import { JobWatch } from './job-watch.js';

const settings = new Settings(standalonePlatform(), defaultProperties());

/** Revision of the read after which the watch starts. */
const REVISION = 7;

interface WatchRequest {
  revision: number;
  holdMs: number;
  done: Parameters<StateStoreClient['watch']>[3];
}

/** A watch whose clock is advanced, and whose requests are answered, by the test. */
class WatchFixture {
  readonly runtime = new ManualRuntime();
  readonly watchRequests: WatchRequest[] = [];
  readonly snapshotRequests: Parameters<StateStoreClient['readPrefix']>[2][] = [];
  /** Calls of the handler, as text. */
  readonly handlerCalls: string[] = [];
  readonly watch: JobWatch;

  constructor() {
    const client: Pick<StateStoreClient, 'watch' | 'readPrefix'> = {
      watch: (_prefix, revision, holdMs, done) =>
        void this.watchRequests.push({ revision, holdMs, done }),
      readPrefix: (_prefix, _timeoutMs, done) => void this.snapshotRequests.push(done),
    };
    this.watch = new JobWatch(new EventLoop(this.runtime, silentLogger), settings, client, {
      onSnapshot: (items) => this.handlerCalls.push(`all ${items.length}`),
      onEvents: (events) =>
        this.handlerCalls.push(...events.map(({ kind, key }) => `${kind} ${key}`)),
    });
    this.watch.start(REVISION, this.runtime.now());
  }

  get lastRequest(): WatchRequest {
    return this.watchRequests.at(-1) ?? assert.fail('no request');
  }

  /** Answers the last watch request. */
  answer(revision: number, events: WatchEvent[] = []): void {
    this.lastRequest.done({ kind: 'ok', value: { revision, events } });
  }
}

describe('JobWatch', () => {
  let fixture: WatchFixture;

  beforeEach(() => {
    fixture = new WatchFixture();
  });

  it('measures staleness from when the last answered read was sent, not from its response', () => {
    const { runtime, watch, handlerCalls } = fixture;
    assert.ok(watch.isFresh);
    runtime.advance(2000);
    fixture.answer(8, [{ kind: 'delete', key: 'live/req-1' }]);
    assert.deepEqual(handlerCalls, ['delete live/req-1']);
    assert.equal(watch.stalenessMs, 2000);
  });

  it('is not fresh beyond the maximum staleness until a read is answered', () => {
    const { runtime, watch } = fixture;
    for (let ms = 0; ms < settings.maxWatchStalenessMs + 1000; ms += 100) {
      runtime.advance(100);
      fixture.lastRequest.done({ kind: 'failed' });
    }
    assert.ok(!watch.isFresh);
    runtime.advance(1000);
    fixture.answer(9);
    assert.ok(watch.isFresh);
  });

  it('is fresh after an interruption only once a read that was sent afterwards is answered', () => {
    const { runtime, watch } = fixture;
    const requestBeforeInterruption = fixture.lastRequest;
    runtime.advance(100);
    watch.requireFreshRead();
    assert.ok(!watch.isFresh);
    assert.equal(fixture.lastRequest.holdMs, 0);
    assert.equal(fixture.lastRequest.revision, REVISION);
    requestBeforeInterruption.done({ kind: 'ok', value: { revision: 8, events: [] } });
    assert.ok(!watch.isFresh, 'a read sent before the interruption made the watch fresh');
    fixture.answer(8);
    assert.ok(watch.isFresh);
  });

  it('sends another request when one gets no response', () => {
    fixture.runtime.advance(settings.leaderLeaseMs * 2 + 1);
    assert.equal(fixture.watchRequests.length, 2);
    assert.equal(fixture.lastRequest.holdMs, 0);
  });

  it('reads all active records when the state store no longer has the changes', () => {
    const { runtime, watch, snapshotRequests, handlerCalls } = fixture;
    runtime.advance(500);
    fixture.lastRequest.done({ kind: 'too-old' });
    runtime.advance(500);
    snapshotRequests[0]?.({ kind: 'ok', value: { items: [], revision: 30_000 } });
    assert.deepEqual(handlerCalls, ['all 0']);
    assert.equal(watch.stalenessMs, 500);
    assert.equal(fixture.lastRequest.revision, 30_000);
  });

  it('reads all active records again after a failed attempt', () => {
    const { runtime, snapshotRequests, handlerCalls } = fixture;
    fixture.lastRequest.done({ kind: 'too-old' });
    snapshotRequests[0]?.({ kind: 'failed' });
    runtime.advance(settings.heartbeatIntervalMs);
    assert.equal(snapshotRequests.length, 2);
    assert.deepEqual(handlerCalls, []);
  });

  // Guards against a loop of reads that uses up the node's requests when the state store retains few changes.
  it('reads at growing intervals while each watch is too old, and stays fresh', () => {
    const { runtime, watch, snapshotRequests } = fixture;
    const durationMs = 60_000;
    for (let ms = 0; ms < durationMs; ms += 10) {
      fixture.lastRequest.done({ kind: 'too-old' });
      snapshotRequests.at(-1)?.({ kind: 'ok', value: { items: [], revision: 30_000 } });
      assert.ok(watch.isFresh);
      runtime.advance(10);
    }
    const shortestMs = settings.maxWatchStalenessMs / 4;
    assert.ok(snapshotRequests.length <= 10 + durationMs / shortestMs);
  });

  it('calls no handler and sends no request after it is closed', () => {
    fixture.watch.close();
    fixture.answer(8, [{ kind: 'delete', key: 'live/req-1' }]);
    fixture.runtime.advance(settings.leaderLeaseMs * 3);
    assert.deepEqual(fixture.handlerCalls, []);
    assert.equal(fixture.watchRequests.length, 1);
  });
});

describe('the maximum staleness of the watch', () => {
  it('leaves enough time to stop cancelled tasks, or the settings are rejected', () => {
    const { workers } = standalonePlatform();
    assert.ok(
      (settings.maxWatchStalenessMs + settings.workerLeaseMs) / 1000 + 4 < workers.cancelDeadlineS,
    );
    const platformWithShortDeadline = {
      ...standalonePlatform(),
      workers: { ...workers, cancelDeadlineS: workers.leaseS + 5 },
    };
    assert.throws(
      () => new Settings(platformWithShortDeadline, defaultProperties()),
      (err: Error) => err instanceof SettingsError && /cancel_s.*lease_s/.test(err.message),
    );
  });
});
