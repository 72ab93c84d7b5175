import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EventLoop } from '../runtime/event-loop.js';
import type { Runtime, Logger } from '../runtime/runtime.js';
import { JobTable } from '../jobs/job-table.js';
import type { Job } from '../model/entities.js';
import { standalonePlatform } from '../../../test/platform.js';
import { immediateRecords } from '../../../test/fake-records.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { MachineType } from '../wire/cloud.js';
import { writeJobSpec, type JobSpec } from '../wire/jobs.js';
import type { ExitCause, TaskStatus } from '../wire/workers.js';
import { makeFencingToken } from '../workers/fencing-token.js';
import { Workers } from '../workers/workers.js';
import { DurationEstimator } from './estimates/duration-estimator.js';
import { Placement } from './placement.js';
import { ClassHeadroom } from './headroom/class-headroom.js';

const TERM = 3;
const TEAM_GPUS = 4;
const teams = `
[[params.teams]]
name = "owner"
gpus = ${TEAM_GPUS}.0
gpus_max = ${TEAM_GPUS}.0
[[params.teams]]
name = "guest"
`;
const settings = new Settings(standalonePlatform(teams), {
  ...defaultProperties(),
  'placement.preempt.share': 1,
});
const type: MachineType = {
  ...{ name: 'g', cpus: 8, gpus: 4, memoryGb: 64, cacheGb: 50, fetchGbPerS: 0.5 },
  ...{ price: 1, spotPrice: 1, bootS: 10, zones: ['a', 'b'] },
};
const nothing = (): void => undefined;
const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };
const STEP_MS = 1000;

/** A worker that does as it is told, unless it is silent. */
interface Worker {
  id: string;
  zone: string;
  spot: boolean;
  silent: boolean;
  session: number;
  token: number;
  noticeS: number | null;
  tasks: TaskStatus[];
  images: Set<string>;
  /** When the fetches of its tasks end. */
  fetchedAt: Map<string, number>;
}

type WorkerParts = Partial<Pick<Worker, 'zone' | 'spot'>> & { images?: string[] };

/** Jobs, workers and placement with records stored at once. */
class Cluster {
  now = 0;
  private seq = 0;
  readonly table: JobTable;
  readonly workers: Workers;
  readonly placement: Placement;
  readonly machines: Worker[];

  constructor(parts: WorkerParts[]) {
    this.machines = parts.map((part, i) => ({
      ...{ id: `n-${i}`, zone: part.zone ?? 'a', spot: part.spot ?? false, silent: false },
      ...{ session: 1, token: makeFencingToken(TERM, 0), noticeS: null, tasks: [] },
      ...{ images: new Set(part.images ?? []), fetchedAt: new Map<string, number>() },
    }));
    const runtime: Runtime = {
      startedAt: -Infinity,
      now: () => this.now,
      wallClock: () => this.now,
      random: () => 0.5,
      defer: nothing,
      startTimer: () => ({ cancel: nothing }),
      call: nothing,
      sendPeer: nothing,
      hasSpareConnection: () => false,
    };
    const eventLoop = new EventLoop(runtime, silent);
    const records = immediateRecords();
    this.table = new JobTable(eventLoop, settings, {} as unknown as StateStoreClient, records, {
      ...{
        onIncompleteGang: nothing,
        onJobAdded: nothing,
        onTasksPending: nothing,
        onCompletionRecorded: nothing,
        onTerminalState: nothing,
      },
      onRecordRemoved: (job) => this.workers.stopAll(job, 'job ended'),
      onJobTerminated: (job) => this.workers.jobTerminated(job),
    });
    this.workers = new Workers(eventLoop, settings, TERM, records, this.table, {
      findMachineType: () => type,
      ...{ higherTermSeen: nothing, placementInputChanged: nothing, taskCompleted: nothing },
    });
    const estimates = new DurationEstimator();
    const reserve = new ClassHeadroom(
      { memoryMs: 1000, share: 0, spare: 0 },
      estimates,
      0,
      () => null,
    );
    this.placement = new Placement(
      ...([eventLoop, settings, this.table, this.workers, records, estimates, reserve] as const),
      { attemptsExhausted: nothing },
    );
    for (const w of this.machines)
      for (const image of w.images) this.workers.getOrCreateMachine(w.id).images.set(image, 1);
    this.run(2);
  }

  add(part: Partial<JobSpec>): Job {
    const spec: JobSpec = {
      ...{ id: `req-${this.table.jobs.size}`, class: 'c', team: 'guest', kind: 'service' },
      ...{ priority: 'production', tasks: 1, cpus: 1, gpus: 0, memoryGb: 1, image: 'i' },
      ...{ imageGb: 1, types: null, zone: null, singleZone: false, spread: false, spot: true },
      ...{ estimatedRunS: 0, checkpointIntervalS: 0, checkpointSaveS: 0, deadlineS: null },
      ...part,
    };
    this.table.add(spec.id, { job: writeJobSpec(spec), at: this.now }, 1);
    return this.table.jobs.get(spec.id) ?? assert.fail();
  }

  worker(id: string): Worker {
    return this.machines.find((w) => w.id === id) ?? assert.fail();
  }

  /** Tasks of the job that are on machines, by machine. */
  where(job: Job): Map<string, number> {
    const found = new Map<string, number>();
    for (const w of this.machines)
      for (const t of w.tasks)
        if (t.state !== 'exited' && t.name.startsWith(`${job.spec.id}/`))
          found.set(w.id, (found.get(w.id) ?? 0) + 1);
    return found;
  }

  /** A task of the job ends by itself. */
  exit(job: Job, cause: ExitCause, machine: string): void {
    const { tasks } = this.worker(machine);
    const at = tasks.findIndex((t) => t.name.startsWith(`${job.spec.id}/`) && t.state !== 'exited');
    tasks.splice(at, 1, { ...(tasks[at] ?? assert.fail()), state: 'exited', cause });
  }

  run(seconds: number): void {
    for (let i = 0; i < seconds; i++) this.step();
  }

  /** A second: every worker that is not silent reports and does as it is told, then a pass. */
  step(): void {
    this.now += STEP_MS;
    for (const w of this.machines) if (!w.silent) this.exchange(w);
    this.workers.setAnswering(true, STEP_MS);
    this.workers.expireLeases();
    this.placement.runPass();
    this.workers.flush();
  }

  private exchange(w: Worker): void {
    if (w.noticeS !== null) w.noticeS -= STEP_MS / 1000;
    for (const t of w.tasks)
      if (t.state === 'fetching' && (w.fetchedAt.get(t.name) ?? 0) <= this.now) {
        t.state = 'running';
        w.images.add('i');
      }
    const answer = this.workers.handleHeartbeat({
      ...{
        machine: w.id,
        addr: 'x:1',
        type: 'g',
        zone: w.zone,
        spot: w.spot,
        agentEpoch: w.session,
      },
      ...{ sequence: ++this.seq, fencingToken: w.token, spotNoticeS: w.noticeS },
      tasks: w.tasks.map((t) => ({ ...t })),
    });
    if (answer.status !== 200) {
      w.session++;
      w.tasks = [];
      return;
    }
    const { baton, orders } = answer.body as {
      baton: number;
      orders: { verb: string; duty: string; try: number }[];
    };
    w.token = baton;
    for (const o of orders) this.obey(w, o);
  }

  private obey(w: Worker, order: { verb: string; duty: string; try: number }): void {
    const at = w.tasks.findIndex((t) => t.name === order.duty);
    const task = w.tasks[at];
    if (order.verb === 'run') {
      const fetchMs = w.images.has('i') ? 0 : 2000;
      w.fetchedAt.set(order.duty, this.now + fetchMs);
      const state = fetchMs === 0 ? 'running' : 'fetching';
      w.tasks.push({
        name: order.duty,
        attempt: order.try,
        state,
        cause: null,
        checkpointSaved: false,
      });
    } else if (task !== undefined && order.verb === 'stop')
      w.tasks.splice(at, 1, { ...task, state: 'exited', cause: 'stopped' });
    else if (task !== undefined) w.tasks.splice(at, 1);
  }
}

const machines = (count: number, part: WorkerParts = {}): WorkerParts[] =>
  Array.from({ length: count }, () => part);
const most = (counts: Map<string, number>): number => Math.max(...counts.values());

describe('replicas of a service', () => {
  it('are on as many machines as there are', () => {
    const c = new Cluster(machines(5));
    const job = c.add({ tasks: 4 });
    c.run(6);
    assert.equal(job.runningCount, 4);
    assert.equal(c.where(job).size, 4);
  });

  it('are shared among zones alike, though one zone has more machines', () => {
    const c = new Cluster([...machines(6, { zone: 'a' }), ...machines(2, { zone: 'b' })]);
    const job = c.add({ tasks: 4 });
    c.run(6);
    const inB = [...c.where(job)].filter(([id]) => c.worker(id).zone === 'b').length;
    assert.equal(inB, 2);
    assert.equal(c.where(job).size, 4);
  });

  it('replace one that was lost where fewest of the service are, by machine and zone', () => {
    const c = new Cluster([
      ...machines(3, { zone: 'a', images: ['i'] }),
      ...machines(2, { zone: 'b', images: ['i'] }),
    ]);
    const job = c.add({ tasks: 4 });
    c.run(4);
    const [lost = assert.fail()] = [...c.where(job).keys()].filter(
      (id) => c.worker(id).zone === 'b',
    );
    c.exit(job, 'error', lost);
    c.run(4);
    assert.equal(job.runningCount, 4);
    assert.ok(most(c.where(job)) <= 2);
    assert.ok(!c.where(job).has(lost), 'not where it has just failed');
  });

  it('are not for the most part on the one machine that has the image', () => {
    const c = new Cluster([{ images: ['i'] }, ...machines(4)]);
    const job = c.add({ tasks: 4 });
    c.run(6);
    assert.equal(job.runningCount, 4);
    assert.ok(most(c.where(job)) <= 2);
  });

  it('share a machine where no other has room', () => {
    const c = new Cluster(machines(1));
    const job = c.add({ tasks: 4 });
    c.run(6);
    assert.equal(job.runningCount, 4);
  });

  it('keep to one zone where the job asks for it', () => {
    const c = new Cluster([...machines(3, { zone: 'a' }), ...machines(3, { zone: 'b' })]);
    const job = c.add({ tasks: 3, singleZone: true });
    c.run(6);
    const zones = new Set([...c.where(job).keys()].map((id) => c.worker(id).zone));
    assert.equal(job.runningCount, 3);
    assert.equal(zones.size, 1);
  });

  it('are on ordinary machines where they may be on both', () => {
    const c = new Cluster([...machines(2, { spot: true }), ...machines(2)]);
    const job = c.add({ tasks: 2 });
    c.run(6);
    for (const id of c.where(job).keys()) assert.ok(!c.worker(id).spot);
  });
});

describe('a machine that will be taken', () => {
  const NOTICE_S = 30;

  it('gives its replica up at once where another has room and the image', () => {
    const c = new Cluster([{ spot: true, images: ['i'] }]);
    const job = c.add({ tasks: 1 });
    c.run(3);
    assert.deepEqual([...c.where(job).keys()], ['n-0']);
    c.machines.push({ ...c.worker('n-0'), id: 'n-1', tasks: [], images: new Set(['i']) });
    c.workers.getOrCreateMachine('n-1').images.set('i', 1);
    c.run(2);
    c.worker('n-0').noticeS = NOTICE_S;
    c.run(5);
    assert.deepEqual([...c.where(job).keys()], ['n-1']);
    assert.equal(job.runningCount, 1);
  });

  it('keeps its replica until shortly before where no other has room', () => {
    const c = new Cluster([{ spot: true, images: ['i'] }]);
    const job = c.add({ tasks: 1 });
    c.run(3);
    c.worker('n-0').noticeS = NOTICE_S;
    c.run(NOTICE_S - 2 * settings.platform.workers.heartbeatIntervalS);
    assert.equal(c.where(job).get('n-0'), 1);
    c.run(2 * settings.platform.workers.heartbeatIntervalS - 1);
    assert.equal(c.where(job).size, 0, 'stopped in time');
  });

  it('gives up only as many replicas as there are places ready elsewhere', () => {
    const c = new Cluster([{ spot: true, images: ['i'] }]);
    const job = c.add({ tasks: 4 });
    c.run(3);
    assert.equal(c.where(job).get('n-0'), 4);
    const other = c.add({ tasks: 1, cpus: 7, image: 'other' });
    c.machines.push({ ...c.worker('n-0'), id: 'n-1', tasks: [], images: new Set(['i']) });
    c.workers.getOrCreateMachine('n-1').images.set('i', 1);
    c.run(6);
    assert.equal(c.where(other).get('n-1'), 1);
    c.worker('n-0').noticeS = NOTICE_S;
    for (let i = 0; i < 8; i++) {
      c.step();
      const up = [...c.where(job).values()].reduce((sum, n) => sum + n, 0);
      assert.ok(up >= 3, `${up} of 4 replicas after ${i} s`);
    }
    assert.equal(c.where(job).get('n-1'), 1, 'the place ready is used');
    assert.equal(c.where(job).get('n-0'), 3);
  });
});

describe('making room', () => {
  it('never stops a replica, whatever its priority', () => {
    const c = new Cluster(machines(2));
    const service = c.add({ tasks: 2, cpus: 6, priority: 'low', team: 'guest' });
    c.run(20);
    assert.equal(service.runningCount, 2);
    const gang = c.add({
      kind: 'gang',
      tasks: 2,
      cpus: 6,
      estimatedRunS: 10,
      team: 'owner',
      gpus: 1,
    });
    const array = c.add({ kind: 'array', tasks: 2, cpus: 6, estimatedRunS: 10 });
    c.run(40);
    assert.equal(service.runningCount, 2);
    assert.equal(gang.runningCount + array.runningCount, 0);
  });

  it('stops lower work for a replica that finds no place', () => {
    const c = new Cluster(machines(1));
    const array = c.add({ kind: 'array', tasks: 1, cpus: 8, estimatedRunS: 900, priority: 'low' });
    c.run(20);
    assert.equal(array.runningCount, 1);
    const service = c.add({ tasks: 1 });
    c.run(8);
    assert.equal(service.runningCount, 1);
  });

  it('stops nothing on a machine that the service has just failed on', () => {
    const c = new Cluster([{ images: ['i'] }]);
    const service = c.add({ tasks: 1 });
    c.run(3);
    const array = c.add({ kind: 'array', tasks: 1, cpus: 7, estimatedRunS: 900, priority: 'low' });
    c.run(20);
    assert.equal(array.runningCount, 1);
    c.exit(service, 'error', 'n-0');
    const filler = c.add({ kind: 'array', tasks: 1, cpus: 1, estimatedRunS: 900, priority: 'low' });
    c.step();
    c.step();
    assert.equal(filler.runningCount + filler.currentAssignments.size > 0, true);
    while ((service.avoidedMachines.get('n-0')?.until ?? 0) > c.now + STEP_MS) {
      assert.equal(array.preemptionCount + filler.preemptionCount, 0);
      c.step();
    }
    c.run(20);
    assert.equal(service.runningCount, 1, 'in the end it runs there all the same');
  });
});

describe('a service that is called off', () => {
  const gone = (c: Cluster, job: Job): void => {
    c.table.markCancelled(job.spec.id);
    c.run(3);
    assert.equal(c.where(job).size, 0);
    assert.equal(c.workers.assignedCount, 0);
    assert.equal(job.allAssignments.size, 0);
    assert.equal(job.status().state, 'cancelled');
  };

  it('while it waits for room is gone', () => {
    const c = new Cluster([]);
    const job = c.add({ tasks: 2 });
    c.run(2);
    gone(c, job);
  });

  it('while its image is fetched is gone', () => {
    const c = new Cluster(machines(2));
    const job = c.add({ tasks: 2 });
    c.run(2);
    assert.ok([...c.machines].some((w) => w.tasks.some((t) => t.state === 'fetching')));
    gone(c, job);
  });

  it('while it runs is gone, and nothing of it starts again', () => {
    const c = new Cluster(machines(2));
    const job = c.add({ tasks: 2 });
    c.run(6);
    assert.equal(job.runningCount, 2);
    gone(c, job);
    c.run(10);
    assert.equal(c.where(job).size, 0);
  });

  it('while a replica moves is gone', () => {
    const c = new Cluster([{ spot: true, images: ['i'] }]);
    const job = c.add({ tasks: 2 });
    c.run(3);
    c.machines.push({ ...c.worker('n-0'), id: 'n-1', tasks: [], images: new Set(['i']) });
    c.workers.getOrCreateMachine('n-1').images.set('i', 1);
    c.run(2);
    c.worker('n-0').noticeS = 30;
    c.step();
    assert.ok(
      [...job.currentAssignments.values()].some((a) => a.stop !== null) || job.pending.length > 0,
    );
    gone(c, job);
  });

  it('while its machine is silent is gone with the lease, and before that if the machine is heard', () => {
    for (const back of [true, false]) {
      const c = new Cluster(machines(1));
      const job = c.add({ tasks: 2 });
      c.run(6);
      const worker = c.worker('n-0');
      worker.silent = true;
      c.run(5);
      c.table.markCancelled(job.spec.id);
      c.run(2);
      assert.equal(c.workers.assignedCount, 2, 'not proven gone');
      if (back) worker.silent = false;
      c.run(back ? 3 : settings.workerLeaseExpiryMs / STEP_MS);
      assert.equal(c.workers.assignedCount, 0);
      worker.silent = false;
      c.run(4);
      assert.equal(c.where(job).size, 0);
    }
  });
});

describe('a service', () => {
  it('is never done, also when all its replicas end as done again and again', () => {
    const c = new Cluster(machines(6));
    const job = c.add({ tasks: 2 });
    c.run(5);
    for (let round = 0; round < 3; round++) {
      for (const id of c.where(job).keys()) c.exit(job, 'done', id);
      c.run(5);
      const answer = job.status();
      assert.equal(answer.state, 'running');
      assert.equal(answer.done, 0);
      assert.equal(job.runningCount, 2);
    }
    assert.ok(!job.isComplete);
  });

  it('that keeps ending has each machine in turn before one is tried again', () => {
    const c = new Cluster(machines(3, { images: ['i'] }));
    const job = c.add({ tasks: 1 });
    const other = c.add({ tasks: 3 });
    c.run(3);
    const seen = new Set<string>();
    for (let i = 0; i < 3; i++) {
      const [id = ''] = c.where(job).keys();
      seen.add(id);
      c.exit(job, 'error', id);
      c.run(2);
    }
    assert.equal(seen.size, 3);
    assert.equal(other.runningCount, 3, 'other services stay');
  });

  it('that keeps ending on its only machine is tried again after pauses that grow to a bound', () => {
    const c = new Cluster(machines(1, { images: ['i'] }));
    const job = c.add({ tasks: 1 });
    const longest = 2 * settings.workerLeaseMs;
    let last = 0;
    for (let i = 0; i < 6; i++) {
      for (let s = 0; s <= longest / STEP_MS && c.where(job).size === 0; s++) c.step();
      c.exit(job, 'other', 'n-0');
      c.step();
      const pause = (job.avoidedMachines.get('n-0')?.until ?? 0) - c.now;
      assert.ok(pause > last || pause === longest, `pause ${pause} ms after ${last} ms`);
      assert.ok(pause <= longest);
      last = pause;
    }
    assert.equal(last, longest);
  });

  it('of a team at its limit waits, and takes its place back only once the lost one is proven gone', () => {
    const c = new Cluster(machines(3));
    const job = c.add({ team: 'owner', tasks: TEAM_GPUS, gpus: 1 });
    c.run(6);
    assert.equal(job.runningCount, TEAM_GPUS);
    const later = c.add({ team: 'owner', tasks: 1, gpus: 1 });
    const [lost = ''] = c.where(job).keys();
    const there = c.where(job).get(lost) ?? 0;
    c.worker(lost).silent = true;
    for (let i = 0; i < settings.workerLeaseExpiryMs / STEP_MS + 10; i++) {
      c.step();
      assert.ok(c.workers.assignedCount <= TEAM_GPUS);
    }
    assert.ok(there > 0);
    assert.equal(job.runningCount, TEAM_GPUS);
    assert.equal(later.runningCount, 0);
    c.table.markCancelled(job.spec.id);
    c.run(8);
    assert.equal(later.runningCount, 1);
  });
});
