import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EventLoop } from '../runtime/event-loop.js';
import type { Call, Runtime, Logger, Reply } from '../runtime/runtime.js';
import { JobTable } from '../jobs/job-table.js';
import type { Job } from '../model/entities.js';
import { standalonePlatform } from '../../../test/platform.js';
import { immediateRecords } from '../../../test/fake-records.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { writeJobSpec, type JobSpec } from '../wire/jobs.js';
import type { Heartbeat, TaskStatus } from '../wire/workers.js';
import { makeFencingToken, termOfToken } from './fencing-token.js';
import { Workers } from './workers.js';

const TERM = 50;
const settings = new Settings(standalonePlatform(), defaultProperties());
const nothing = (): void => undefined;
const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };

function spec(part: Partial<JobSpec>): JobSpec {
  return {
    ...{ id: 'req-1', class: 'c', team: 't', kind: 'array', priority: 'normal', tasks: 2 },
    ...{ cpus: 1, gpus: 0, memoryGb: 1, image: 'i', imageGb: 1, types: null, zone: null },
    ...{
      singleZone: false,
      spread: false,
      spot: true,
      estimatedRunS: 10,
      checkpointIntervalS: 0,
      checkpointSaveS: 0,
    },
    deadlineS: null,
    ...part,
  };
}

/** The workers' slice with records that are stored at once and a hand-driven clock. */
class Bench {
  now = 1000;
  readonly calls: { call: Call; done: (r: Reply) => void }[] = [];
  private readonly soon: (() => void)[] = [];
  readonly eventLoop: EventLoop;
  readonly table: JobTable;
  readonly workers: Workers;
  readonly torn: Job[] = [];

  constructor(job: JobSpec, record?: unknown) {
    const runtime: Runtime = {
      startedAt: -Infinity,
      now: () => this.now,
      wallClock: () => this.now,
      random: () => 0.5,
      defer: (fn) => this.soon.push(fn),
      startTimer: () => ({ cancel: () => undefined }),
      call: (call, done) => this.calls.push({ call, done }),
      hasSpareConnection: () => true,
      sendPeer: () => undefined,
    };
    this.eventLoop = new EventLoop(runtime, silent);
    const records = immediateRecords(record === undefined ? {} : { 'm/n-1': record });
    this.table = new JobTable(
      this.eventLoop,
      settings,
      {} as unknown as StateStoreClient,
      records,
      {
        onIncompleteGang: (j) => {
          this.torn.push(j);
          this.workers.stopJob(j, 0, 'torn');
        },
        onJobAdded: () => undefined,
        onTasksPending: () => undefined,
        onRecordRemoved: () => undefined,
        onJobTerminated: () => undefined,
        onCompletionRecorded: () => undefined,
        onTerminalState: () => undefined,
      },
    );
    this.workers = new Workers(this.eventLoop, settings, TERM, records, this.table, {
      findMachineType: () => undefined,
      higherTermSeen: () => undefined,
      placementInputChanged: () => undefined,
      taskCompleted: () => undefined,
    });
    this.table.add(job.id, { job: writeJobSpec(job), at: 0 }, 1);
    this.workers.restore();
    this.table.finishRecovery();
  }

  get job(): Job {
    const j = this.table.jobs.get('req-1');
    assert.ok(j);
    return j;
  }

  private seq = 0;
  report(
    token: number,
    tasks: TaskStatus[],
    part: Partial<Heartbeat> = {},
  ): { orders: string[]; token: number } | null {
    const answer = this.workers.handleHeartbeat({
      ...{ machine: 'n-1', addr: '10.1.0.1:9', type: 'g', zone: 'a', spot: false, agentEpoch: 1 },
      ...{ sequence: ++this.seq, fencingToken: token, spotNoticeS: null, tasks },
      ...part,
    });
    if (answer.status !== 200) return null;
    const body = answer.body as { baton: number; orders: { verb: string; duty: string }[] };
    return { orders: body.orders.map((o) => `${o.verb} ${o.duty}`), token: body.baton };
  }

  /** Answers the last direct command. */
  answer(tasks: unknown[]): void {
    const c = this.calls.pop();
    assert.ok(c);
    const sent = c.call.body as { baton: number };
    const body = {
      ...{ kiln: 'n-1', address: '10.1.0.1:9', model: 'g', hall: 'a', loaners: false },
      ...{ tenure: 1, tally: ++this.seq, baton: sent.baton, recall_s: null, duties: tasks },
    };
    c.done({ status: 200, body });
    for (const fn of this.soon.splice(0)) fn();
  }
}

const task = (attempt: number, part: Partial<TaskStatus> = {}): TaskStatus => ({
  ...{ name: 'req-1/0', attempt, state: 'running', cause: null, checkpointSaved: false },
  ...part,
});

/** A machine's record with one task of the job. */
const recorded = [1, 'g', 'a', 0, '10.1.0.1:9', ['req-1', 't', 1, 0, 1, 0, [5, 0, 0]]];

describe('workers', () => {
  it('takes tokens apart by term, large ones too', () => {
    assert.equal(termOfToken(makeFencingToken(TERM, 7)), TERM);
    assert.equal(termOfToken(2n ** 63n), 2 ** 43);
  });

  it('starts what is on record, and again when the answer was dropped', () => {
    const b = new Bench(spec({}));
    b.report(0, []);
    b.job.pending.remove(0);
    b.workers.assign(b.job, 0, 9, b.workers.getOrCreateMachine('n-1'));
    b.workers.flush();
    assert.equal(b.calls.length, 0, 'no direct start before the worker has shown our term');
    assert.deepEqual(b.report(0, [])?.orders, ['run req-1/0']);
    assert.deepEqual(b.report(makeFencingToken(TERM, 0), [])?.orders, ['run req-1/0']);
    assert.deepEqual(b.report(makeFencingToken(TERM, 0), [task(9)])?.orders, []);
  });

  // World seed 74: the copy of a direct start that had been answered came again after `clear`.
  it('clears a directly started attempt only with a raised token', () => {
    const b = new Bench(spec({}));
    const token = makeFencingToken(TERM, 0);
    b.report(0, []);
    b.report(token, []);
    b.job.pending.remove(0);
    b.workers.assign(b.job, 0, 9, b.workers.getOrCreateMachine('n-1'));
    b.workers.flush();
    b.workers.flush();
    b.answer([]);
    const failed = b.report(token, [task(9, { state: 'exited', cause: 'error' })]);
    assert.deepEqual(failed?.orders, ['clear req-1/0']);
    assert.ok(failed.token > token);
  });

  it('takes absence for proof only once the raised token shows', () => {
    const b = new Bench(spec({}));
    const token = makeFencingToken(TERM, 0);
    b.report(0, []);
    b.report(token, []);
    b.job.pending.remove(0);
    b.workers.assign(b.job, 0, 9, b.workers.getOrCreateMachine('n-1'));
    b.workers.flush();
    b.workers.flush();
    // The direct start got no answer: it may be on its way for long.
    assert.deepEqual(b.report(token, [])?.orders, []);
    assert.equal(b.job.currentAssignments.size, 1);
    assert.deepEqual(b.report(token + 1, [])?.orders, ['run req-1/0']);
  });

  it('does not believe what a report from before its term lacks', () => {
    const b = new Bench(spec({}), recorded);
    b.report(makeFencingToken(TERM - 1, 0), []);
    assert.equal(b.job.currentAssignments.size, 1);
    b.report(makeFencingToken(TERM, 0), []);
    assert.equal(b.job.currentAssignments.size, 0);
    assert.ok(b.job.pending.has(0));
  });

  // An attempt that gave up waiting was started again under its number; then a report from before
  // arrived at a new leader, which took the attempt for ended and placed the task once more.
  it('does not believe from before its term that an attempt has ended, unless it is done', () => {
    const b = new Bench(spec({}), recorded);
    const old = makeFencingToken(TERM - 1, 3);
    b.report(old, [task(5, { state: 'exited', cause: 'alone' })]);
    assert.equal(b.job.currentAssignments.size, 1);
    assert.deepEqual(b.report(makeFencingToken(TERM, 0), [task(5)])?.orders, []);
    assert.equal(b.job.currentAssignments.size, 1);
    const other = new Bench(spec({}), recorded);
    other.report(old, [task(5, { state: 'exited', cause: 'done' })]);
    assert.equal(other.job.doneCount, 1);
  });

  it('ignores late reports, and never renews by them', () => {
    const b = new Bench(spec({}));
    assert.ok(b.report(0, [], { agentEpoch: 2 }));
    assert.equal(b.report(0, [], { agentEpoch: 1 }), null);
    assert.equal(b.report(0, [], { agentEpoch: 2, sequence: 1 }), null);
  });

  it('takes tasks for gone when the lease has surely run out, and the session with them', () => {
    const b = new Bench(spec({}), recorded);
    b.report(makeFencingToken(TERM, 0), [task(5)]);
    b.now += settings.workerLeaseMs;
    b.workers.expireLeases();
    assert.equal(b.job.currentAssignments.size, 1);
    b.now += settings.workerLeaseMs * 0.03;
    b.workers.expireLeases();
    assert.equal(b.job.currentAssignments.size, 0);
    assert.equal(b.report(makeFencingToken(TERM, 0), [task(5)]), null, 'the session is over');
  });

  // World seeds 135 and 180: a part of a gang was on record, the other was placed beside it, and
  // when the first was gone both were put back, one of them for the second time.
  it('starts a torn gang anew as a whole, each task once', () => {
    const b = new Bench(spec({ kind: 'gang' }), recorded);
    assert.equal(b.torn.length, 1);
    assert.equal(b.job.pending.length, 0);
    b.report(makeFencingToken(TERM, 0), []);
    assert.equal(b.job.pending.length, 2);
    assert.ok(!b.job.gangRestarting);
  });

  // Quarantines doubled up to 64 leases; a job that only such a machine fits waited beside its room.
  it('lets a machine out of quarantine soon enough, and back in when it fails again', () => {
    const b = new Bench(spec({ tasks: 3 }));
    const token = makeFencingToken(TERM, 0);
    b.report(0, []);
    const m = b.workers.getOrCreateMachine('n-1');
    for (let i = 0; i < 6; i++) {
      b.now = Math.max(b.now, m.unschedulableUntil);
      b.job.errorCount = 0;
      b.job.failedMachines.clear();
      b.job.pending.remove(0);
      b.workers.assign(b.job, 0, 9 + i, m);
      b.workers.flush();
      b.report(token + i, []);
      b.report(token + i, [task(9 + i, { state: 'exited', cause: 'error' })]);
      assert.ok(m.unschedulableUntil - b.now <= 3 * settings.workerLeaseMs);
      if (i === 0) m.consecutiveQuarantines = 1;
      else assert.ok(m.unschedulableUntil > b.now, `failure ${i}`);
      assert.ok(b.job.backoffUntil - b.now <= 2 * settings.workerLeaseMs);
    }
  });

  for (const cause of ['done', 'error', 'other'] as const)
    it(`replaces a replica that ended with ${cause}, elsewhere and at once`, () => {
      const b = new Bench(spec({ kind: 'service', tasks: 2, estimatedRunS: 0 }));
      const token = makeFencingToken(TERM, 0);
      b.report(0, []);
      const m = b.workers.getOrCreateMachine('n-1');
      b.job.pending.remove(0);
      b.workers.assign(b.job, 0, 9, m);
      b.workers.flush();
      b.report(token, []);
      b.report(token, [task(9)]);
      assert.equal(b.job.runningCount, 1);
      assert.equal(b.job.missingReplicas, 1);
      b.report(token, [task(9, { state: 'exited', cause })]);
      assert.ok(b.job.pending.has(0));
      assert.equal(b.job.doneCount, 0);
      assert.ok(b.job.backoffUntil <= b.now, 'the service itself does not wait');
      assert.ok((b.job.avoidedMachines.get('n-1')?.until ?? 0) > b.now, 'the machine is left out');
    });

  it('puts a gang of one task back when it is lost', () => {
    const b = new Bench(spec({ kind: 'gang', tasks: 1 }), recorded);
    b.report(makeFencingToken(TERM, 0), [], { agentEpoch: 2 });
    assert.equal(b.job.pending.length, 1);
  });
});

// World seed 5: a leader replaced without knowing it saw its successor's end of a job.
describe('the table of jobs', () => {
  it('reads how a job ended that has vanished, and tells nobody before', () => {
    const b = new Bench(spec({}));
    const asked: ((r: unknown) => void)[] = [];
    const ended: string[] = [];
    const client = {
      budget: { requestTokens: { forceTake: () => undefined } },
      read: (_key: string, _ms: number, done: (r: unknown) => void) => asked.push(done),
    } as unknown as StateStoreClient;
    const table = new JobTable(b.eventLoop, settings, client, immediateRecords(), {
      ...{ onIncompleteGang: nothing, onJobAdded: nothing, onTasksPending: nothing },
      ...{ onRecordRemoved: nothing, onJobTerminated: nothing, onCompletionRecorded: nothing },
      onTerminalState: (id, state) => ended.push(`${id} ${state}`),
    });
    table.add('req-1', { job: writeJobSpec(spec({})), at: 0 }, 1);
    table.handleRecordRemoved('req-1');
    assert.deepEqual(ended, []);
    asked[0]?.({ kind: 'ok', value: { key: '', version: 1, value: { state: 'done' } } });
    assert.deepEqual(ended, ['req-1 done']);
  });
});
