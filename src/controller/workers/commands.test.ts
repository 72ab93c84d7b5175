import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { acceptedJob } from '../../../test/fakes.js';
import { ATTEMPT, newMachine, settings } from '../../../test/workers-fixture.js';
import { type Assignment, planAssignment } from '../model/entities.js';
import type { WorkerCommand } from '../wire/workers.js';
import { addCommand } from './commands.js';

const STOP = { graceS: 5, requestedAt: 0, reason: 'preempted', sentAsDirectCommand: false };

/** Returns an assignment in agent epoch 1 of a job that declares 10 s to save a checkpoint. */
function assignmentWith(overrides: Partial<Assignment>): Assignment {
  const machine = newMachine();
  machine.agentEpoch = 1;
  const job = acceptedJob({ checkpointSaveS: 10 });
  return Object.assign(planAssignment(job, 0, ATTEMPT, machine, 0), overrides);
}

function commandsFor(assignment: Assignment, now = 0, agentEpoch = 1): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  addCommand(assignment, { agentEpoch, sequence: 7 }, commands, settings, now);
  return commands;
}

describe('addCommand', () => {
  it('starts a recorded assignment once, and only in the agent epoch of the assignment', () => {
    const assignment = assignmentWith({ phase: 'recorded' });
    assert.deepEqual(commandsFor(assignment, 0, 2), []);
    const start = { op: 'start', name: 'req-1/0', attempt: ATTEMPT };
    assert.deepEqual(commandsFor(assignment), [start]);
    assert.equal(assignment.phase, 'sent');
    assert.equal(assignment.startSentSequence, 7);
    assert.deepEqual(commandsFor(assignment), []);
  });

  it('does not start an assignment before it is recorded', () => {
    assert.deepEqual(commandsFor(assignmentWith({ phase: 'planned' })), []);
  });

  it('repeats a stop until the task begins to save its checkpoint', () => {
    const assignment = assignmentWith({ phase: 'seen', state: 'running', stop: { ...STOP } });
    const stop = { op: 'stop', name: 'req-1/0', attempt: ATTEMPT, graceS: 5 };
    assert.deepEqual(commandsFor(assignment), [stop]);
    assert.deepEqual(commandsFor(assignment), [stop]);
    assignment.state = 'saving';
    assert.deepEqual(commandsFor(assignment), []);
  });

  it('stops a saving task at once if the save takes too long or the stop allows no time', () => {
    const assignment = assignmentWith({ phase: 'seen', state: 'saving', stop: { ...STOP } });
    const { gangPeerExitS } = settings.platform.workers;
    const allowedMs = (10 * 2 + gangPeerExitS) * 1000 + settings.heartbeatIntervalMs;
    const stop = { op: 'stop', name: 'req-1/0', attempt: ATTEMPT, graceS: 0 };
    assert.deepEqual(commandsFor(assignment, allowedMs), []);
    assert.deepEqual(commandsFor(assignment, allowedMs + 1), [stop]);
    assignment.stop = { ...STOP, graceS: 0 };
    assert.deepEqual(commandsFor(assignment), [stop]);
  });
});
