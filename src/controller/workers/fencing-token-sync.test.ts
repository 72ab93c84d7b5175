import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { attemptKey, Machine } from '../model/entities.js';
import { FakeClock } from '../../../test/fakes.js';
import { FENCING_EPOCH_LIMIT, makeFencingToken } from './fencing-token.js';
import { FencingTokenSync } from './fencing-token-sync.js';

const TERM = 50;
const settings = new Settings(standalonePlatform(), defaultProperties());

function setUp(): { fencingTokens: FencingTokenSync; machine: Machine } {
  const fencingTokens = new FencingTokenSync(new FakeClock(1000), TERM);
  const machine = new Machine('n-1', 0, settings);
  machine.expectedToken = fencingTokens.currentToken(machine);
  return { fencingTokens, machine };
}

describe('the sync of tokens', () => {
  it('takes a worker to hear once it shows the expected token of this term', () => {
    const { fencingTokens, machine } = setUp();
    assert.ok(!fencingTokens.acknowledge(machine, makeFencingToken(TERM - 1, 9)));
    assert.ok(
      !fencingTokens.acknowledge(machine, makeFencingToken(TERM + 1, 0)),
      'another leader has it',
    );
    assert.ok(!machine.tokenAcknowledged);
    assert.ok(fencingTokens.acknowledge(machine, makeFencingToken(TERM, 0)));
    assert.ok(machine.tokenAcknowledged);
    assert.ok(!fencingTokens.acknowledge(machine, makeFencingToken(TERM, 0)), 'nothing new');
  });

  it('waits for a raised token after it was required', () => {
    const { fencingTokens, machine } = setUp();
    fencingTokens.acknowledge(machine, makeFencingToken(TERM, 0));
    fencingTokens.requireNewToken(machine);
    assert.equal(machine.tokenUnacknowledgedSince, 1000);
    assert.ok(!fencingTokens.acknowledge(machine, makeFencingToken(TERM, 0)));
    assert.ok(fencingTokens.acknowledge(machine, makeFencingToken(TERM, 1)));
  });

  it('raises the epoch once for the direct starts that are out', () => {
    const { fencingTokens, machine } = setUp();
    assert.ok(!fencingTokens.voidDirectStart(machine, 'req-1/0', 9));
    machine.directStartTokens.set(attemptKey('req-1/0', 9), fencingTokens.currentToken(machine));
    assert.ok(fencingTokens.voidDirectStart(machine, 'req-1/0', 9));
    assert.ok(fencingTokens.voidDirectStart(machine, 'req-1/0', 9), 'until the token shows');
    assert.equal(machine.fencingEpoch, 1);
    fencingTokens.acknowledge(machine, makeFencingToken(TERM, 1));
    assert.ok(!fencingTokens.voidDirectStart(machine, 'req-1/0', 9));
  });

  it('counts a report with lost starts once, and takes the second for deafness', () => {
    const { fencingTokens, machine } = setUp();
    fencingTokens.acknowledge(machine, makeFencingToken(TERM, 0));
    assert.ok(!fencingTokens.recordLostStart(machine, 1));
    assert.ok(!fencingTokens.recordLostStart(machine, 1));
    assert.ok(machine.tokenAcknowledged);
    assert.ok(fencingTokens.recordLostStart(machine, 2));
    assert.ok(!machine.tokenAcknowledged);
    assert.equal(machine.expectedToken, makeFencingToken(TERM, 1));
  });

  it('sends no direct starts when the epochs run out', () => {
    const { fencingTokens, machine } = setUp();
    fencingTokens.acknowledge(machine, makeFencingToken(TERM, 0));
    assert.ok(fencingTokens.mayStartDirectly(machine));
    machine.fencingEpoch = FENCING_EPOCH_LIMIT;
    assert.ok(!fencingTokens.mayStartDirectly(machine));
    fencingTokens.requireNewToken(machine);
    assert.equal(machine.fencingEpoch, FENCING_EPOCH_LIMIT);
  });
});
