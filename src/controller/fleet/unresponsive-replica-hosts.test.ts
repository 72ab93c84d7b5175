import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { arraySpec } from '../../../test/fakes.js';
import { immediateRecords } from '../../../test/fake-records.js';
import { EventLoop } from '../runtime/event-loop.js';
import type { Call, Runtime, Logger, Reply } from '../runtime/runtime.js';
import { JobTable } from '../jobs/job-table.js';
import type { Job } from '../model/entities.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { writeJobSpec, type JobSpec } from '../wire/jobs.js';
import type { TaskStatus } from '../wire/workers.js';
import { makeFencingToken } from '../workers/fencing-token.js';
import { Workers } from '../workers/workers.js';
import { UnresponsiveReplicaHosts } from './unresponsive-replica-hosts.js';

const TERM = 3;
const MACHINES = 20;
const STEP_MS = 1000;
const settings = new Settings(standalonePlatform(), defaultProperties());
const maxShare = settings.get('fleet.replicas.silent.share');
const noOp = (): void => undefined;
const silentLog: Logger = { info: noOp, debug: noOp, warn: noOp, error: noOp };

/** Simulates machines that send heartbeats unless they are unresponsive; records probes and releases. */
class Cluster {
  now = 0;
  private sequence = 0;
  readonly unresponsive = new Set<string>();
  /** Machines that answer probes although they are unresponsive. */
  readonly answeringProbes = new Set<string>();
  /** Machines in the order in which they were probed. */
  readonly probed: string[] = [];
  readonly released: string[] = [];
  /** The task statuses that the heartbeats of each machine contain. */
  private readonly taskStatuses = new Map<string, TaskStatus[]>();
  private readonly replies: { dueAt: number; done: (reply: Reply) => void; reply: Reply }[] = [];
  private readonly deferred: (() => void)[] = [];
  private readonly timers: { dueAt: number; run: () => void }[] = [];
  private readonly eventLoop: EventLoop;
  readonly table: JobTable;
  readonly workers: Workers;
  private readonly replicaHosts: UnresponsiveReplicaHosts;

  constructor() {
    const runtime: Runtime = {
      startedAt: -Infinity,
      now: () => this.now,
      wallClock: () => this.now,
      random: () => 0.5,
      defer: (run) => this.deferred.push(run),
      startTimer: (ms, run) => {
        this.timers.push({ dueAt: this.now + ms, run });
        return { cancel: noOp };
      },
      call: (call, done) => this.call(call, done),
      hasSpareConnection: () => true,
      sendPeer: noOp,
    };
    this.eventLoop = new EventLoop(runtime, silentLog);
    const records = immediateRecords();
    this.table = new JobTable(
      this.eventLoop,
      settings,
      {} as unknown as StateStoreClient,
      records,
      {
        ...{
          onIncompleteGang: noOp,
          onJobAdded: noOp,
          onTasksPending: noOp,
          onCompletionRecorded: noOp,
          onTerminalState: noOp,
        },
        onRecordRemoved: noOp,
        onJobTerminated: (job) => this.workers.jobTerminated(job),
      },
    );
    this.workers = new Workers(this.eventLoop, settings, TERM, records, this.table, {
      findMachineType: () => undefined,
      ...{ termReported: noOp, placementInputChanged: noOp, taskCompleted: noOp },
    });
    this.replicaHosts = new UnresponsiveReplicaHosts(
      this.eventLoop,
      settings,
      this.workers,
      (machines) => {
        for (const machine of machines) {
          machine.releasing = true;
          this.released.push(machine.id);
        }
      },
    );
    this.run(2);
  }

  get machineIds(): string[] {
    return Array.from({ length: MACHINES }, (_, i) => `n-${i}`);
  }

  private call(call: Call, done: (reply: Reply) => void): void {
    if (call.path !== '/inspect') return;
    this.probed.push(call.to);
    const isAnswered = this.answeringProbes.has(call.to) || !this.unresponsive.has(call.to);
    const reply: Reply = { status: isAnswered ? 200 : 0, body: null };
    this.replies.push({ dueAt: this.now + (isAnswered ? 0 : call.timeoutMs), done, reply });
  }

  /** Starts a job with one task on each of the machines. */
  startJob(overrides: Partial<JobSpec>, machines: string[]): Job {
    const spec = arraySpec({
      ...{ id: `req-${this.table.jobs.size}`, kind: 'service', priority: 'production' },
      ...{ tasks: machines.length, estimatedRunS: 0, ...overrides },
    });
    this.table.add(spec.id, { job: writeJobSpec(spec), at: this.now }, 1);
    const job = this.table.jobs.get(spec.id) ?? assert.fail();
    for (const [task, id] of machines.entries()) {
      job.pending.remove(task);
      this.workers.assign(job, task, 1, this.workers.getOrCreateMachine(id));
    }
    this.workers.flush();
    for (const [task, id] of machines.entries()) {
      const name = `${spec.id}/${task}`;
      const status: TaskStatus = {
        ...{ name, attempt: 1, state: 'running', cause: null, checkpointSaved: false },
      };
      this.taskStatuses.set(id, [...(this.taskStatuses.get(id) ?? []), status]);
    }
    this.run(3);
    assert.equal(job.runningCount, machines.length);
    return job;
  }

  /** Reports the job's task on the machine as exited because it lost its peers. */
  exitTask(job: Job, machine: string): void {
    for (const status of this.taskStatuses.get(machine) ?? [])
      if (status.name.startsWith(`${job.spec.id}/`))
        Object.assign(status, { state: 'exited', cause: 'peers' });
  }

  run(seconds: number, leaderAnswers = true): void {
    for (let i = 0; i < seconds; i++) {
      this.now += STEP_MS;
      for (const id of this.machineIds)
        if (!this.unresponsive.has(id) && leaderAnswers) this.sendHeartbeat(id);
      this.workers.setAnswering(leaderAnswers, STEP_MS);
      this.workers.expireLeases();
      this.replicaHosts.step(this.now);
      this.runDue();
    }
  }

  private sendHeartbeat(machine: string): void {
    this.workers.handleHeartbeat({
      ...{ machine, addr: machine, type: 'g', zone: 'a', spot: false, agentEpoch: 1 },
      ...{ sequence: ++this.sequence, fencingToken: makeFencingToken(TERM, 0), spotNoticeS: null },
      tasks: this.taskStatuses.get(machine) ?? [],
    });
  }

  /** Delivers the replies and runs the timers that are due. */
  private runDue(): void {
    for (const pending of this.replies.splice(0))
      if (pending.dueAt <= this.now) pending.done(pending.reply);
      else this.replies.push(pending);
    this.runDeferred();
    for (const timer of this.timers.splice(0))
      if (timer.dueAt <= this.now) timer.run();
      else this.timers.push(timer);
    this.runDeferred();
  }

  private runDeferred(): void {
    for (let run = this.deferred.shift(); run !== undefined; run = this.deferred.shift()) run();
  }
}

/** Time within which an unresponsive machine with replicas is released; well within the worker's lease. */
const RELEASED_WITHIN_S = Math.ceil(
  settings.platform.workers.heartbeatIntervalS * (settings.get('fleet.replicas.silent.ratio') + 1),
);

describe('an unresponsive machine with service replicas', () => {
  it("is released well before the worker's lease expires", () => {
    const cluster = new Cluster();
    const job = cluster.startJob({}, ['n-0', 'n-1']);
    cluster.unresponsive.add('n-0');
    cluster.run(settings.platform.workers.heartbeatIntervalS);
    assert.deepEqual(cluster.released, [], 'one late heartbeat is not enough');
    cluster.run(RELEASED_WITHIN_S);
    assert.deepEqual(cluster.released, ['n-0']);
    assert.equal(
      job.runningCount,
      2,
      'its replica counts as running until the cloud has confirmed the release',
    );
    cluster.workers.removeMachine(cluster.workers.getOrCreateMachine('n-0'));
    assert.ok(job.pending.has(0));
  });

  it('is kept while it answers probes', () => {
    const cluster = new Cluster();
    cluster.startJob({}, ['n-0']);
    cluster.unresponsive.add('n-0');
    cluster.answeringProbes.add('n-0');
    cluster.run(RELEASED_WITHIN_S);
    assert.ok(cluster.probed.includes('n-0'));
    assert.deepEqual(cluster.released, []);
  });

  it('is kept if its heartbeat arrives during the probe', () => {
    const cluster = new Cluster();
    cluster.startJob({}, ['n-0']);
    cluster.unresponsive.add('n-0');
    while (cluster.probed.length === 0) cluster.run(1);
    cluster.unresponsive.delete('n-0');
    cluster.run(3);
    assert.deepEqual(cluster.released, []);
  });

  it('is kept while a gang with a member on it is running, since it may be working but partitioned', () => {
    const cluster = new Cluster();
    cluster.startJob({}, ['n-0']);
    const gang = cluster.startJob({ kind: 'gang', estimatedRunS: 900 }, ['n-0', 'n-1']);
    cluster.unresponsive.add('n-0');
    cluster.run(RELEASED_WITHIN_S);
    assert.deepEqual(cluster.probed, []);
    cluster.exitTask(gang, 'n-1');
    cluster.run(3);
    assert.deepEqual(cluster.released, ['n-0']);
  });

  it("is kept when the worker's lease is about to expire anyway", () => {
    const cluster = new Cluster();
    cluster.startJob({}, ['n-0']);
    const gang = cluster.startJob({ kind: 'gang', estimatedRunS: 900 }, ['n-0', 'n-1']);
    cluster.unresponsive.add('n-0');
    cluster.run(settings.platform.workers.leaseS - 1);
    cluster.exitTask(gang, 'n-1');
    cluster.run(1);
    assert.deepEqual(cluster.released, []);
  });

  it('is kept when its services have been cancelled', () => {
    const cluster = new Cluster();
    const job = cluster.startJob({}, ['n-0']);
    cluster.unresponsive.add('n-0');
    cluster.table.markCancelled(job.spec.id);
    cluster.run(RELEASED_WITHIN_S);
    assert.deepEqual(cluster.released, []);
  });

  it('is kept when too many machines are unresponsive, since the network may be at fault', () => {
    const cluster = new Cluster();
    cluster.startJob({}, ['n-0']);
    for (const id of cluster.machineIds.slice(0, MACHINES * maxShare + 1))
      cluster.unresponsive.add(id);
    cluster.run(RELEASED_WITHIN_S);
    assert.deepEqual(cluster.released, []);
  });

  it('is kept when the leader itself has not answered heartbeats', () => {
    const cluster = new Cluster();
    cluster.startJob({}, ['n-0']);
    cluster.unresponsive.add('n-0');
    cluster.run(RELEASED_WITHIN_S, false);
    cluster.run(settings.platform.workers.heartbeatIntervalS);
    assert.deepEqual(cluster.released, []);
  });
});

describe('unresponsive machines', () => {
  it('are neither probed nor released if they have no service replicas', () => {
    const cluster = new Cluster();
    cluster.startJob({ kind: 'array', estimatedRunS: 900 }, ['n-0']);
    cluster.unresponsive.add('n-0').add('n-1');
    cluster.run(RELEASED_WITHIN_S);
    assert.deepEqual([cluster.probed, cluster.released], [[], []]);
  });

  it("are released only up to a share of all machines within a worker's lease", () => {
    const cluster = new Cluster();
    cluster.startJob({}, cluster.machineIds);
    for (let i = 0; i < MACHINES; i++) {
      // The machines become unresponsive one after another, so that few are unresponsive at a time.
      cluster.unresponsive.add(`n-${i}`);
      cluster.run(2);
      for (const id of cluster.released)
        cluster.workers.removeMachine(cluster.workers.getOrCreateMachine(id));
      if (cluster.now > settings.workerLeaseMs) break;
    }
    assert.equal(cluster.released.length, Math.ceil(MACHINES * maxShare));
  });
});
