import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { platformOf, defaultPlatformOptions } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { MAX_CONDITIONS_PER_WRITE } from './batch.js';
import { StateStoreClient } from './client.js';
import { GroupCommit } from './group-commit.js';

describe('GroupCommit', () => {
  const platform = platformOf(['kiln-0'], 'kiln-0', defaultPlatformOptions);
  const conditionsPerTransaction = defaultPlatformOptions.txnOps * MAX_CONDITIONS_PER_WRITE;
  const minIntervalMs = 200;
  let runtime: ManualRuntime;
  let eventLoop: EventLoop;
  let groupCommit: GroupCommit;

  beforeEach(() => {
    runtime = new ManualRuntime();
    eventLoop = new EventLoop(runtime, silentLogger);
    const client = new StateStoreClient(eventLoop, new Settings(platform, defaultProperties()));
    client.budget.setRole(true);
    runtime.advance(1000);
    const options = { tokenReserve: 0, timeoutMs: 1000, maxQueueMs: 1000, minIntervalMs };
    groupCommit = new GroupCommit(eventLoop, client, options);
  });

  /** Adds comparisons of so many keys, the first of them with this number, in one batch of events. */
  function addComparisons(first: number, count: number): void {
    for (let i = first; i < first + count; i++)
      groupCommit.add({
        conditions: [{ key: `final/req-${i}`, version: 0 }],
        writes: [],
        done: () => undefined,
      });
    runtime.advance(0);
    eventLoop.post('end of the batch', () => undefined);
    runtime.advance(0);
  }

  it('delays a transaction that is not full until the least interval has passed', () => {
    addComparisons(0, 1);
    assert.equal(runtime.calls.length, 1);
    runtime.answer(200, { ledger: 1 });
    addComparisons(1, conditionsPerTransaction - 1);
    assert.equal(runtime.calls.length, 0);
    runtime.advance(minIntervalMs);
    assert.equal(runtime.calls.length, 1);
  });

  // Status queries had so many transactions in an interval and no more, however many users asked.
  it('sends a full transaction at once', () => {
    addComparisons(0, 1);
    runtime.answer(200, { ledger: 1 });
    addComparisons(1, conditionsPerTransaction);
    assert.equal(runtime.calls.length, 1);
  });
});
