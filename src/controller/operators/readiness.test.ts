import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Readiness } from './readiness.js';

describe('Readiness', () => {
  function setUp() {
    const state = {
      sinceSuccessMs: Infinity,
      isUnavailable: false,
      servedElsewhere: false,
      typesKnown: false,
    };
    const peers = { stateServedElsewhere: () => state.servedElsewhere };
    const readiness = new Readiness({ leaderLeaseMs: 1000 }, state, peers, () => state.typesKnown);
    return { state, readiness };
  }

  it('is unready until it knows the machine types and the state store has served the node', () => {
    const { state, readiness } = setUp();
    assert.ok(!readiness.ready);
    state.typesKnown = true;
    assert.ok(!readiness.ready);
    state.sinceSuccessMs = 0;
    assert.ok(readiness.ready);
  });

  it('becomes unready only while the state store serves other nodes and not this one', () => {
    const { state, readiness } = setUp();
    Object.assign(state, { typesKnown: true, sinceSuccessMs: 0 });
    assert.ok(readiness.ready);
    Object.assign(state, { sinceSuccessMs: 400, isUnavailable: true });
    assert.ok(readiness.ready);
    state.servedElsewhere = true;
    assert.ok(!readiness.ready);
    state.sinceSuccessMs = 399;
    assert.ok(readiness.ready);
  });
});
