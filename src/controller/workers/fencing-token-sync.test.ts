import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { FakeClock } from '../../../test/fakes.js';
import { newMachine, TERM, TOKEN } from '../../../test/workers-fixture.js';
import { attemptKey, type Machine } from '../model/entities.js';
import { FencingTokenSync } from './fencing-token-sync.js';
import { FENCING_EPOCH_LIMIT, makeFencingToken } from './fencing-token.js';

describe('FencingTokenSync', () => {
  let fencingTokens: FencingTokenSync;
  let machine: Machine;

  beforeEach(() => {
    fencingTokens = new FencingTokenSync(new FakeClock(1000), TERM);
    machine = newMachine();
    machine.expectedToken = fencingTokens.currentToken(machine);
  });

  it('treats the token as acknowledged once a heartbeat reports the expected token', () => {
    assert.ok(!fencingTokens.acknowledge(machine, makeFencingToken(TERM - 1, 9)));
    const laterLeaderToken = makeFencingToken(TERM + 1, 0);
    assert.ok(
      !fencingTokens.acknowledge(machine, laterLeaderToken),
      'the token is of another leader',
    );
    assert.ok(!machine.tokenAcknowledged);
    assert.ok(fencingTokens.acknowledge(machine, TOKEN));
    assert.ok(machine.tokenAcknowledged);
    assert.ok(!fencingTokens.acknowledge(machine, TOKEN), 'the token was acknowledged before');
  });

  it('accepts only the raised token after a new token was required', () => {
    fencingTokens.acknowledge(machine, TOKEN);
    fencingTokens.requireNewToken(machine);
    assert.equal(machine.tokenUnacknowledgedSince, 1000);
    assert.ok(!fencingTokens.acknowledge(machine, TOKEN));
    assert.ok(fencingTokens.acknowledge(machine, TOKEN + 1));
  });

  it('voids a direct start by raising the fencing epoch once, until a heartbeat reports that epoch', () => {
    assert.ok(!fencingTokens.voidDirectStart(machine, 'req-1/0', 9));
    machine.directStartTokens.set(attemptKey('req-1/0', 9), fencingTokens.currentToken(machine));
    assert.ok(fencingTokens.voidDirectStart(machine, 'req-1/0', 9));
    assert.ok(
      fencingTokens.voidDirectStart(machine, 'req-1/0', 9),
      'the start may be carried out until the raised token is reported',
    );
    assert.equal(machine.fencingEpoch, 1);
    fencingTokens.acknowledge(machine, TOKEN + 1);
    assert.ok(!fencingTokens.voidDirectStart(machine, 'req-1/0', 9));
  });

  it('requires a new token after two heartbeats with lost starts, counting each heartbeat once', () => {
    fencingTokens.acknowledge(machine, TOKEN);
    assert.ok(!fencingTokens.recordLostStart(machine, 1));
    assert.ok(!fencingTokens.recordLostStart(machine, 1));
    assert.ok(machine.tokenAcknowledged);
    assert.ok(fencingTokens.recordLostStart(machine, 2));
    assert.ok(!machine.tokenAcknowledged);
    assert.equal(machine.expectedToken, TOKEN + 1);
  });

  it('allows no direct starts once the fencing epoch has reached its limit', () => {
    fencingTokens.acknowledge(machine, TOKEN);
    assert.ok(fencingTokens.mayStartDirectly(machine));
    machine.fencingEpoch = FENCING_EPOCH_LIMIT;
    assert.ok(!fencingTokens.mayStartDirectly(machine));
    fencingTokens.requireNewToken(machine);
    assert.equal(machine.fencingEpoch, FENCING_EPOCH_LIMIT);
  });
});
