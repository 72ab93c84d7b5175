import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { acceptedJob } from '../../../test/fakes.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { WorkerCommand } from '../wire/workers.js';
import { planAssignment, type Assignment, Machine } from '../model/entities.js';
import { addCommand } from './commands.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const ATTEMPT = 9;
const STOP = { graceS: 5, requestedAt: 0, reason: 'preempted', sentAsDirectCommand: false };

function assignmentIn(part: Partial<Assignment>): Assignment {
  const machine = new Machine('n-1', 0, settings);
  machine.agentEpoch = 1;
  const job = acceptedJob({ checkpointSaveS: 10 });
  return Object.assign(planAssignment(job, 0, ATTEMPT, machine, 0), part);
}

function ordersFor(assignment: Assignment, now = 0, session = 1): WorkerCommand[] {
  const orders: WorkerCommand[] = [];
  addCommand(assignment, { agentEpoch: session, sequence: 7 }, orders, settings, now);
  return orders;
}

describe('orders', () => {
  it('start what is on record, in its own session', () => {
    const assignment = assignmentIn({ phase: 'recorded' });
    assert.deepEqual(ordersFor(assignment, 0, 2), []);
    const start = { op: 'start', name: 'req-1/0', attempt: ATTEMPT };
    assert.deepEqual(ordersFor(assignment), [start]);
    assert.equal(assignment.phase, 'sent');
    assert.equal(assignment.startSentSequence, 7);
    assert.deepEqual(ordersFor(assignment), []);
    assert.deepEqual(ordersFor(assignmentIn({ phase: 'planned' })), []);
  });

  it('repeat a stop until the task saves', () => {
    const assignment = assignmentIn({ phase: 'seen', state: 'running', stop: { ...STOP } });
    const stop = { op: 'stop', name: 'req-1/0', attempt: ATTEMPT, graceS: 5 };
    assert.deepEqual(ordersFor(assignment), [stop]);
    assert.deepEqual(ordersFor(assignment), [stop]);
    assignment.state = 'saving';
    assert.deepEqual(ordersFor(assignment), []);
  });

  it('cut saving short that takes far too long, or is not wanted any more', () => {
    const assignment = assignmentIn({ phase: 'seen', state: 'saving', stop: { ...STOP } });
    const { gangPeerExitS } = settings.platform.workers;
    const allowedMs = (10 * 2 + gangPeerExitS) * 1000 + settings.heartbeatIntervalMs;
    const stop = { op: 'stop', name: 'req-1/0', attempt: ATTEMPT, graceS: 0 };
    assert.deepEqual(ordersFor(assignment, allowedMs), []);
    assert.deepEqual(ordersFor(assignment, allowedMs + 1), [stop]);
    assignment.stop = { ...STOP, graceS: 0 };
    assert.deepEqual(ordersFor(assignment), [stop]);
  });
});
