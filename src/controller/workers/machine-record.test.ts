import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { newMachine, settings } from '../../../test/workers-fixture.js';
import type { Assignment, Machine } from '../model/entities.js';
import { storedSize } from '../store/page.js';
import { combineInts, type Int } from '../wire/integers.js';
import { decodeMachineRecord, encodeMachineRecord } from './machine-record.js';

const NOW = 500_000;
const WALL_CLOCK_NOW = 1_700_000_000_000;
/** Length of a time slot in ms; tasks assigned in the same slot share one time in the record. */
const TIME_SLOT_MS = settings.heartbeatIntervalMs * 2;
const ATTEMPTS_PER_TERM = 2 ** 22;

interface AssignedTask {
  job: number;
  task: number;
  attempt: Int;
  assignedAt: number;
}

/** Teams of jobs with even and odd numbers; the letters of one take more bytes than characters. */
const TEAMS = ['red', 'équipe-Εσπερινή-夜'];

/** Attempt numbers in their whole range: JSON would round those of the later terms. */
const attemptNumber = fc
  .tuple(fc.constantFrom(77, 2 ** 31, 2 ** 42 - 1), fc.integer({ min: 1, max: 4 }))
  .map(([term, attempt]) => combineInts(term, ATTEMPTS_PER_TERM, attempt));
const assignedTask: fc.Arbitrary<AssignedTask> = fc.record({
  job: fc.nat(4),
  task: fc.nat(1200),
  attempt: attemptNumber,
  assignedAt: fc.double({ min: 0, max: NOW, noNaN: true }),
});
const assignedTasks = fc.uniqueArray(assignedTask, {
  maxLength: 60,
  selector: ({ job, task }) => `${job}/${task}`,
});

function assignmentOf(
  { job, task, attempt, assignedAt }: AssignedTask,
  machine: Machine,
): Assignment {
  const jobId = `req-${String(job).padStart(6, '0')}`;
  return {
    ...{ name: `${jobId}/${task}`, jobId, job: null, team: TEAMS[job % 2] ?? '', task },
    ...{ attempt, machine, agentEpoch: 1, assignedAt },
    ...{ request: { cpus: 1.25, gpus: 0, memoryGb: 2.3 }, checkpointSaveS: 0, phase: 'seen' },
    ...{ state: null, startSentSequence: null, runningAt: null },
    ...{ lastHeartbeatNumber: 0, stop: null },
  };
}

function machineWith(tasks: readonly AssignedTask[]): Machine {
  const machine = newMachine();
  for (const task of tasks) {
    const assignment = assignmentOf(task, machine);
    machine.assignments.set(assignment.name, assignment);
    machine.recordSize.add(assignment);
  }
  return machine;
}

function encode(machine: Machine): unknown[] {
  return encodeMachineRecord(machine, settings, NOW, WALL_CLOCK_NOW);
}

/** Size of the machine's record in a page, which contains it as JSON in a text. */
function sizeInPage(machine: Machine): number {
  return storedSize(JSON.stringify(encode(machine)));
}

describe('a machine record', () => {
  it('preserves each task, its request, and its time within two heartbeat intervals', () => {
    fc.assert(
      fc.property(assignedTasks, (tasks) => {
        const machine = machineWith(tasks);
        const stored = JSON.parse(JSON.stringify(encode(machine))) as unknown[];
        const decoded = decodeMachineRecord(stored, WALL_CLOCK_NOW);
        assert.equal(decoded.tasks.length, tasks.length);
        for (const recorded of decoded.tasks) {
          const name = `${recorded.jobId}/${recorded.task}`;
          const assignment = machine.assignments.get(name);
          assert.ok(assignment, name);
          assert.equal(recorded.attempt, assignment.attempt);
          assert.deepEqual(recorded.request, assignment.request);
          const assignedAt = NOW - (WALL_CLOCK_NOW - recorded.assignedAtWallClock);
          const differenceMs = Math.abs(assignedAt - assignment.assignedAt);
          assert.ok(differenceMs <= TIME_SLOT_MS + 1, `${name}: ${differenceMs} ms`);
        }
      }),
      { seed: 5 },
    );
  });

  it('uses at most the tracked number of bytes for tasks, which is 0 without tasks', () => {
    fc.assert(
      fc.property(assignedTasks, (tasks) => {
        const machine = machineWith(tasks);
        const { recordSize } = machine;
        const tasksBytes = sizeInPage(machine) - sizeInPage(newMachine());
        assert.ok(
          tasksBytes <= recordSize.bytes,
          `${tasksBytes} bytes written, at most ${recordSize.bytes} expected`,
        );
        for (const assignment of machine.assignments.values()) recordSize.remove(assignment);
        assert.equal(recordSize.bytes, 0);
      }),
      { seed: 6 },
    );
  });

  it('groups the tasks of one attempt that were assigned in the same time slot', () => {
    const tasks = Array.from({ length: 40 }, (_, task) => {
      return {
        job: 1,
        task,
        attempt: 1,
        assignedAt: task < 30 ? 1000 : 1000 + TIME_SLOT_MS,
      };
    });
    const value = encode(machineWith(tasks));
    const [, , , , , job] = value;
    assert.equal(value.length, 6, 'one job');
    assert.equal((job as unknown[]).slice(6).length, 2, 'two time slots');
  });
});
