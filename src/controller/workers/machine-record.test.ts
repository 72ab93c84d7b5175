import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { standalonePlatform } from '../../../test/platform.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { storedSize } from '../store/page.js';
import { type Assignment, Machine } from '../model/entities.js';
import { decodeMachineRecord, encodeMachineRecord } from './machine-record.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const NOW = 500_000;
const WALL = 1_700_000_000_000;
/** Starts within this time may share one in the record. */
const TOGETHER_MS = settings.heartbeatIntervalMs * 2;
const ATTEMPTS = 2 ** 22;

interface Started {
  job: number;
  task: number;
  attempt: number;
  since: number;
}

const started: fc.Arbitrary<Started> = fc.record({
  job: fc.nat(4),
  task: fc.nat(1200),
  attempt: fc.integer({ min: 1, max: 4 }),
  since: fc.double({ min: 0, max: NOW, noNaN: true }),
});
const tasksOfMachine = fc.uniqueArray(started, {
  maxLength: 60,
  selector: ({ job, task }) => `${job}/${task}`,
});

function machineWith(tasks: readonly Started[]): Machine {
  const machine = new Machine('n-1', 0, settings);
  for (const t of tasks) {
    const jobId = `req-${String(t.job).padStart(6, '0')}`;
    const a: Assignment = {
      ...{ name: `${jobId}/${t.task}`, jobId, job: null, team: 'red', task: t.task },
      ...{ attempt: 77 * ATTEMPTS + t.attempt, machine, agentEpoch: 1, assignedAt: t.since },
      ...{ request: { cpus: 1.25, gpus: 0, memoryGb: 2.3 }, checkpointSaveS: 0, phase: 'seen' },
      ...{
        state: null,
        startSentSequence: null,
        runningAt: null,
        lastHeartbeatNumber: 0,
        stop: null,
      },
    };
    machine.assignments.set(a.name, a);
    machine.recordSize.add(a);
  }
  return machine;
}

describe('the record of a machine', () => {
  it('says of every task what is needed, and when it started, give or take', () => {
    fc.assert(
      fc.property(tasksOfMachine, (tasks) => {
        const machine = machineWith(tasks);
        const text = JSON.stringify(encodeMachineRecord(machine, settings, NOW, WALL));
        const read = decodeMachineRecord(JSON.parse(text), WALL);
        assert.equal(read?.tasks.length, tasks.length);
        for (const t of read.tasks) {
          const a = machine.assignments.get(`${t.jobId}/${t.task}`);
          assert.ok(a, `${t.jobId}/${t.task}`);
          assert.equal(t.attempt, a.attempt);
          assert.deepEqual(t.request, a.request);
          const since = NOW - (WALL - t.assignedAtWallClock);
          assert.ok(
            Math.abs(since - a.assignedAt) <= TOGETHER_MS + 1,
            `${since} for ${a.assignedAt}`,
          );
        }
      }),
      { seed: 5 },
    );
  });

  it('is no larger than is counted, and nothing is counted once its tasks have gone', () => {
    fc.assert(
      fc.property(tasksOfMachine, (tasks) => {
        const machine = machineWith(tasks);
        const empty = storedSize(
          encodeMachineRecord(new Machine('n-1', 0, settings), settings, NOW, WALL),
        );
        const written = storedSize(encodeMachineRecord(machine, settings, NOW, WALL)) - empty;
        assert.ok(written <= machine.recordSize.bytes, `${written} of ${machine.recordSize.bytes}`);
        for (const a of machine.assignments.values()) machine.recordSize.remove(a);
        assert.equal(machine.recordSize.bytes, 0);
      }),
      { seed: 6 },
    );
  });

  it('writes tasks of one attempt that started together as one part', () => {
    const tasks = Array.from({ length: 40 }, (_, task) => {
      return { job: 1, task, attempt: 1, since: task < 30 ? 1000 : 1000 + TOGETHER_MS };
    });
    const value = encodeMachineRecord(machineWith(tasks), settings, NOW, WALL) as unknown[][];
    const [, , , , , job] = value;
    assert.equal(value.length, 6, 'one job');
    assert.equal(job?.slice(6).length, 2, 'two spans of time');
  });
});
