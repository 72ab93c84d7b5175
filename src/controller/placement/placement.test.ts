import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { Job, type Assignment, Machine } from '../model/entities.js';
import type { JobSpec, Priority } from '../wire/jobs.js';
import type { MachineType } from '../wire/cloud.js';
import { DurationEstimator } from './estimates/duration-estimator.js';
import { compareRank, compareQueued, rankTime, queuedJob, type RankSettings } from './pass/rank.js';
import { resourceRequestOf } from '../model/resource-request.js';
import { FreeCapacity } from './capacity/free-capacity.js';
import { ReservationCandidateFinder } from './search/reservation-candidate-finder.js';
import { Guarantees, TeamUsage } from '../workers/team-usage.js';
import { standalonePlatform } from '../../../test/platform.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';

const type: MachineType = {
  ...{ name: 'big', cpus: 16, gpus: 4, memoryGb: 64, cacheGb: 10 },
  ...{ fetchGbPerS: 1, price: 1, spotPrice: 1, bootS: 10, zones: ['a'] },
};
const deployed = new Settings(standalonePlatform(), defaultProperties());
let ids = 0;
function spec(part: Partial<JobSpec>): JobSpec {
  return {
    ...{ id: `req-${ids++}`, class: 'c', team: 'red', kind: 'gang', priority: 'normal', tasks: 1 },
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
}
const settings: RankSettings = {
  agingMs: 400_000,
  preemptionBonus: 0.25,
  missedDeadlinePenalty: 0.5,
  startDeadlines: () => [],
};
const job = (part: Partial<JobSpec>, at: number): Job => new Job(spec(part), at, 1, at);
const rank = (a: Job, b: Job, s: RankSettings, now: number): number =>
  compareRank(queuedJob(a, s, now), queuedJob(b, s, now));
const turn = (a: Job, b: Job, now: number): number =>
  compareQueued(queuedJob(a, settings, now), queuedJob(b, settings, now));

describe('rank', () => {
  it('is priority, then submission, then id', () => {
    const low = job({ priority: 'low' }, 0);
    const high = job({ priority: 'high' }, 5000);
    const later = job({ priority: 'high' }, 6000);
    const twin = job({ priority: 'high' }, 6000);
    const sorted = [twin, later, low, high].sort((a, b) => rank(a, b, settings, 0));
    assert.deepEqual(sorted, [high, later, twin, low]);
  });

  it('is a total order that waiting does not change, and aging crosses priorities', () => {
    const any = fc.record({
      priority: fc.constantFrom<Priority>('low', 'normal', 'high', 'production'),
      at: fc.nat(1_000_000),
      preemptions: fc.nat(3),
    });
    fc.assert(
      fc.property(fc.array(any, { minLength: 3, maxLength: 3 }), (list) => {
        const [a, b, c] = list.map((x) => {
          const j = job({ priority: x.priority }, x.at);
          j.preemptionCount = x.preemptions;
          return j;
        });
        if (a === undefined || b === undefined || c === undefined) return;
        assert.notEqual(rank(a, b, settings, 0), 0);
        assert.equal(Math.sign(rank(a, b, settings, 0)), -Math.sign(rank(b, a, settings, 0)));
        if (rank(a, b, settings, 0) < 0 && rank(b, c, settings, 0) < 0)
          assert.ok(rank(a, c, settings, 0) < 0);
      }),
      { seed: 4 },
    );
    const old = job({ priority: 'low' }, 0);
    assert.ok(
      rankTime(old, settings, 0) <
        rankTime(job({ priority: 'production' }, 1_200_001), settings, 0),
    );
  });
});

describe('aims', () => {
  const aimed: RankSettings = { ...settings, startDeadlines: () => [10_000, 60_000] };
  it('rank a job by the next aim that it can meet, then behind those that can', () => {
    const old = job({}, 0);
    const young = job({}, 5000);
    assert.ok(rank(old, young, aimed, 0) < 0);
    assert.ok(rank(old, young, aimed, 10_001) > 0);
    assert.ok(rank(old, young, aimed, 100_000) < 0, 'both late: submission decides');
    const muchLater = job({}, 400_000);
    assert.ok(rank(old, muchLater, aimed, 400_000) < 0, 'late work does not starve');
  });
});

describe('turns', () => {
  // Rough day, caroni: gangs of two teams stopped each other in turn, the victim always first again.
  it('room that was made for a gang goes to it, not back to its victim', () => {
    const victim = job({}, 0);
    victim.preemptionCount = 1;
    const gang = job({}, 5000);
    gang.preemptionClaimUntil = 30_000;
    assert.ok(turn(gang, victim, 20_000) < 0);
    assert.ok(turn(gang, victim, 40_000) > 0);
  });
});

describe('room and holds', () => {
  const room = (): FreeCapacity => {
    const m = new Machine('n-1', 0, deployed);
    m.type = type;
    return new FreeCapacity(m, 100);
  };
  const one = spec({});
  const fits = (where: FreeCapacity, job: JobSpec, level: number, endsAt: number): number =>
    where.countFitting({ ...{ spec: job, level, endsAt }, ...{ backfillRatio: 0.9, now: 0 } });

  it('counts whole tasks by the scarcest kind of room', () => {
    assert.equal(room().countFittingIgnoringClaims(resourceRequestOf(one)), 4);
    assert.equal(room().countFittingIgnoringClaims({ cpus: 16.0000001, gpus: 0, memoryGb: 0 }), 1);
    assert.equal(room().countFittingIgnoringClaims({ cpus: 1, gpus: 0, memoryGb: 33 }), 1);
  });

  it('lets lower ranks into held room only for work that ends before the hold fills', () => {
    const r = room();
    r.claimForTask({ cpus: 8, gpus: 3, memoryGb: 8 }, 100_000);
    assert.equal(fits(r, one, 1, 95_000), 1);
    assert.equal(fits(r, one, 1, 80_000), 4);
    assert.equal(fits(r, one, 1, Infinity), 1, 'a service never ends');
  });

  it('keeps room ahead against small arrays, not against gangs or higher priorities', () => {
    const r = room();
    const whole = spec({ class: 'whole', gpus: 4, cpus: 14 });
    r.claimHeadroom(1, 0, { spec: whole, level: 1, minSizeRatio: 1.5 });
    const small = spec({ kind: 'array', class: 'small' });
    assert.equal(fits(r, small, 1, 1000), 0);
    assert.equal(fits(r, small, 2, 1000), 4);
    assert.equal(fits(r, one, 1, 1000), 4);
    assert.equal(fits(r, whole, 1, 1000), 1);
    assert.ok(r.intrudesOnHeadroom(small));
  });
});

describe('estimates', () => {
  // Rough day, caroni: two gangs with different images on one machine fetched for 50 s instead of 25.
  it('count what is fetched at the same time', () => {
    const m = new Machine('n-1', 0, deployed);
    m.type = type;
    const e = new DurationEstimator();
    const first = spec({ image: 'x', imageGb: 10 });
    assert.equal(e.fetchMs(first, m, 0), 10_000);
    m.assignments.set('req-x/0', {
      ...{
        job: new Job(spec({ image: 'y', imageGb: 4 }), 0, 1, 0),
        state: 'fetching',
        phase: 'seen',
      },
    } as Assignment);
    assert.equal(e.fetchMs(first, m, 0), 14_000);
    assert.ok(e.needsFetch(first, m));
    m.recordImageUse('x', 10);
    assert.equal(e.fetchMs(first, m, 0), 0);
    assert.ok(!e.needsFetch(first, m));
  });
});

describe('what is left of a run', () => {
  const m = new Machine('n-1', 0, deployed);
  m.type = type;
  const run = (e: DurationEstimator, s: JobSpec, elapsed: number): number => {
    const a = { job: new Job(s, 0, 1, 0), machine: m, stop: null, state: 'running', assignedAt: 0 };
    return e.remainingMs({ ...a, runningAt: 0, phase: 'seen' } as unknown as Assignment, elapsed);
  };

  // Fleet day busy: gangs of owners who err much seemed nearly done for minutes, and holds waited
  // for them instead of making room.
  it('is more for a class whose owners err more, and never nothing', () => {
    const sure = new DurationEstimator();
    const unsure = new DurationEstimator();
    const s = spec({ estimatedRunS: 100 });
    for (let i = 0; i < 60; i++) {
      sure.observe(s, 100_000 * (i % 2 === 0 ? 1.05 : 0.95));
      unsure.observe(s, 100_000 * (i % 2 === 0 ? 2 : 0.5));
    }
    for (const elapsed of [50_000, 90_000, 100_000, 150_000, 1e9]) {
      assert.ok(run(sure, s, elapsed) > 0);
      assert.ok(run(unsure, s, elapsed) > run(sure, s, elapsed));
    }
    assert.ok(Math.abs(run(sure, s, 0) - 100_000) < 5000);
    assert.ok(run(sure, s, 90_000) < 20_000);
    assert.ok(run(unsure, s, 100_000) > 40_000);
    const heir = new DurationEstimator();
    heir.importStatistics(unsure.exportStatistics());
    assert.equal(run(heir, s, 50_000), run(unsure, s, 50_000));
  });
});

describe('filling a room', () => {
  // Fleet day restart: most machines ran one task within its team's guarantee beside borrowed ones;
  // holds took them for machines that had to be waited for whole.
  it('waits for what may not be stopped, and stops what would go on longer', () => {
    const settings = new Settings(standalonePlatform(), defaultProperties());
    const estimates = new DurationEstimator();
    const teams = new TeamUsage([]);
    const m = new Machine('n-1', 0, deployed);
    m.type = type;
    const assign = (team: string, guaranteed: boolean, estimatedRunS: number): Assignment => {
      const owner = job({ kind: 'array', team, estimatedRunS }, 0);
      owner.guaranteed = guaranteed;
      const a = {
        ...{
          name: owner.spec.id,
          job: owner,
          team,
          task: 0,
          attempt: 1,
          machine: m,
          agentEpoch: 1,
        },
        ...{
          request: resourceRequestOf(owner.spec),
          checkpointSaveS: 0,
          assignedAt: 0,
          phase: 'seen',
          state: 'running',
        },
        ...{ runningAt: 0, stop: null },
      } as unknown as Assignment;
      m.assignments.set(a.name, a);
      m.allocate(a);
      return a;
    };
    const kept = assign('other', true, 80);
    const borrowed = [assign('red', false, 900), assign('red', false, 900)];
    const brief = assign('red', false, 70);
    const now = 60_000;
    const gang = job({ priority: 'high', gpus: 4, cpus: 4, tasks: 1 }, now);
    const [target] = new ReservationCandidateFinder(settings, estimates, teams).find({
      ...{
        now,
        job: gang,
        capacities: [new FreeCapacity(m, 10_000)],
        count: 1,
        onlyByPreemption: false,
        penalty: () => 0,
      },
    });
    assert.deepEqual(new Set(target?.victims), new Set(borrowed));
    assert.ok(!target?.victims.includes(brief) && !target?.victims.includes(kept));
    assert.equal(target?.fillAt, now + estimates.remainingMs(kept, now));
  });
});

describe('teams', () => {
  const team = { name: 'red', guaranteedCpus: 0, guaranteedGpus: 4, maxCpus: 0, maxGpus: 6 };
  it('counts every task that is not surely gone against the limit', () => {
    const teams = new TeamUsage([team]);
    assert.equal(teams.allowance(spec({ gpus: 2 })), 3);
    teams.add('red', { cpus: 1, gpus: 5, memoryGb: 1 }, 1);
    assert.equal(teams.allowance(spec({ gpus: 2 })), 0);
    assert.equal(teams.allowance(spec({ gpus: 1 })), 1);
    assert.equal(teams.allowance(spec({ team: 'nobody' })), 0);
  });

  it('finds the jobs inside a guarantee, earlier ones first', () => {
    const first = job({ gpus: 3 }, 0);
    const second = job({ gpus: 2 }, 1);
    const third = job({ gpus: 1, tasks: 1 }, 2);
    new Guarantees([team]).mark([third, second, first]);
    assert.ok(first.guaranteed);
    assert.ok(!second.guaranteed);
    assert.ok(!third.guaranteed, 'the guarantee is used up by the one before');
  });
});
