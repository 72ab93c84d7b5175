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
  const maxQueueMs = 1000;
  let runtime: ManualRuntime;
  let eventLoop: EventLoop;
  let client: StateStoreClient;
  let groupCommit: GroupCommit;

  beforeEach(() => {
    runtime = new ManualRuntime();
    eventLoop = new EventLoop(runtime, silentLogger);
    client = new StateStoreClient(eventLoop, new Settings(platform, defaultProperties()));
    client.budget.setRole(true);
    runtime.advance(1000);
    const options = { tokenReserve: 0, timeoutMs: 1000, maxQueueMs, minIntervalMs };
    groupCommit = new GroupCommit(eventLoop, client, options);
  });

  /** Adds comparisons of `count` keys, numbered from `firstNumber`, in one batch of events. */
  function addComparisons(firstNumber: number, count: number): void {
    for (let i = firstNumber; i < firstNumber + count; i++)
      groupCommit.add({
        conditions: [{ key: `final/req-${i}`, version: 0 }],
        writes: [],
        done: () => undefined,
      });
    runtime.advance(0);
    eventLoop.post('end of the batch', () => undefined);
    runtime.advance(0);
  }

  it('delays a transaction that is not full until the shortest interval has passed', () => {
    addComparisons(0, 1);
    assert.equal(runtime.calls.length, 1);
    runtime.answer(200, { ledger: 1 });
    addComparisons(1, conditionsPerTransaction - 1);
    assert.equal(runtime.calls.length, 0);
    runtime.advance(minIntervalMs);
    assert.equal(runtime.calls.length, 1);
  });

  // Guards against a fixed number of transactions per interval, which limited the rate of status queries.
  it('sends a full transaction without waiting for the interval', () => {
    addComparisons(0, 1);
    runtime.answer(200, { ledger: 1 });
    addComparisons(1, conditionsPerTransaction);
    assert.equal(runtime.calls.length, 1);
  });

  /** Adds one entry with a write for each key in one batch of events. Returns the outcomes by key. */
  function addWrites(keys: string[]): Map<string, string> {
    const outcomes = new Map<string, string>();
    for (const key of keys)
      groupCommit.add({
        conditions: [{ key, version: 0 }],
        writes: [{ put: key, value: 1 }],
        done: ({ kind }) => outcomes.set(key, kind),
      });
    runtime.advance(0);
    eventLoop.post('end of the batch', () => undefined);
    runtime.advance(0);
    return outcomes;
  }

  /** Responds to the transaction in flight, and returns the keys that it writes. */
  function answer(status: number, body: unknown): string[] {
    const { writes } = runtime.answer(status, body).body as { writes: { set: string }[] };
    return writes.map(({ set }) => set);
  }

  it('reports a conflict to the entry whose condition failed, and sends the others again', () => {
    const outcomes = addWrites(['a', 'b', 'c']);
    assert.deepEqual(answer(409, { failed: ['b'] }), ['a', 'b', 'c']);
    assert.deepEqual([...outcomes], [['b', 'conflict']]);
    assert.deepEqual(answer(200, { ledger: 1 }), ['a', 'c']);
    assert.deepEqual(outcomes.get('a'), 'ok');
    assert.deepEqual(outcomes.get('c'), 'ok');
  });

  it('sends entries one by one after a transaction was rejected, and fails only the faulty one', () => {
    const outcomes = addWrites(['a', 'b', 'c']);
    assert.deepEqual(answer(400, { error: 'malformed' }), ['a', 'b', 'c']);
    assert.equal(outcomes.size, 0);
    assert.deepEqual(answer(400, { error: 'malformed' }), ['a']);
    assert.deepEqual([...outcomes], [['a', 'too-large']]);
    runtime.advance(minIntervalMs);
    assert.deepEqual(answer(200, { ledger: 1 }), ['b', 'c']);
    assert.deepEqual(outcomes.get('b'), 'ok');
    assert.deepEqual(outcomes.get('c'), 'ok');
  });

  it('puts two entries with conditions on the same key into separate transactions', () => {
    addWrites(['a', 'a']);
    assert.deepEqual(answer(200, { ledger: 1 }), ['a']);
    runtime.advance(minIntervalMs);
    assert.deepEqual(answer(409, { failed: ['a'] }), ['a']);
  });

  it('refuses an entry that could not be sent within the longest queueing time', () => {
    client.budget.requestTokens.pauseFor(maxQueueMs + 1);
    const isQueued = groupCommit.add({ conditions: [], writes: [], done: () => undefined });
    assert.equal(isQueued, false);
    assert.equal(client.budget.queuedWrites, 0);
  });

  // Guards against requests of users that got no answer: entries that expired were dropped only when a token came.
  it('drops an expired entry although no token comes', () => {
    addWrites(['a']);
    answer(200, { ledger: 1 });
    const outcomes = addWrites(['b']);
    client.budget.requestTokens.forceTake(1_000_000);
    runtime.advance(maxQueueMs / 2);
    assert.deepEqual([...outcomes], []);
    runtime.advance(maxQueueMs / 2 + 1);
    runtime.advance(maxQueueMs);
    assert.deepEqual([...outcomes], [['b', 'refused']]);
  });

  it('drops an entry that has been queued for longer than the longest queueing time', () => {
    addWrites(['a']);
    const outcomes = addWrites(['b']);
    assert.equal(client.budget.queuedWrites, 1);
    runtime.advance(maxQueueMs + 1);
    answer(200, { ledger: 1 });
    runtime.advance(minIntervalMs);
    assert.deepEqual([...outcomes], [['b', 'refused']]);
    assert.equal(client.budget.queuedWrites, 0);
    assert.equal(runtime.calls.length, 0);
  });
});
