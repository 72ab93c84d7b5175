import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  bigMachine,
  capacityOf,
  gpuJob,
  runningAssignment,
} from '../../../../test/placement-fixtures.js';
import type { Assignment } from '../../model/entities.js';
import { HypotheticalCapacity } from '../capacity/hypothetical-capacity.js';
import type { ExpectedEnd } from '../capacity/machine-forecast.js';
import { VictimSelector } from './victim-selector.js';

const NOW = 1000;
const HEARTBEAT_MS = 100;

/** Creates a task that takes `gpus` of the machine's four GPUs and needs 3 s to save its checkpoint. */
function task(gpus: number, endsAt: number): ExpectedEnd {
  const assignment = runningAssignment(gpuJob(), bigMachine());
  return { assignment: { ...assignment, request: { cpus: 1, gpus, memoryGb: 1 } }, endsAt };
}

function setUp(eligible: readonly ExpectedEnd[]) {
  const machine = bigMachine();
  for (const { assignment } of eligible) machine.allocate(assignment);
  const hypothetical = new HypotheticalCapacity();
  hypothetical.reset(capacityOf(machine), { cpus: 0, gpus: 0, memoryGb: 0 }, 0);
  const policy = {
    lostWorkMs: () => 7,
    mayPreempt: (_job: unknown, _now: number, { request }: Assignment) => request.gpus === 1,
  };
  const selector = new VictimSelector({ heartbeatIntervalMs: HEARTBEAT_MS }, policy, hypothetical);
  const select = (gpus: number, freeAt: number) =>
    selector.select({ cpus: 1, gpus, memoryGb: 1 }, eligible, freeAt, NOW);
  return { hypothetical, selector, select };
}

describe('VictimSelector', () => {
  it('preempts tasks in the given order until the request fits, and waits for their checkpoint saves', () => {
    const [first, second, third] = [task(1, 9000), task(1, 9000), task(2, 9000)];
    const { select } = setUp([first, second, third]);
    assert.deepEqual(select(2, NOW), {
      ...{ fillAt: NOW + HEARTBEAT_MS + 3000, lostWorkMs: 14, hasStopping: false },
      victims: [first.assignment, second.assignment],
    });
  });

  it('drops victims that are not needed because a larger victim is selected later', () => {
    const [small, large] = [task(1, 9000), task(3, 9000)];
    const { select } = setUp([small, large]);
    assert.deepEqual(select(3, NOW)?.victims, [large.assignment]);
  });

  it('does not preempt tasks that are expected to end in time', () => {
    const [ending, running] = [task(2, 1500), task(2, 9000)];
    const { select } = setUp([ending, running]);
    const plan = select(4, 1500);
    assert.deepEqual(plan?.victims, [running.assignment]);
  });

  it('returns null if the request does not fit even without all eligible tasks', () => {
    const { select } = setUp([task(2, 9000), task(1, 9000)]);
    assert.equal(select(5, NOW), null);
  });

  it('restores the hypothetical capacity', () => {
    const { hypothetical, select } = setUp([task(2, 1500), task(2, 9000)]);
    const before = structuredClone(hypothetical);
    select(4, 1500);
    select(5, 1500);
    assert.deepEqual(structuredClone(hypothetical), before);
  });

  it('splits tasks by the policy, and leaves out stopping tasks and planned victims', () => {
    const [eligible, other, planned] = [task(1, 1), task(2, 2), task(1, 3)];
    const stopping = task(1, 4);
    stopping.assignment.stop = {
      ...{ graceS: 0, requestedAt: 0, reason: 'preempted', sentAsDirectCommand: false },
    };
    const { selector } = setUp([]);
    const forecast = {
      ...{ expectedEnds: [eligible, other, planned, stopping], hasStopping: true },
      ...{ longestSaveMs: 0, lowestLevel: 0, hasUnguaranteed: true },
    };
    const search = { now: NOW, job: gpuJob(), onlyByPreemption: false };
    const split = selector.split(search, forecast, new Set([planned.assignment]));
    assert.deepEqual(split, { eligible: [eligible], others: [other] });
  });
});
