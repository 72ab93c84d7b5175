import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { EventLoop } from '../runtime/event-loop.js';
import type { StateStoreClient } from '../store/client.js';
import type { KeyValue } from '../wire/state.js';
import { FailoverRecovery, type RecoveredState, type RecoveryTarget } from './failover-recovery.js';

type ReadPrefixDone = Parameters<StateStoreClient['readPrefix']>[2];

/** Records the calls that the recovery makes to its target. */
class RecordingTarget implements RecoveryTarget {
  closed = false;
  activeJobCount = 0;
  readonly recovered: RecoveredState[] = [];

  activeJobsRead(jobs: readonly KeyValue[]): void {
    this.activeJobCount += jobs.length;
  }

  recover(state: RecoveredState): void {
    this.recovered.push(state);
  }
}

/** Starts a recovery; `reads` contains its reads that have not been answered. */
function startRecovery() {
  const runtime = new ManualRuntime();
  const reads: { prefix: string; done: ReadPrefixDone }[] = [];
  const target = new RecordingTarget();
  const client = {
    readPrefix: (prefix: string, _timeoutMs: number, done: ReadPrefixDone) =>
      void reads.push({ prefix, done }),
  };
  new FailoverRecovery(new EventLoop(runtime, silentLogger), client, target).start();
  return { runtime, reads, target };
}

describe('FailoverRecovery', () => {
  const item = { key: 'live/req-1', value: {}, version: 3 };

  it('reads the jobs and then the pages, and repeats a failed read', () => {
    const { runtime, reads, target } = startRecovery();
    reads.shift()?.done({ kind: 'failed' });
    runtime.advance(500);
    const jobsRead = reads.shift();
    assert.equal(jobsRead?.prefix, 'live/');
    jobsRead.done({ kind: 'ok', value: { items: [item], revision: 9 } });
    assert.equal(target.activeJobCount, 1);
    reads.shift()?.done({ kind: 'ok', value: { items: [], revision: 10 } });
    assert.deepEqual(target.recovered, [{ jobs: [item], revision: 9, sentAt: 500, pages: [] }]);
  });

  it('stops reading when the term has ended', () => {
    const { runtime, reads, target } = startRecovery();
    target.closed = true;
    reads.shift()?.done({ kind: 'failed' });
    runtime.advance(500);
    assert.deepEqual(reads, []);
  });
});
