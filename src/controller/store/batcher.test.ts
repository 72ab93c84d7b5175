import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualEnv, silentLogger } from '../../../test/manual-env.js';
import { oneOf, usual } from '../../../test/platform.js';
import { Core } from '../core/core.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { Batcher } from './batcher.js';
import { StateClient } from './client.js';

describe('batcher', () => {
  const platform = oneOf(['kiln-0'], 'kiln-0', usual);
  const conditionsPerTransaction = usual.txnOps * 4;

  function setUp() {
    const env = new ManualEnv();
    const core = new Core(env, silentLogger);
    const client = new StateClient(core, new Settings(platform, defaultProperties()));
    client.setRole(true);
    env.advance(1000);
    const options = { reserve: 0, timeoutMs: 1000, queueMs: 1000, everyMs: 200 };
    const batcher = new Batcher(core, client, options);
    const ask = (from: number, count: number): void => {
      for (let i = from; i < from + count; i++)
        batcher.add({
          ...{ conditions: [{ key: `final/req-${i}`, version: 0 }], writes: [] },
          done: () => undefined,
        });
      env.advance(0);
      core.post('end of the batch', () => undefined);
      env.advance(0);
    };
    return { env, ask };
  }

  it('waits for more to share a transaction that is not full', () => {
    const { env, ask } = setUp();
    ask(0, 1);
    assert.equal(env.calls.length, 1);
    env.answer(200, { ledger: 1 });
    ask(1, conditionsPerTransaction - 1);
    assert.equal(env.calls.length, 0);
    env.advance(200);
    assert.equal(env.calls.length, 1);
  });

  // Questions had so many transactions in a report interval and no more, however many users asked.
  it('sends a full transaction at once', () => {
    const { env, ask } = setUp();
    ask(0, 1);
    env.answer(200, { ledger: 1 });
    ask(1, conditionsPerTransaction);
    assert.equal(env.calls.length, 1);
  });
});
