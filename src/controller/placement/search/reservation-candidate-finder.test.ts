import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  bigMachine,
  capacityOf,
  defaultSettings,
  gpuJob,
} from '../../../../test/placement-fixtures.js';
import type { Assignment, Machine } from '../../model/entities.js';
import { DurationEstimator } from '../estimates/duration-estimator.js';
import { resourceRequestOf } from '../../model/resource-request.js';
import { PreemptionPolicy } from '../preemption/preemption-policy.js';
import { ReservationCandidateFinder } from './reservation-candidate-finder.js';
import { TeamUsage } from '../../workers/team-usage.js';

/** Adds a task of the team to the machine. The task has been running since time 0. */
function runOn(
  machine: Machine,
  team: string,
  estimatedRunS: number,
  guaranteed = false,
): Assignment {
  const id = `req-${machine.assignments.size}`;
  const job = gpuJob({ id, team, estimatedRunS });
  job.guaranteed = guaranteed;
  const assignment = {
    ...{ name: id, job, team, task: 0, attempt: 1, machine, agentEpoch: 1 },
    ...{ request: resourceRequestOf(job.spec), checkpointSaveS: 0, assignedAt: 0 },
    ...{ phase: 'seen', state: 'running', runningAt: 0, stop: null },
  } as unknown as Assignment;
  machine.assignments.set(id, assignment);
  machine.allocate(assignment);
  return assignment;
}

describe('ReservationCandidateFinder', () => {
  // Guards against reservations that wait for all tasks of a machine because one of them must not be
  // preempted. In the benchmark scenario "restart" with hundreds of machines, most machines ran a task
  // covered by its team's guarantee beside tasks on borrowed capacity.
  it('waits for a task that may not be preempted, and preempts others that would run longer', () => {
    const estimator = new DurationEstimator();
    const policy = new PreemptionPolicy(defaultSettings, estimator, new TeamUsage([]));
    const finder = new ReservationCandidateFinder(defaultSettings, estimator, policy);
    const machine = bigMachine();
    const guaranteedTask = runOn(machine, 'other', 80, true);
    const borrowingTasks = [runOn(machine, 'red', 900), runOn(machine, 'red', 900)];
    const endingSoon = runOn(machine, 'red', 70);
    const now = 60_000;
    const gang = gpuJob({ id: 'req-gang', kind: 'gang', priority: 'high', gpus: 4, tasks: 1 }, now);
    const [candidate] = finder.find({
      ...{ now, job: gang, capacities: [capacityOf(machine)], count: 1 },
      ...{ onlyByPreemption: false, penalty: () => 0 },
    });
    assert.deepEqual(new Set(candidate?.victims), new Set(borrowingTasks));
    assert.ok(
      !candidate?.victims.includes(endingSoon) && !candidate?.victims.includes(guaranteedTask),
    );
    assert.equal(candidate?.fillAt, now + estimator.remainingMs(guaranteedTask, now));
  });
});
