import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import type { Logger } from '../runtime/runtime.js';
import { Job, type Assignment, Machine } from '../model/entities.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';
import { IndependentTaskPlacer } from './placers/independent-task-placer.js';
import { setBlockedReason } from './placers/blocked-reason.js';
import { CandidateFinder, type Candidate } from './search/candidate-finder.js';
import { DurationEstimator } from './estimates/duration-estimator.js';
import { NegativeSearchCache } from './pass/negative-search-cache.js';
import { GangPlacer, pickForGang } from './placers/gang-placer.js';
import { GangReservations, reservationKey } from './placers/gang-reservations.js';
import { StartDeadlines } from './estimates/start-deadlines.js';
import { machinePenalty } from './search/machine-penalty.js';
import { PlacementPass } from './pass/placement-pass.js';
import { Preemptor } from './preemption/preemptor.js';
import type { QueuedJob } from './pass/rank.js';
import { spreadReplicas } from './search/replica-spread.js';
import { resourceRequestOf } from '../model/resource-request.js';
import { FreeCapacity } from './capacity/free-capacity.js';
import { ClusterCapacity } from './capacity/cluster-capacity.js';
import { TaskStarter } from './placers/task-starter.js';
import { isSchedulable } from './capacity/schedulable-machines.js';
import { tasksByZone, zoneAllowance, zoneChoices } from './capacity/zones.js';

const type: MachineType = {
  ...{ name: 'big', cpus: 16, gpus: 4, memoryGb: 64, cacheGb: 10 },
  ...{ fetchGbPerS: 1, price: 1, spotPrice: 1, bootS: 10, zones: ['a', 'b'] },
};
const settings = new Settings(standalonePlatform(), defaultProperties());
const nothing = (): void => undefined;
const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };

function job(part: Partial<JobSpec> = {}): Job {
  const spec: JobSpec = {
    ...{ id: 'req-1', class: 'c', team: 'red', kind: 'array', priority: 'normal', tasks: 2 },
    ...{ cpus: 4, gpus: 1, memoryGb: 4, image: 'i', imageGb: 1, types: null, zone: null },
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
  return new Job(spec, 0, 1, 0);
}

function machine(id: string, zone = 'a'): Machine {
  const made = new Machine(id, 0, settings);
  made.type = type;
  made.zone = zone;
  made.tokenAcknowledged = true;
  return made;
}

function passOver(machines: Machine[], queue: QueuedJob[] = [], lowestLevel = Infinity) {
  return new PlacementPass(0, new ClusterCapacity(machines, 10_000), queue, lowestLevel);
}

const queued = (one: Job, rank = 0): QueuedJob => ({
  ...{ job: one, rank, granted: false, acceptsFetch: false },
});

const capacityOf = (pass: PlacementPass, id: string): FreeCapacity =>
  pass.cluster.byMachineId.get(id) ?? assert.fail();

const candidate = (capacity: FreeCapacity, count: number, score = 0): Candidate => ({
  capacity,
  count,
  score,
});

/** An assignment of the job that is running on the machine. */
function assign(owner: Job, on: Machine, task = 0): Assignment {
  const made = {
    ...{ name: `${owner.spec.id}/${task}`, jobId: owner.spec.id, job: owner, machine: on, task },
    ...{ phase: 'seen', stop: null, checkpointSaveS: 3 },
  } as unknown as Assignment;
  owner.allAssignments.add(made);
  return made;
}

describe('LatestStarts', () => {
  const starts = new StartDeadlines(
    {
      heartbeatIntervalMs: 1000,
      guaranteeObjectiveMs: 60_000,
      objectivesFor: () => ({ starts: [30_000], ends: [100_000, 5000] }),
    },
    { runMs: () => 10_000 },
  );

  it('leaves time for the run, and counts the guarantee only inside it', () => {
    const one = job();
    assert.deepEqual(starts.of(one), [30_000, 86_000, 0]);
    one.guaranteed = true;
    assert.deepEqual(starts.of(one), [30_000, 60_000, 86_000, 0]);
  });

  it('tells the next one that can still be met', () => {
    assert.equal(starts.next(job(), 1), 30_000);
    assert.equal(starts.next(job(), 30_001), 86_000);
    assert.equal(starts.next(job(), 86_001), Infinity);
  });
});

describe('isUsable', () => {
  it('excludes machines that are unknown, silent, or about to go', () => {
    const alive = { isAlive: () => true };
    assert.ok(isSchedulable(machine('n-1'), 0, alive));
    assert.ok(!isSchedulable(machine('n-1'), 0, { isAlive: () => false }));
    const changes: Partial<Machine>[] = [
      { type: null },
      { tokenAcknowledged: false },
      { releasing: true },
      { interruptionAt: 5 },
      { unschedulableUntil: 1 },
      { cloudState: 'failed' },
    ];
    for (const change of changes)
      assert.ok(!isSchedulable(Object.assign(machine('n-1'), change), 0, alive));
  });
});

describe('machinePenalty', () => {
  it('prefers tight fits, and machines on which the job has not failed', () => {
    const capacity = new FreeCapacity(machine('n-1'), 10_000);
    const one = job({ gpus: 1, spot: false });
    const tight = machinePenalty(job({ gpus: 4, spot: false }), capacity);
    assert.equal(tight, 0);
    assert.equal(machinePenalty(one, capacity), 7.5);
    one.failedMachines.add('n-1');
    assert.equal(machinePenalty(one, capacity), 67.5);
    assert.equal(machinePenalty(job({ gpus: 0, cpus: 16, spot: false }), capacity), 30);
  });

  it('keeps repeatable work on spot machines, and services off them', () => {
    const spot = machine('n-1');
    spot.spot = true;
    const capacity = new FreeCapacity(spot, 10_000);
    assert.equal(machinePenalty(job({ gpus: 4 }), capacity), 0);
    assert.equal(machinePenalty(job({ gpus: 4, kind: 'service' }), capacity), 15);
  });
});

describe('zones', () => {
  it('counts the tasks that may still be there', () => {
    const one = job();
    assign(one, machine('n-1', 'a'));
    assign(one, machine('n-2', 'b')).phase = 'ended';
    assert.deepEqual([...tasksByZone(one)], [['a', 1]]);
  });

  it('allows one zone, half in each, or any', () => {
    const counts = new Map([['a', 1]]);
    const { spec } = job({ tasks: 5 });
    assert.equal(zoneAllowance(spec, 'b', counts), Infinity);
    assert.equal(zoneAllowance({ ...spec, singleZone: true }, 'b', counts), 0);
    assert.equal(zoneAllowance({ ...spec, singleZone: true }, 'a', counts), Infinity);
    assert.equal(zoneAllowance({ ...spec, spread: true }, 'a', counts), 2);
  });

  it('are tried one by one only where one is wanted', () => {
    const { cluster } = passOver([machine('n-1', 'a'), machine('n-2', 'b')]);
    assert.deepEqual(zoneChoices(cluster, job().spec), [null]);
    assert.deepEqual(zoneChoices(cluster, job({ singleZone: true }).spec), ['a', 'b']);
  });
});

describe('FailedSearches', () => {
  const need = { cpus: 2, gpus: 1, memoryGb: 4 };

  it('excludes needs at least as large on the same kinds, until cleared', () => {
    const searches = new NegativeSearchCache();
    searches.addNoCapacity({ need, kinds: '0' });
    assert.ok(searches.hasNoCapacity({ need: { ...need, cpus: 3 }, kinds: '0' }));
    assert.ok(!searches.hasNoCapacity({ need: { ...need, cpus: 1 }, kinds: '0' }));
    assert.ok(!searches.hasNoCapacity({ need, kinds: '0,4' }));
    searches.clear();
    assert.ok(!searches.hasNoCapacity({ need, kinds: '0' }));
  });

  it('excludes victims only for a team and level that may stop no more', () => {
    const searches = new NegativeSearchCache();
    const search = { need, kinds: '0', team: 'red', guaranteed: false, level: 1 };
    searches.addNoVictims(search);
    assert.ok(searches.hasNoVictims({ ...search, level: 0 }));
    assert.ok(!searches.hasNoVictims({ ...search, level: 2 }));
    assert.ok(!searches.hasNoVictims({ ...search, guaranteed: true }));
    assert.ok(!searches.hasNoVictims({ ...search, team: 'blue' }));
  });
});

describe('PlacementPass', () => {
  it('takes jobs by rank, those requeued after all others', () => {
    const [first, second] = [queued(job({ id: 'req-1' }), 1), queued(job({ id: 'req-2' }), 2)];
    const pass = passOver([], [second, first]);
    assert.ok(!pass.isStarted());
    assert.equal(pass.take(), first);
    pass.requeue(first);
    assert.deepEqual([pass.take(), pass.isFinished()], [second, false]);
    assert.equal(pass.take(), first);
    assert.ok(pass.isFinished());
  });

  it('sees the machines anew after an interruption', () => {
    const pass = passOver([machine('n-1'), machine('n-2')]);
    const capacity = capacityOf(pass, 'n-1');
    capacity.forecast = {
      ...{ expectedEnds: [], hasStopping: false, longestSaveMs: 0 },
      ...{ lowestLevel: 0, hasUnguaranteed: false },
    };
    pass.resume(7, ({ id }) => id === 'n-2');
    assert.deepEqual([pass.now, capacity.unschedulable, capacity.forecast], [7, true, null]);
    assert.ok(!capacityOf(pass, 'n-2').unschedulable);
  });
});

describe('TaskStarter', () => {
  it('starts the lowest tasks, a gang under one attempt that no other term has', () => {
    const started: number[][] = [];
    const starter = new TaskStarter(
      { term: 3, assign: (_, task, attempt) => started.push([task, attempt]) },
      nothing,
    );
    const attempt = starter.nextAttempt();
    assert.equal(attempt, 3 * 2 ** 22 + 1);
    starter.start(job({ kind: 'gang' }), new FreeCapacity(machine('n-1'), 10_000), 5, attempt);
    assert.deepEqual(started, [
      [0, attempt],
      [1, attempt],
    ]);
  });
});

describe('CandidateFinder', () => {
  const finder = new CandidateFinder(settings, new DurationEstimator());

  it('puts machines with the image first, and leaves out the others where asked to', () => {
    const warm = machine('n-2');
    warm.recordImageUse('i', 1);
    const pass = passOver([machine('n-1'), warm]);
    const ids = (found: Candidate[]): string[] => found.map(({ capacity }) => capacity.machine.id);
    assert.deepEqual(ids(finder.find(pass, job())), ['n-2', 'n-1']);
    assert.deepEqual(ids(finder.find(pass, job(), true)), ['n-2']);
  });

  it('remembers needs that no machine has place for', () => {
    const pass = passOver([machine('n-1')]);
    capacityOf(pass, 'n-1').unschedulable = true;
    assert.deepEqual(finder.find(pass, job()), []);
    assert.ok(
      pass.failedSearches.hasNoCapacity({ need: resourceRequestOf(job().spec), kinds: '0' }),
    );
  });
});

describe('Preemption', () => {
  it('stops all victims or none, and lets the preemptor go first', () => {
    const stopped: string[] = [];
    const preemption = new Preemptor(
      { log: silent, now: () => 100 },
      { get: () => 0, workerLeaseMs: 1000 },
      {
        assignedCount: 10,
        stop: ({ name }) => stopped.push(name),
        stopJob: ({ spec }) => stopped.push(spec.id),
      },
      { lostWorkMs: () => 0 },
    );
    const [array, gang, by] = [job(), job({ id: 'req-2', kind: 'gang' }), job({ id: 'req-3' })];
    const victims = [0, 1, 2, 3, 4].map((task) => assign(array, machine('n-1'), task));
    assert.ok(!preemption.preemptAll(victims, by));
    assert.equal(preemption.count, 0);
    assert.ok(preemption.preemptAll([...victims.slice(0, 2), assign(gang, machine('n-1'))], by));
    assert.deepEqual(stopped, ['req-1/0', 'req-1/1', 'req-2']);
    assert.deepEqual(
      [preemption.count, array.preemptionCount, by.preemptionClaimUntil],
      [3, 2, 1100],
    );
    assert.ok(!preemption.preemptAll(victims.slice(2, 4), by), 'what was stopped lately counts');
  });
});

describe('setBlockedReason', () => {
  it('marks the job as changed only by another reason', () => {
    const one = job();
    one.progressChanged = false;
    setBlockedReason(one, '');
    assert.ok(!one.progressChanged);
    setBlockedReason(one, 'no room');
    assert.deepEqual([one.progressChanged, one.blockedReason], [true, 'no room']);
  });
});

describe('spreadReplicas', () => {
  it('takes a machine without a replica before one that has some', () => {
    const service = job({ kind: 'service', tasks: 4 });
    const pass = passOver([machine('n-1'), machine('n-2')]);
    assign(service, capacityOf(pass, 'n-1').machine);
    const found = ['n-1', 'n-2'].map((id) => candidate(capacityOf(pass, id), 2));
    const order: string[] = [];
    for (const { capacity } of spreadReplicas(service, found)) {
      order.push(capacity.machine.id);
      // The place is used: what is offered next depends on it.
      service.pending.pop();
    }
    assert.deepEqual(order, ['n-2', 'n-1', 'n-2', 'n-1']);
  });
});

describe('ArrayPlacer', () => {
  it('starts what fits, reports the rest, and makes room where it outranks', () => {
    const pass = passOver([machine('n-1')], [], 0);
    const capacity = capacityOf(pass, 'n-1');
    const started: number[] = [];
    const placer = new IndependentTaskPlacer({
      settings,
      teams: { allowance: () => 5 },
      latestStarts: { next: () => Infinity },
      candidates: { find: () => [candidate(capacity, 2)] },
      starter: { start: (_job, _room, count) => started.push(count) },
      targets: {
        find: () => [{ capacity, fillAt: 9, victims: [], lostWorkMs: 0, hasStopping: false }],
      },
      preemption: { preemptAll: () => true },
    });
    const array = job({ tasks: 6 });
    placer.place(pass, queued(array));
    assert.deepEqual(started, [2]);
    assert.deepEqual(pass.shortages, [{ job: array, tasks: 3 }]);
    assert.deepEqual(capacity.claims, [
      { ...resourceRequestOf(array.spec), fillAt: 9, headroom: null },
    ]);
  });
});

describe('GangPlacer', () => {
  const place = (gang: Job, allowance: number, found: (pass: PlacementPass) => Candidate[]) => {
    const pass = passOver([machine('n-1')]);
    const calls: string[] = [];
    new GangPlacer({
      settings,
      teams: { allowance: () => allowance },
      estimates: { fetchMs: () => 0 },
      candidates: { find: () => found(pass) },
      starter: { nextAttempt: () => 8, start: (_job, _room, n, at) => calls.push(`${n}@${at}`) },
      reservations: {
        drop: () => calls.push('drop'),
        reserve: () => calls.push('reserve'),
        find: () => assert.fail(),
      },
    }).place(pass, gang);
    return calls;
  };

  it('starts a gang whole, reserves room for it, or leaves it to its limit', () => {
    const gang = job({ kind: 'gang', tasks: 3 });
    const fits = (count: number) => (pass: PlacementPass) => [
      candidate(capacityOf(pass, 'n-1'), count),
    ];
    assert.deepEqual(place(gang, 3, fits(4)), ['3@8', 'drop']);
    assert.deepEqual(place(gang, 3, fits(2)), ['reserve']);
    assert.deepEqual(place(gang, 2, fits(4)), ['drop']);
    assert.equal(gang.blockedReason, "its team's limit is used up");
  });

  it('picks half of a spread gang in each zone', () => {
    const pass = passOver([machine('n-1', 'a'), machine('n-2', 'b')]);
    const found = ['n-1', 'n-2'].map((id) => candidate(capacityOf(pass, id), 4));
    const picked = pickForGang(job({ tasks: 4, spread: true }), found, null);
    assert.deepEqual(
      picked?.map(({ count }) => count),
      [2, 2],
    );
    assert.equal(pickForGang(job({ tasks: 5 }), found, 'a'), null);
  });
});

describe('GangReservations', () => {
  const written = new Map<string, unknown>();
  let searches = 0;
  const reservations = new GangReservations({
    eventLoop: { log: silent, now: () => 5 },
    settings,
    records: {
      *list() {
        yield { key: reservationKey('req-1'), value: ['n-1'] };
        yield { key: reservationKey('req-gone'), value: ['n-1'] };
      },
      set: (key, value) => written.set(key, value),
    },
    estimates: { fetchMs: () => 100 },
    targets: {
      find: ({ capacities }) => {
        searches++;
        return capacities.map((capacity) => ({
          capacity,
          fillAt: 50,
          victims: [],
          lostWorkMs: 0,
          hasStopping: false,
        }));
      },
    },
    preemption: { preemptAll: () => true },
  });

  it('are read at takeover, and removed for jobs that are gone', () => {
    const gang = job({ kind: 'gang' });
    reservations.load({ jobs: new Map([['req-1', gang]]) });
    assert.deepEqual(gang.reservation?.machines, ['n-1']);
    assert.deepEqual([...written], [['h/req-gone', undefined]]);
  });

  it('are kept for a while without another search, claim room, and are dropped', () => {
    const gang = job({ kind: 'gang', tasks: 2 });
    const pass = passOver([machine('n-1'), machine('n-2')]);
    reservations.reserve(pass, gang);
    assert.deepEqual(written.get('h/req-1'), ['n-1', 'n-2']);
    assert.equal(capacityOf(pass, 'n-2').claims[0]?.fillAt, 50);
    assert.equal(reservations.find(pass, gang).readyAt, 150);
    assert.equal(searches, 1);
    reservations.drop(gang);
    assert.deepEqual([gang.reservation, written.get('h/req-1')], [null, undefined]);
  });
});

describe('stopping work for a gang', () => {
  const { heartbeatIntervalMs } = settings;
  const SAVE_S = 20;

  /** How many tasks are stopped where the gang's reservation should be full after the time given. */
  function stoppedFor(fillMs: number): number {
    let stopped = 0;
    const victim = { ...assign(job(), machine('n-1')), checkpointSaveS: SAVE_S };
    const reservations = new GangReservations({
      eventLoop: { log: silent, now: () => 0 },
      settings,
      records: { list: () => [][Symbol.iterator](), set: nothing },
      estimates: { fetchMs: () => 0 },
      targets: {
        find: ({ capacities }) =>
          capacities.map((capacity) => ({
            ...{ capacity, fillAt: fillMs, victims: [victim], lostWorkMs: 0, hasStopping: false },
          })),
      },
      preemption: {
        preemptAll: (victims) => {
          stopped += victims.length;
          return true;
        },
      },
    });
    reservations.reserve(passOver([machine('n-1')]), job({ kind: 'gang', tasks: 1 }));
    return stopped;
  }

  // Where workers report every second, a save takes many report intervals: gangs then waited for
  // room that nobody was told to free.
  it('does not wait for saves that begin only with the stop', () => {
    assert.ok(SAVE_S * 1000 > 3 * heartbeatIntervalMs);
    assert.equal(stoppedFor(heartbeatIntervalMs + SAVE_S * 1000), 1);
  });

  it('waits while other work keeps the gang from starting', () => {
    assert.equal(stoppedFor(heartbeatIntervalMs + 2 * SAVE_S * 1000), 0);
  });
});
