import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { alone } from '../../../test/platform.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { attemptKey } from './assignment.js';
import { Machine } from './machine.js';
import { FakeClock } from '../../../test/stand-ins.js';
import { EPOCH_LIMIT, makeToken } from './token.js';
import { TokenSync } from './token-sync.js';

const TERM = 50;
const settings = new Settings(alone(), defaultProperties());

function setUp(): { sync: TokenSync; machine: Machine } {
  const sync = new TokenSync(new FakeClock(1000), TERM);
  const machine = new Machine('n-1', 0, settings);
  machine.expectedToken = sync.tokenOf(machine);
  return { sync, machine };
}

describe('the sync of tokens', () => {
  it('takes a worker to hear once it shows the expected token of this term', () => {
    const { sync, machine } = setUp();
    assert.ok(!sync.observe(machine, makeToken(TERM - 1, 9)));
    assert.ok(!sync.observe(machine, makeToken(TERM + 1, 0)), 'another leader has it');
    assert.ok(!machine.synced);
    assert.ok(sync.observe(machine, makeToken(TERM, 0)));
    assert.ok(machine.synced);
    assert.ok(!sync.observe(machine, makeToken(TERM, 0)), 'nothing new');
  });

  it('waits for a raised token after it was required', () => {
    const { sync, machine } = setUp();
    sync.observe(machine, makeToken(TERM, 0));
    sync.requireNewToken(machine);
    assert.equal(machine.unsyncedSince, 1000);
    assert.ok(!sync.observe(machine, makeToken(TERM, 0)));
    assert.ok(sync.observe(machine, makeToken(TERM, 1)));
  });

  it('raises the epoch once for the direct starts that are out', () => {
    const { sync, machine } = setUp();
    assert.ok(!sync.voidDirectStart(machine, 'req-1/0', 9));
    machine.directStartTokens.set(attemptKey('req-1/0', 9), sync.tokenOf(machine));
    assert.ok(sync.voidDirectStart(machine, 'req-1/0', 9));
    assert.ok(sync.voidDirectStart(machine, 'req-1/0', 9), 'until the token shows');
    assert.equal(machine.epoch, 1);
    sync.observe(machine, makeToken(TERM, 1));
    assert.ok(!sync.voidDirectStart(machine, 'req-1/0', 9));
  });

  it('counts a report with lost starts once, and takes the second for deafness', () => {
    const { sync, machine } = setUp();
    sync.observe(machine, makeToken(TERM, 0));
    assert.ok(!sync.recordUnheardStart(machine, 1));
    assert.ok(!sync.recordUnheardStart(machine, 1));
    assert.ok(machine.synced);
    assert.ok(sync.recordUnheardStart(machine, 2));
    assert.ok(!machine.synced);
    assert.equal(machine.expectedToken, makeToken(TERM, 1));
  });

  it('sends no direct starts when the epochs run out', () => {
    const { sync, machine } = setUp();
    sync.observe(machine, makeToken(TERM, 0));
    assert.ok(sync.mayStartDirectly(machine));
    machine.epoch = EPOCH_LIMIT;
    assert.ok(!sync.mayStartDirectly(machine));
    sync.requireNewToken(machine);
    assert.equal(machine.epoch, EPOCH_LIMIT);
  });
});
