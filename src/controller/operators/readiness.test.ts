import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Readiness } from './readiness.js';

describe('readiness', () => {
  function setUp() {
    const state = {
      sinceSuccessMs: Infinity,
      isUnavailable: false,
      elsewhere: false,
      typesKnown: false,
    };
    const peers = { stateServedElsewhere: () => state.elsewhere };
    const readiness = new Readiness({ leaderLeaseMs: 1000 }, state, peers, () => state.typesKnown);
    return { state, readiness };
  }

  it('waits for the machine types and the state service', () => {
    const { state, readiness } = setUp();
    assert.ok(!readiness.ready);
    state.typesKnown = true;
    assert.ok(!readiness.ready);
    state.sinceSuccessMs = 0;
    assert.ok(readiness.ready);
  });

  it('ends only while the state service serves others and not this node', () => {
    const { state, readiness } = setUp();
    Object.assign(state, { typesKnown: true, sinceSuccessMs: 0 });
    assert.ok(readiness.ready);
    Object.assign(state, { sinceSuccessMs: 400, isUnavailable: true });
    assert.ok(readiness.ready);
    state.elsewhere = true;
    assert.ok(!readiness.ready);
    state.sinceSuccessMs = 399;
    assert.ok(readiness.ready);
  });
});
