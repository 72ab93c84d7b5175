import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { immediateRecords } from '../../../test/fake-records.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { isIsolated, type WorkerReachability } from './isolation.js';
import { LearnedStatistics } from './learned-statistics.js';
import { PassScheduler } from './pass-scheduler.js';
import { FailoverRecovery, type RecoveryTarget, type RecoveredState } from './failover-recovery.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const intervalMs = settings.heartbeatIntervalMs * settings.get('placement.interval.ratio');

describe('pass scheduler', () => {
  /** A placement whose passes take `slices` slices of `sliceMs`. */
  function schedule(slices: number, sliceMs: number) {
    const runtime = new ManualRuntime();
    const seen = { begun: 0, finished: [] as number[] };
    let left = 0;
    const placement = {
      get passInProgress(): boolean {
        return left > 0;
      },
      begin: () => {
        seen.begun++;
        left = slices;
      },
      advance: () => {
        runtime.advance(sliceMs);
        return --left === 0;
      },
    };
    const scheduler = new PassScheduler(
      new EventLoop(runtime, silentLogger),
      settings,
      placement,
      (ms) => seen.finished.push(ms),
    );
    return { runtime, seen, scheduler };
  }

  it('runs a pass slice by slice and tells what the slices took', () => {
    const { seen, scheduler } = schedule(3, 10);
    scheduler.step();
    scheduler.step();
    assert.deepEqual(seen.finished, []);
    scheduler.step();
    assert.deepEqual(seen, { begun: 1, finished: [30] });
  });

  it('begins none that is not due', () => {
    const { runtime, seen, scheduler } = schedule(1, 1);
    scheduler.step();
    runtime.advance(intervalMs * 10);
    scheduler.step();
    assert.equal(seen.begun, 1);
    scheduler.request();
    scheduler.step();
    assert.equal(seen.begun, 2);
  });

  it('rests for the interval, and three times as long as a pass took', () => {
    const tookMs = intervalMs;
    const { runtime, seen, scheduler } = schedule(1, tookMs);
    scheduler.step();
    scheduler.request();
    runtime.advance(tookMs * 3 - 1);
    scheduler.step();
    assert.equal(seen.begun, 1);
    runtime.advance(1);
    scheduler.step();
    assert.equal(seen.begun, 2);
  });
});

describe('isolation', () => {
  const reach = (overdue: number, silent: number): WorkerReachability => ({
    ...{ reportMs: 1000, machineCount: 100 },
    overdue: (_lateMs, heardBefore) => (heardBefore ? silent : overdue),
  });

  it('takes reports at the peers and late machines as proof', () => {
    assert.ok(isIsolated(reach(0.6, 0), [{ strayReports: 4 }, { strayReports: 6 }]));
    assert.ok(!isIsolated(reach(0.6, 0), [{ strayReports: 4 }, { strayReports: 5 }]));
    assert.ok(!isIsolated(reach(0.5, 1), [{ strayReports: 100 }]));
  });

  it('takes silence only where no peer is heard', () => {
    assert.ok(isIsolated(reach(0, 0.95), []));
    assert.ok(!isIsolated(reach(0, 0.9), []));
    assert.ok(!isIsolated(reach(0, 0.95), [{ strayReports: 0 }]));
  });
});

describe('takeover', () => {
  type RangeDone = Parameters<StateStoreClient['readPrefix']>[2];

  function begin() {
    const runtime = new ManualRuntime();
    const reads: { prefix: string; done: RangeDone }[] = [];
    const heir = {
      closed: false as boolean,
      jobs: 0,
      inherited: [] as RecoveredState[],
      activeJobsRead: (jobs: readonly unknown[]) => void (heir.jobs += jobs.length),
      recover: (inheritance: RecoveredState) => void heir.inherited.push(inheritance),
    } satisfies RecoveryTarget & Record<string, unknown>;
    const client = {
      readPrefix: (prefix: string, _timeoutMs: number, done: RangeDone) =>
        void reads.push({ prefix, done }),
    };
    new FailoverRecovery(new EventLoop(runtime, silentLogger), client, heir).start();
    return { runtime, reads, heir };
  }

  const item = { key: 'live/req-1', value: {}, version: 3 };

  it('reads jobs, then pages, and repeats what failed', () => {
    const { runtime, reads, heir } = begin();
    reads.shift()?.done({ kind: 'failed' });
    runtime.advance(500);
    const jobs = reads.shift();
    assert.equal(jobs?.prefix, 'live/');
    jobs.done({ kind: 'ok', value: { items: [item], revision: 9 } });
    assert.equal(heir.jobs, 1);
    reads.shift()?.done({ kind: 'ok', value: { items: [], revision: 10 } });
    assert.deepEqual(heir.inherited, [{ jobs: [item], revision: 9, sentAt: 500, pages: [] }]);
  });

  it('stops when the term is over', () => {
    const { runtime, reads, heir } = begin();
    heir.closed = true;
    reads.shift()?.done({ kind: 'failed' });
    runtime.advance(500);
    assert.deepEqual(reads, []);
  });
});

describe('learned figures', () => {
  it('come back from the records as they were saved', () => {
    const eventLoop = new EventLoop(new ManualRuntime(), silentLogger);
    const records = immediateRecords({ learned: { ratios: { c: [1, 2] } } });
    const before = new LearnedStatistics(eventLoop, settings);
    before.load(records, []);
    before.save(records);
    assert.ok(!records.has('learned'), 'the single record of older versions stays');
    const after = new LearnedStatistics(eventLoop, settings);
    after.load(records, []);
    assert.deepEqual(before.estimates.exportStatistics(), { c: [1, 2] });
    assert.deepEqual(after.estimates.exportStatistics(), before.estimates.exportStatistics());
  });
});
