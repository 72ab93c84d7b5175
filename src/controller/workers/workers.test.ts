import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  RECORDED_ATTEMPT,
  RECORDED_MACHINE,
  settings,
  taskStatus,
  TERM,
  TOKEN,
  WorkersFixture,
} from '../../../test/workers-fixture.js';
import { makeFencingToken } from './fencing-token.js';

describe('Workers: starts', () => {
  it('repeats a start whose response was dropped, until a heartbeat shows the task', () => {
    const fixture = new WorkersFixture();
    fixture.receiveHeartbeat(0);
    fixture.assign(9);
    const { calls } = fixture.runtime;
    assert.equal(calls.length, 0, 'no direct start before the worker has acknowledged the term');
    assert.deepEqual(fixture.receiveHeartbeat(0)?.commands, ['run req-1/0']);
    assert.deepEqual(fixture.receiveHeartbeat(TOKEN)?.commands, ['run req-1/0']);
    assert.deepEqual(fixture.receiveHeartbeat(TOKEN, [taskStatus(9)])?.commands, []);
  });

  // World seed 74: the copy of a direct start that had been answered came again after `clear`.
  it('clears a directly started attempt only with a raised token', () => {
    const fixture = new WorkersFixture();
    fixture.receiveHeartbeat(0);
    fixture.receiveHeartbeat(TOKEN);
    fixture.assign(9);
    fixture.answerDirectCommand();
    const exited = taskStatus(9, { state: 'exited', cause: 'error' });
    const response = fixture.receiveHeartbeat(TOKEN, [exited]);
    assert.deepEqual(response?.commands, ['clear req-1/0']);
    assert.ok(response.token > TOKEN);
  });

  it('takes the absence of a directly started task for proof only once the raised token shows', () => {
    const fixture = new WorkersFixture();
    fixture.receiveHeartbeat(0);
    fixture.receiveHeartbeat(TOKEN);
    fixture.assign(9);
    // The direct start got no response: it may be in flight for long.
    assert.deepEqual(fixture.receiveHeartbeat(TOKEN)?.commands, []);
    assert.equal(fixture.job.currentAssignments.size, 1);
    assert.deepEqual(fixture.receiveHeartbeat(TOKEN + 1)?.commands, ['run req-1/0']);
  });
});

describe('Workers: heartbeats from before the term', () => {
  it('keeps an assignment that such a heartbeat lacks', () => {
    const fixture = new WorkersFixture({}, RECORDED_MACHINE);
    fixture.receiveHeartbeat(makeFencingToken(TERM - 1, 0));
    assert.equal(fixture.job.currentAssignments.size, 1);
    fixture.receiveHeartbeat(TOKEN);
    assert.equal(fixture.job.currentAssignments.size, 0);
    assert.ok(fixture.job.pending.has(0));
  });

  // An attempt that gave up waiting was started again under its number; then a heartbeat from
  // before arrived at a new leader, which took the attempt for ended and placed the task once more.
  it('keeps an assignment that such a heartbeat shows as exited, unless the task is done', () => {
    const earlierToken = makeFencingToken(TERM - 1, 3);
    const fixture = new WorkersFixture({}, RECORDED_MACHINE);
    const exited = taskStatus(RECORDED_ATTEMPT, { state: 'exited', cause: 'alone' });
    fixture.receiveHeartbeat(earlierToken, [exited]);
    assert.equal(fixture.job.currentAssignments.size, 1);
    const running = [taskStatus(RECORDED_ATTEMPT)];
    assert.deepEqual(fixture.receiveHeartbeat(TOKEN, running)?.commands, []);
    assert.equal(fixture.job.currentAssignments.size, 1);
    const completed = new WorkersFixture({}, RECORDED_MACHINE);
    completed.receiveHeartbeat(earlierToken, [{ ...exited, cause: 'done' }]);
    assert.equal(completed.job.doneCount, 1);
  });
});

describe('Workers: leases', () => {
  it('refuses heartbeats of an earlier agent epoch, and late ones of the present', () => {
    const fixture = new WorkersFixture();
    assert.ok(fixture.receiveHeartbeat(0, [], { agentEpoch: 2 }));
    assert.equal(fixture.receiveHeartbeat(0, [], { agentEpoch: 1 }), null);
    assert.equal(fixture.receiveHeartbeat(0, [], { agentEpoch: 2, sequence: 1 }), null);
  });

  it('ends the tasks and the agent epoch once the lease has certainly expired', () => {
    const fixture = new WorkersFixture({}, RECORDED_MACHINE);
    const running = [taskStatus(RECORDED_ATTEMPT)];
    fixture.receiveHeartbeat(TOKEN, running);
    fixture.runtime.advance(settings.workerLeaseMs);
    fixture.workers.expireLeases();
    assert.equal(fixture.job.currentAssignments.size, 1);
    fixture.runtime.advance(settings.workerLeaseMs * 0.03);
    fixture.workers.expireLeases();
    assert.equal(fixture.job.currentAssignments.size, 0);
    assert.equal(fixture.receiveHeartbeat(TOKEN, running), null, 'the agent epoch is over');
  });
});

describe('Workers: gangs', () => {
  // World seeds 135 and 180: one member of a gang was on record, the other was placed beside it,
  // and when the first was gone both were put back, one of them for the second time.
  it('restarts a gang of which one member is recorded as a whole, each task once', () => {
    const fixture = new WorkersFixture({ kind: 'gang' }, RECORDED_MACHINE);
    assert.equal(fixture.incompleteGangs, 1);
    assert.equal(fixture.job.pending.length, 0);
    fixture.receiveHeartbeat(TOKEN);
    assert.equal(fixture.job.pending.length, 2);
    assert.ok(!fixture.job.gangRestarting);
  });

  it('puts a gang of one task back when it is lost', () => {
    const fixture = new WorkersFixture({ kind: 'gang', tasks: 1 }, RECORDED_MACHINE);
    fixture.receiveHeartbeat(TOKEN, [], { agentEpoch: 2 });
    assert.equal(fixture.job.pending.length, 1);
  });
});

describe('Workers: failures', () => {
  // Quarantines doubled up to 64 leases; a job that only such a machine fits waited beside its
  // capacity.
  it('ends a quarantine within three leases, and begins one when the machine fails again', () => {
    const fixture = new WorkersFixture({ tasks: 3 });
    const { job, machine, runtime } = fixture;
    fixture.receiveHeartbeat(0);
    for (let i = 0; i < 6; i++) {
      runtime.advance(Math.max(0, machine.unschedulableUntil - runtime.now()));
      const now = runtime.now();
      job.errorCount = 0;
      job.failedMachines.clear();
      fixture.assign(9 + i);
      fixture.receiveHeartbeat(TOKEN + i);
      const exited = taskStatus(9 + i, { state: 'exited', cause: 'error' });
      fixture.receiveHeartbeat(TOKEN + i, [exited]);
      assert.ok(machine.unschedulableUntil - now <= 3 * settings.workerLeaseMs);
      if (i === 0) machine.consecutiveQuarantines = 1;
      else assert.ok(machine.unschedulableUntil > now, `failure ${i}`);
      assert.ok(job.backoffUntil - now <= 2 * settings.workerLeaseMs);
    }
  });

  for (const cause of ['done', 'error', 'other'] as const)
    it(`replaces a replica that exited with ${cause} at once, but avoids its machine`, () => {
      const fixture = new WorkersFixture({ kind: 'service', tasks: 2, estimatedRunS: 0 });
      const { job, runtime } = fixture;
      fixture.receiveHeartbeat(0);
      fixture.assign(9);
      fixture.receiveHeartbeat(TOKEN);
      fixture.receiveHeartbeat(TOKEN, [taskStatus(9)]);
      assert.equal(job.runningCount, 1);
      assert.equal(job.missingReplicas, 1);
      fixture.receiveHeartbeat(TOKEN, [taskStatus(9, { state: 'exited', cause })]);
      assert.ok(job.pending.has(0));
      assert.equal(job.doneCount, 0);
      assert.ok(job.backoffUntil <= runtime.now(), 'the service itself does not wait');
      const avoidedUntil = job.avoidedMachines.get('n-1')?.until ?? 0;
      assert.ok(avoidedUntil > runtime.now(), 'the machine is avoided');
    });
});
