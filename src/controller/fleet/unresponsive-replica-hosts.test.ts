import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { immediateRecords } from '../../../test/fake-records.js';
import { EventLoop } from '../runtime/event-loop.js';
import type { Call, Runtime, Logger, Reply } from '../runtime/runtime.js';
import { JobTable, type Job } from '../jobs/job-table.js';
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
const share = settings.get('fleet.replicas.silent.share');
const nothing = (): void => undefined;
const quiet: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };

/** Machines whose workers report in time unless they are silent, and what was asked and released. */
class Fleet {
  now = 0;
  private seq = 0;
  readonly silent = new Set<string>();
  /** Silent machines that answer when asked. */
  readonly answering = new Set<string>();
  readonly asked: string[] = [];
  readonly released: string[] = [];
  private readonly there = new Map<string, TaskStatus[]>();
  private readonly replies: { at: number; done: (reply: Reply) => void; reply: Reply }[] = [];
  private readonly soon: (() => void)[] = [];
  private readonly timers: { at: number; run: () => void }[] = [];
  private readonly eventLoop: EventLoop;
  readonly table: JobTable;
  readonly workers: Workers;
  private readonly watch: UnresponsiveReplicaHosts;

  constructor() {
    const runtime: Runtime = {
      startedAt: -Infinity,
      now: () => this.now,
      wallClock: () => this.now,
      random: () => 0.5,
      defer: (run) => this.soon.push(run),
      startTimer: (ms, run) => {
        this.timers.push({ at: this.now + ms, run });
        return { cancel: nothing };
      },
      call: (call, done) => this.call(call, done),
      hasSpareConnection: () => true,
      sendPeer: nothing,
    };
    this.eventLoop = new EventLoop(runtime, quiet);
    const records = immediateRecords();
    this.table = new JobTable(
      this.eventLoop,
      settings,
      {} as unknown as StateStoreClient,
      records,
      {
        ...{
          onIncompleteGang: nothing,
          onJobAdded: nothing,
          onTasksPending: nothing,
          onCompletionRecorded: nothing,
          onTerminalState: nothing,
        },
        onRecordRemoved: nothing,
        onJobTerminated: (job) => this.workers.jobClosed(job),
      },
    );
    this.workers = new Workers(this.eventLoop, settings, TERM, records, this.table, {
      findMachineType: () => undefined,
      ...{ higherTermSeen: nothing, placementInputChanged: nothing, taskCompleted: nothing },
    });
    this.watch = new UnresponsiveReplicaHosts(
      this.eventLoop,
      settings,
      this.workers,
      (machines) => {
        for (const m of machines) {
          m.releasing = true;
          this.released.push(m.id);
        }
      },
    );
    this.run(2);
  }

  get ids(): string[] {
    return Array.from({ length: MACHINES }, (_, i) => `n-${i}`);
  }

  private call(call: Call, done: (reply: Reply) => void): void {
    if (call.path !== '/inspect') return;
    this.asked.push(call.to);
    const answers = this.answering.has(call.to) || !this.silent.has(call.to);
    const reply: Reply = { status: answers ? 200 : 0, body: null };
    this.replies.push({ at: this.now + (answers ? 0 : call.timeoutMs), done, reply });
  }

  /** A job whose tasks run on the machines named, one on each. */
  place(part: Partial<JobSpec>, machines: string[]): Job {
    const spec: JobSpec = {
      ...{ id: `req-${this.table.jobs.size}`, class: 'c', team: 't', kind: 'service' },
      ...{ priority: 'production', tasks: machines.length, cpus: 1, gpus: 0, memoryGb: 1 },
      ...{ image: 'i', imageGb: 1, types: null, zone: null, singleZone: false, spread: false },
      ...{
        spot: true,
        estimatedRunS: 0,
        checkpointIntervalS: 0,
        checkpointSaveS: 0,
        deadlineS: null,
      },
      ...part,
    };
    this.table.add(spec.id, { job: writeJobSpec(spec), at: this.now }, 1);
    const job = this.table.jobs.get(spec.id) ?? assert.fail();
    for (const [task, id] of machines.entries()) {
      job.pending.remove(task);
      this.workers.assign(job, task, 1, this.workers.getOrCreateMachine(id));
    }
    this.workers.flush();
    for (const [task, id] of machines.entries()) {
      const name = `${spec.id}/${task}`;
      const report: TaskStatus = {
        name,
        attempt: 1,
        state: 'running',
        cause: null,
        checkpointSaved: false,
      };
      this.there.set(id, [...(this.there.get(id) ?? []), report]);
    }
    this.run(3);
    assert.equal(job.runningCount, machines.length);
    return job;
  }

  /** The task of the job on the machine ends by itself. */
  exit(job: Job, machine: string): void {
    for (const t of this.there.get(machine) ?? [])
      if (t.name.startsWith(`${job.spec.id}/`))
        Object.assign(t, { state: 'exited', cause: 'peers' });
  }

  run(seconds: number, answers = true): void {
    for (let i = 0; i < seconds; i++) {
      this.now += STEP_MS;
      for (const id of this.ids) if (!this.silent.has(id) && answers) this.report(id);
      this.workers.setAnswering(answers, STEP_MS);
      this.workers.expireLeases();
      this.watch.step(this.now);
      this.settle();
    }
  }

  private report(machine: string): void {
    this.workers.handleHeartbeat({
      ...{ machine, addr: machine, type: 'g', zone: 'a', spot: false, agentEpoch: 1 },
      ...{ sequence: ++this.seq, fencingToken: makeFencingToken(TERM, 0), spotNoticeS: null },
      tasks: this.there.get(machine) ?? [],
    });
  }

  /** Lets what is due by now happen. */
  private settle(): void {
    for (const r of this.replies.splice(0))
      if (r.at <= this.now) r.done(r.reply);
      else this.replies.push(r);
    for (let run = this.soon.shift(); run !== undefined; run = this.soon.shift()) run();
    for (const t of this.timers.splice(0))
      if (t.at <= this.now) t.run();
      else this.timers.push(t);
    for (let run = this.soon.shift(); run !== undefined; run = this.soon.shift()) run();
  }
}

/** Longer than a silent machine with replicas is kept, and well within the worker's lease. */
const SOON_S = Math.ceil(
  settings.platform.workers.heartbeatIntervalS * (settings.get('fleet.replicas.silent.ratio') + 1),
);

describe('a silent machine with replicas of services', () => {
  it('is released well before its lease has run out', () => {
    const f = new Fleet();
    const job = f.place({}, ['n-0', 'n-1']);
    f.silent.add('n-0');
    f.run(settings.platform.workers.heartbeatIntervalS);
    assert.deepEqual(f.released, [], 'not for one late report');
    f.run(SOON_S);
    assert.deepEqual(f.released, ['n-0']);
    assert.equal(job.runningCount, 2, 'its replica counts until the cloud has confirmed');
    f.workers.removeMachine(f.workers.getOrCreateMachine('n-0'));
    assert.ok(job.pending.has(0));
  });

  it('is kept while it answers when asked', () => {
    const f = new Fleet();
    f.place({}, ['n-0']);
    f.silent.add('n-0');
    f.answering.add('n-0');
    f.run(SOON_S);
    assert.ok(f.asked.includes('n-0'));
    assert.deepEqual(f.released, []);
  });

  it('is kept if its report comes while it is asked', () => {
    const f = new Fleet();
    f.place({}, ['n-0']);
    f.silent.add('n-0');
    while (f.asked.length === 0) f.run(1);
    f.silent.delete('n-0');
    f.run(3);
    assert.deepEqual(f.released, []);
  });

  it('is kept while a gang of which it has a part goes on, for it may merely be cut off', () => {
    const f = new Fleet();
    f.place({}, ['n-0']);
    const gang = f.place({ kind: 'gang', estimatedRunS: 900 }, ['n-0', 'n-1']);
    f.silent.add('n-0');
    f.run(SOON_S);
    assert.deepEqual(f.asked, []);
    f.exit(gang, 'n-1');
    f.run(3);
    assert.deepEqual(f.released, ['n-0']);
  });

  it('is kept when its lease has nearly run out anyway', () => {
    const f = new Fleet();
    f.place({}, ['n-0']);
    const gang = f.place({ kind: 'gang', estimatedRunS: 900 }, ['n-0', 'n-1']);
    f.silent.add('n-0');
    f.run(settings.platform.workers.leaseS - 1);
    f.exit(gang, 'n-1');
    f.run(1);
    assert.deepEqual(f.released, []);
  });

  it('is kept when its services have been called off', () => {
    const f = new Fleet();
    const job = f.place({}, ['n-0']);
    f.silent.add('n-0');
    f.table.markCancelled(job.spec.id);
    f.run(SOON_S);
    assert.deepEqual(f.released, []);
  });

  it('is kept when more machines are silent: the network may be at fault, or the leader', () => {
    const f = new Fleet();
    f.place({}, ['n-0']);
    for (const id of f.ids.slice(0, MACHINES * share + 1)) f.silent.add(id);
    f.run(SOON_S);
    assert.deepEqual(f.released, []);
  });

  it('is kept when the leader itself has not answered reports', () => {
    const f = new Fleet();
    f.place({}, ['n-0']);
    f.silent.add('n-0');
    f.run(SOON_S, false);
    f.run(settings.platform.workers.heartbeatIntervalS);
    assert.deepEqual(f.released, []);
  });
});

describe('silent machines', () => {
  it('without replicas are left alone', () => {
    const f = new Fleet();
    f.place({ kind: 'array', estimatedRunS: 900 }, ['n-0']);
    f.silent.add('n-0').add('n-1');
    f.run(SOON_S);
    assert.deepEqual([f.asked, f.released], [[], []]);
  });

  it('are released only up to a share of all within a lease', () => {
    const f = new Fleet();
    f.place({}, f.ids);
    for (let i = 0; i < MACHINES; i++) {
      // One after the other, so that never many are silent at a time.
      f.silent.add(`n-${i}`);
      f.run(2);
      for (const id of f.released) f.workers.removeMachine(f.workers.getOrCreateMachine(id));
      if (f.now > settings.workerLeaseMs) break;
    }
    assert.equal(f.released.length, Math.ceil(MACHINES * share));
  });
});
