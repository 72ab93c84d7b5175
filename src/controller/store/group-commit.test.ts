import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { platformOf, defaultOptions } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { GroupCommit } from './group-commit.js';
import { StateStoreClient } from './client.js';

describe('batcher', () => {
  const platform = platformOf(['kiln-0'], 'kiln-0', defaultOptions);
  const conditionsPerTransaction = defaultOptions.txnOps * 4;

  function setUp() {
    const runtime = new ManualRuntime();
    const eventLoop = new EventLoop(runtime, silentLogger);
    const client = new StateStoreClient(eventLoop, new Settings(platform, defaultProperties()));
    client.budget.setRole(true);
    runtime.advance(1000);
    const options = { tokenReserve: 0, timeoutMs: 1000, maxQueueMs: 1000, minIntervalMs: 200 };
    const batcher = new GroupCommit(eventLoop, client, options);
    const ask = (from: number, count: number): void => {
      for (let i = from; i < from + count; i++)
        batcher.add({
          ...{ conditions: [{ key: `final/req-${i}`, version: 0 }], writes: [] },
          done: () => undefined,
        });
      runtime.advance(0);
      eventLoop.post('end of the batch', () => undefined);
      runtime.advance(0);
    };
    return { runtime, ask };
  }

  it('waits for more to share a transaction that is not full', () => {
    const { runtime, ask } = setUp();
    ask(0, 1);
    assert.equal(runtime.calls.length, 1);
    runtime.answer(200, { ledger: 1 });
    ask(1, conditionsPerTransaction - 1);
    assert.equal(runtime.calls.length, 0);
    runtime.advance(200);
    assert.equal(runtime.calls.length, 1);
  });

  // Questions had so many transactions in a report interval and no more, however many users asked.
  it('sends a full transaction at once', () => {
    const { runtime, ask } = setUp();
    ask(0, 1);
    runtime.answer(200, { ledger: 1 });
    ask(1, conditionsPerTransaction);
    assert.equal(runtime.calls.length, 1);
  });
});
