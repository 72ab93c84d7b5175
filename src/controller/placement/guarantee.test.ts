import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { EventLoop } from '../runtime/event-loop.js';
import type { Runtime, Logger } from '../runtime/runtime.js';
import { JobTable } from '../jobs/job-table.js';
import { standalonePlatform } from '../../../test/platform.js';
import { immediateRecords } from '../../../test/fake-records.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { MachineType } from '../wire/cloud.js';
import { writeJobSpec, type JobSpec } from '../wire/jobs.js';
import type { TaskStatus } from '../wire/workers.js';
import { makeFencingToken } from '../workers/fencing-token.js';
import { Workers } from '../workers/workers.js';
import { DurationEstimator } from './estimates/duration-estimator.js';
import { NegativeSearchCache } from './pass/negative-search-cache.js';
import { Placement } from './placement.js';
import { ClassHeadroom } from './headroom/class-headroom.js';

const TERM = 3;
const teams = `
[[params.teams]]
name = "owner"
gpus = 4.0
[[params.teams]]
name = "guest"
gpus = 1.0
`;
const settings = new Settings(standalonePlatform(teams), {
  ...defaultProperties(),
  'placement.preempt.share': 1,
});
const type: MachineType = {
  ...{ name: 'g', cpus: 8, gpus: 4, memoryGb: 64, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 1, spotPrice: 1, bootS: 10, zones: ['a'] },
};
const nothing = (): void => undefined;
const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };

class ForgetfulSearches extends NegativeSearchCache {
  override addNoCapacity(): void {
    // Every search is made anew.
  }

  override addNoVictims(): void {
    // Every search is made anew.
  }
}

/** Two machines, placement and workers, with records stored at once and obedient workers. */
class Cluster {
  now = 0;
  private seq = 0;
  private readonly tokens = new Map<string, number>();
  readonly table: JobTable;
  readonly workers: Workers;
  readonly placement: Placement;
  private readonly machines = ['n-1', 'n-2'];
  private readonly there = new Map<string, TaskStatus[]>(this.machines.map((m) => [m, []]));

  constructor(private readonly plain = false) {
    const runtime: Runtime = {
      startedAt: -Infinity,
      now: () => this.now,
      wallClock: () => this.now,
      random: () => 0.5,
      defer: nothing,
      startTimer: () => ({ cancel: nothing }),
      call: nothing,
      sendPeer: nothing,
      hasSpareConnection: () => true,
    };
    const eventLoop = new EventLoop(runtime, silent);
    const records = immediateRecords();
    this.table = new JobTable(eventLoop, settings, {} as unknown as StateStoreClient, records, {
      ...{
        onIncompleteGang: nothing,
        onJobAdded: nothing,
        onTasksPending: nothing,
        onRecordRemoved: nothing,
      },
      ...{ onJobTerminated: nothing, onCompletionRecorded: nothing, onTerminalState: nothing },
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
  }

  add(part: Partial<JobSpec>): void {
    const spec: JobSpec = {
      ...{ id: `req-${this.table.jobs.size}`, class: 'c', team: 'guest', kind: 'array' },
      ...{ priority: 'normal', tasks: 1, cpus: 1, gpus: 1, memoryGb: 1, image: 'i', imageGb: 0 },
      ...{
        types: null,
        zone: null,
        singleZone: false,
        spread: false,
        spot: true,
        estimatedRunS: 500,
      },
      ...{ checkpointIntervalS: 0, checkpointSaveS: 0, deadlineS: null },
      ...part,
    };
    this.table.add(spec.id, { job: writeJobSpec(spec), at: this.now }, 1);
  }

  /** A second: every worker reports and does as it is told, then a pass. */
  step(): void {
    this.now += 1000;
    for (const machine of this.machines) {
      const tasks = this.there.get(machine) ?? [];
      const answer = this.workers.handleHeartbeat({
        ...{ machine, addr: 'x:1', type: 'g', zone: 'a', spot: false, agentEpoch: 1 },
        ...{
          sequence: ++this.seq,
          fencingToken: this.tokens.get(machine) ?? makeFencingToken(TERM, 0),
          spotNoticeS: null,
          tasks,
        },
      });
      assert.equal(answer.status, 200);
      const { baton, orders } = (answer as { body: unknown }).body as {
        baton: number;
        orders: { verb: string; duty: string; try: number }[];
      };
      this.tokens.set(machine, baton);
      for (const o of orders) {
        const at = tasks.findIndex((t) => t.name === o.duty);
        if (o.verb === 'run')
          tasks.push({
            name: o.duty,
            attempt: o.try,
            state: 'running',
            cause: null,
            checkpointSaved: false,
          });
        else if (o.verb === 'stop')
          tasks.splice(at, 1, {
            ...(tasks[at] ?? assert.fail()),
            state: 'exited',
            cause: 'stopped',
          });
        else tasks.splice(at, 1);
      }
    }
    if (this.plain) this.plainPass();
    else this.placement.runPass();
    this.workers.flush();
  }

  /** A pass that remembers nothing of what it has tried: every room is looked at for every job. */
  private plainPass(): void {
    this.placement.begin();
    const { current } = this.placement as unknown as { current: Record<string, unknown> };
    assert.ok(current['failedSearches'] instanceof NegativeSearchCache);
    Object.assign(current, { failedSearches: new ForgetfulSearches() });
    this.placement.advance(Infinity);
  }

  /** What every machine has, in words. */
  get state(): string[] {
    return [...this.there].map(([m, tasks]) =>
      [m, ...tasks.map((t) => `${t.name}@${t.attempt} ${t.state}`).sort()].join(' '),
    );
  }

  /** One task of the job completes; false if none runs. */
  complete(id: string): boolean {
    for (const tasks of this.there.values()) {
      const t = tasks.find((x) => x.name.startsWith(`${id}/`) && x.state === 'running');
      if (t === undefined) continue;
      tasks.splice(tasks.indexOf(t), 1, { ...t, state: 'exited', cause: 'done' });
      return true;
    }
    return false;
  }

  running(id: string): number {
    return [...this.there.values()]
      .flat()
      .filter((t) => t.name.startsWith(`${id}/`) && t.state !== 'exited').length;
  }
}

describe('guarantees', () => {
  it('work inside a guarantee does not wait for what other teams borrow', () => {
    const owned = fc.record({
      kind: fc.constantFrom('array', 'gang'),
      tasks: fc.integer({ min: 1, max: 4 }),
      priority: fc.constantFrom('low', 'normal', 'high'),
    });
    const borrowed = fc.record({
      kind: fc.constantFrom('array', 'gang'),
      tasks: fc.integer({ min: 1, max: 8 }),
      gpus: fc.constantFrom(1, 2),
      priority: fc.constantFrom('normal', 'high', 'critical'),
    });
    fc.assert(
      fc.property(fc.array(borrowed, { minLength: 1, maxLength: 4 }), owned, (guests, owner) => {
        const c = new Cluster();
        for (let i = 0; i < 3; i++) c.step();
        for (const g of guests)
          c.add({
            ...g,
            priority: g.priority === 'critical' ? 'production' : g.priority,
          });
        for (let i = 0; i < 20; i++) c.step();
        const id = `req-${c.table.jobs.size}`;
        c.add({ ...owner, id, team: 'owner' });
        for (let i = 0; i < 30; i++) c.step();
        assert.equal(c.running(id), owner.tasks);
      }),
      { seed: 6, numRuns: 60 },
    );
  });
});

describe('images', () => {
  // Fleet days: every array task took the next free place anywhere, and a third of all GPUs waited
  // for images that the next machine had.
  it('an array with time leaves a place without its image to one that has it there', () => {
    const c = new Cluster();
    for (let i = 0; i < 3; i++) c.step();
    const array = { deadlineS: 50_000, estimatedRunS: 500 };
    c.add({ ...array, id: 'req-x', image: 'x', tasks: 4 });
    c.add({ ...array, id: 'req-y', image: 'y', tasks: 4 });
    for (let i = 0; i < 3; i++) c.step();
    c.add({ ...array, id: 'req-first', image: 'y' });
    c.step();
    c.add({ ...array, id: 'req-second', image: 'x' });
    assert.ok(c.complete('req-x'));
    for (let i = 0; i < 4; i++) c.step();
    assert.deepEqual([c.running('req-first'), c.running('req-second')], [0, 1]);
    // Nobody else wants the next one: nothing stands idle for the image.
    assert.ok(c.complete('req-x'));
    for (let i = 0; i < 4; i++) c.step();
    assert.equal(c.running('req-first'), 1);
  });

  it('an array whose time is short has its turn by rank alone', () => {
    const c = new Cluster();
    for (let i = 0; i < 3; i++) c.step();
    const array = { deadlineS: 50_000, estimatedRunS: 500 };
    c.add({ ...array, id: 'req-x', image: 'x', tasks: 4 });
    c.add({ ...array, id: 'req-y', image: 'y', tasks: 4 });
    for (let i = 0; i < 3; i++) c.step();
    c.add({ ...array, id: 'req-first', image: 'y', deadlineS: 700 });
    c.step();
    c.add({ ...array, id: 'req-second', image: 'x' });
    for (let i = 0; i < 30; i++) c.step();
    assert.ok(c.complete('req-x'));
    for (let i = 0; i < 4; i++) c.step();
    assert.deepEqual([c.running('req-first'), c.running('req-second')], [1, 0]);
  });
});

describe('the pass', () => {
  it('decides as one does that remembers nothing of what it has tried', () => {
    const anyJob = fc.record({
      kind: fc.constantFrom<'array' | 'gang'>('array', 'gang'),
      team: fc.constantFrom('owner', 'guest'),
      tasks: fc.integer({ min: 1, max: 6 }),
      gpus: fc.constantFrom(0, 1, 2, 4),
      cpus: fc.constantFrom(1, 2, 5),
      priority: fc.constantFrom<'low' | 'normal' | 'high'>('low', 'normal', 'high'),
      image: fc.constantFrom('x', 'y', 'z'),
      deadlineS: fc.constantFrom(null, 600, 5000),
    });
    const life = fc.array(
      fc.record({ jobs: fc.array(anyJob, { maxLength: 4 }), ends: fc.nat(20) }),
      {
        minLength: 4,
        maxLength: 12,
      },
    );
    fc.assert(
      fc.property(life, (steps) => {
        const both = [new Cluster(), new Cluster(true)];
        for (const { jobs, ends } of steps) {
          for (const c of both) {
            for (const j of jobs) c.add(j);
            for (let i = 0; i < 2; i++) c.step();
            c.complete(`req-${ends}`);
            c.step();
          }
          assert.deepEqual(both[0]?.state, both[1]?.state);
        }
      }),
      { seed: 8, numRuns: 80 },
    );
  });
});
