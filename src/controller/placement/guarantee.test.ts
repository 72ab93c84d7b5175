import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { Core } from '../core/core.js';
import type { Env, Logger } from '../core/env.js';
import { JobTable } from '../jobs/table.js';
import { alone } from '../../../test/platform.js';
import { storedAtOnce } from '../../../test/stored.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { StateClient } from '../store/client.js';
import type { MachineType } from '../wire/cloud.js';
import { writeJob, type JobSpec } from '../wire/jobs.js';
import type { TaskReport } from '../wire/workers.js';
import { makeToken } from '../workers/token.js';
import { Workers } from '../workers/workers.js';
import { Estimates } from './estimates.js';
import { Placement } from './placement.js';
import { Reserve } from './reserve.js';

const TERM = 3;
const teams = `
[[params.teams]]
name = "owner"
gpus = 4.0
[[params.teams]]
name = "guest"
gpus = 1.0
`;
const settings = new Settings(alone(teams), {
  ...defaultProperties(),
  'placement.preempt.share': 1,
});
const type: MachineType = {
  ...{ name: 'g', cpus: 8, gpus: 4, memoryGb: 64, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 1, spotPrice: 1, bootS: 10, zones: ['a'] },
};
const nothing = (): void => undefined;
const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };

/** Two machines, placement and workers, with records stored at once and obedient workers. */
class Cluster {
  now = 0;
  private seq = 0;
  private readonly tokens = new Map<string, number>();
  readonly table: JobTable;
  readonly workers: Workers;
  readonly placement: Placement;
  private readonly machines = ['n-1', 'n-2'];
  private readonly there = new Map<string, TaskReport[]>(this.machines.map((m) => [m, []]));

  constructor() {
    const env: Env = {
      now: () => this.now,
      wall: () => this.now,
      random: () => 0.5,
      soon: nothing,
      timer: () => ({ cancel: nothing }),
      call: nothing,
      sendPeer: nothing,
      mayCall: () => true,
    };
    const core = new Core(env, silent);
    const records = storedAtOnce();
    this.table = new JobTable(core, settings, {} as unknown as StateClient, records, {
      ...{ torn: nothing, added: nothing, changed: nothing, vanished: nothing },
      ...{ closed: nothing, recorded: nothing, ended: nothing },
    });
    this.workers = new Workers(core, settings, TERM, records, this.table, {
      type: () => type,
      ...{ higherTerm: nothing, changed: nothing, ran: nothing },
    });
    const estimates = new Estimates();
    const reserve = new Reserve({ memoryMs: 1000, share: 0, spare: 0 }, estimates, 0, () => null);
    this.placement = new Placement(
      ...([core, settings, this.table, this.workers, records, estimates, reserve] as const),
      { exhausted: nothing },
    );
  }

  add(part: Partial<JobSpec>): void {
    const spec: JobSpec = {
      ...{ id: `req-${this.table.jobs.size}`, class: 'c', team: 'guest', kind: 'array' },
      ...{ priority: 'normal', tasks: 1, cpus: 1, gpus: 1, memoryGb: 1, image: 'i', imageGb: 0 },
      ...{ types: null, zone: null, oneZone: false, spread: false, spot: true, estimateS: 500 },
      ...{ checkpointS: 0, saveS: 0, deadlineS: null },
      ...part,
    };
    this.table.add(spec.id, { job: writeJob(spec), at: this.now }, 1);
  }

  /** A second: every worker reports and does as it is told, then a pass. */
  step(): void {
    this.now += 1000;
    for (const machine of this.machines) {
      const tasks = this.there.get(machine) ?? [];
      const answer = this.workers.report({
        ...{ machine, addr: 'x:1', type: 'g', zone: 'a', spot: false, session: 1 },
        ...{
          seq: ++this.seq,
          token: this.tokens.get(machine) ?? makeToken(TERM, 0),
          noticeS: null,
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
            saved: false,
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
    this.placement.pass();
    this.workers.flush();
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
