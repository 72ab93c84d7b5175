import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { FakeClock } from '../../../test/fakes.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { Machine } from '../model/entities.js';
import { AgentEpochs } from './agent-epochs.js';

const settings = new Settings(standalonePlatform(), defaultProperties());

/** Sessions whose collaborators write down what they are told. */
function setUp(): { clock: FakeClock; machine: Machine; sessions: AgentEpochs; told: string[] } {
  const clock = new FakeClock(0);
  const told: string[] = [];
  const sessions = new AgentEpochs(
    clock,
    settings,
    { requireNewToken: ({ id }) => told.push(`sync ${id}`) },
    {
      endAll: ({ id }) => told.push(`end all ${id}`),
      endBeforeEpoch: ({ id }, session) => told.push(`end ${id} before ${session}`),
    },
    {
      placementInputChanged: () => told.push('changed'),
      recordDue: ({ id }) => told.push(`record ${id}`),
    },
  );
  return { clock, machine: new Machine('n-1', 0, settings), sessions, told };
}

describe('sessions', () => {
  it('end what was before them, and ask a known worker for a new token', () => {
    const { machine, sessions, told } = setUp();
    sessions.begin(machine, 3);
    assert.deepEqual(told.splice(0), ['end n-1 before 3', 'record n-1']);
    machine.directStartTokens.set('req-1/0@9', 1);
    sessions.begin(machine, 4);
    assert.deepEqual(told, ['end n-1 before 4', 'sync n-1', 'record n-1']);
    assert.equal(machine.agentEpoch, 4);
    assert.equal(machine.directStartTokens.size, 0);
  });

  it('are over once the lease has surely run out, and told so once', () => {
    const { clock, machine, sessions, told } = setUp();
    machine.agentEpoch = 3;
    clock.time = settings.workerLeaseExpiryMs;
    sessions.expireLeases([machine]);
    assert.deepEqual(told, []);
    clock.time++;
    sessions.expireLeases([machine]);
    sessions.expireLeases([machine]);
    assert.deepEqual(told, ['sync n-1', 'end all n-1', 'changed']);
    assert.equal(machine.lowestValidAgentEpoch, 4);
  });
});
