import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { FakeClock } from '../../../test/fakes.js';
import { newMachine, settings } from '../../../test/workers-fixture.js';
import type { Machine } from '../model/entities.js';
import { AgentEpochs } from './agent-epochs.js';

describe('AgentEpochs', () => {
  let clock: FakeClock;
  let machine: Machine;
  let agentEpochs: AgentEpochs;
  /** Calls to the collaborators and raised events, in order. */
  let events: string[];

  beforeEach(() => {
    clock = new FakeClock(0);
    machine = newMachine();
    events = [];
    agentEpochs = new AgentEpochs(
      clock,
      settings,
      { requireNewToken: ({ id }) => events.push(`require token ${id}`) },
      {
        endAll: ({ id }) => events.push(`end all ${id}`),
        endBeforeEpoch: ({ id }, agentEpoch) => events.push(`end ${id} before ${agentEpoch}`),
      },
      {
        placementInputChanged: () => events.push('changed'),
        recordDue: ({ id }) => events.push(`record ${id}`),
      },
    );
  });

  it('ends assignments of earlier epochs, and requires a new token from a known worker', () => {
    agentEpochs.begin(machine, 3);
    assert.deepEqual(events.splice(0), ['end n-1 before 3', 'record n-1']);
    machine.directStartTokens.set('req-1/0@9', 1);
    agentEpochs.begin(machine, 4);
    assert.deepEqual(events, ['end n-1 before 4', 'require token n-1', 'record n-1']);
    assert.equal(machine.agentEpoch, 4);
    assert.equal(machine.directStartTokens.size, 0);
  });

  it('ends an agent epoch exactly once, when its lease has certainly expired', () => {
    machine.agentEpoch = 3;
    clock.time = settings.workerLeaseExpiryMs;
    agentEpochs.expireLeases([machine]);
    assert.deepEqual(events, []);
    clock.time++;
    agentEpochs.expireLeases([machine]);
    agentEpochs.expireLeases([machine]);
    assert.deepEqual(events, ['require token n-1', 'end all n-1', 'changed']);
    assert.equal(machine.lowestValidAgentEpoch, 4);
  });
});
