import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Readiness } from './readiness.js';

describe('readiness', () => {
  function setUp() {
    const state = { okAgeMs: Infinity, down: false, elsewhere: false, typesKnown: false };
    const peers = { stateServedElsewhere: () => state.elsewhere };
    const readiness = new Readiness({ leaderLeaseMs: 1000 }, state, peers, () => state.typesKnown);
    return { state, readiness };
  }

  it('waits for the machine types and the state service', () => {
    const { state, readiness } = setUp();
    assert.ok(!readiness.ready);
    state.typesKnown = true;
    assert.ok(!readiness.ready);
    state.okAgeMs = 0;
    assert.ok(readiness.ready);
  });

  it('ends only while the state service serves others and not this node', () => {
    const { state, readiness } = setUp();
    Object.assign(state, { typesKnown: true, okAgeMs: 0 });
    assert.ok(readiness.ready);
    Object.assign(state, { okAgeMs: 400, down: true });
    assert.ok(readiness.ready);
    state.elsewhere = true;
    assert.ok(!readiness.ready);
    state.okAgeMs = 399;
    assert.ok(readiness.ready);
  });
});
