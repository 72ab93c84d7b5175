import type { Core } from '../core/core.js';
import type { Job, JobTable } from '../jobs/table.js';
import type { Settings } from '../settings/settings.js';
import type { Records } from '../store/records.js';
import type { Assignment } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';
import type { Workers } from '../workers/workers.js';
import type { Estimates } from './estimates.js';
import { compareTurn, type RankSettings } from './rank.js';
import type { Reserve } from './reserve.js';
import { allowed, needOf, Room, times } from './room.js';
import { Teams, withinGuarantee } from './teams.js';

export const holdKey = (id: string): string => `hold/${id}`;

/** Work that found no room in the last pass. */
export interface Lack {
  job: Job;
  tasks: number;
}

interface Target {
  room: Room;
  fillAt: number;
  victims: Assignment[];
  /** Work that stopping the victims would lose. */
  lostMs: number;
  /** Room is being made already. */
  stopping: boolean;
}

interface Pick {
  room: Room;
  count: number;
}

interface Pass {
  now: number;
  rooms: Room[];
  teams: Teams;
  guaranteed: Set<Job>;
}

/** Share of its estimate by which a run is allowed to take longer when its latest start is set. */
const RUN_MARGIN = 1.3;

/** Tasks of one array that room is made for in one pass. */
const ROOM_A_PASS = 8;

/** How much sooner a gang has to start for each second of work that is lost for it. */
const LOST_WEIGHT = 0.15;

/** Attempts of one leader; with the term they are unique over all time. */
const ATTEMPTS = 2 ** 22;

export interface PlacementHooks {
  /** This term has used up its attempts: a new one must begin. */
  exhausted(): void;
}

/**
 * Places what waits, by rank. A gang that does not fit holds the room that it has found and the
 * machines it fills up; lower ranks get only what is left, or short work that ends before the hold
 * fills (m03 R2).
 */
export class Placement {
  lacking: Lack[] = [];
  /** When tasks were stopped to make room, over the last lease. */
  private stopped: number[] = [];
  private throttledAt = -Infinity;
  /** Tasks stopped to make room, in this term. */
  preemptions = 0;
  private attempts = 0;
  /** Classes of which something found no room in the last pass. */
  private lackingClasses = new Set<string>();
  private readonly rank: RankSettings;

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    private readonly table: JobTable,
    private readonly workers: Workers,
    private readonly records: Records,
    readonly estimates: Estimates,
    private readonly reserve: Reserve,
    private readonly hooks: PlacementHooks,
  ) {
    this.rank = {
      agingMs: settings.workerLeaseMs * settings.get('placement.aging.ratio'),
      bonus: settings.get('placement.preempted.bonus.ratio'),
      late: settings.get('placement.late.ratio'),
      aims: (job) => this.aims(job),
    };
  }

  pass(): void {
    const now = this.core.now();
    const pass: Pass = {
      now,
      rooms: this.rooms(now),
      teams: new Teams(this.settings.platform.teams, this.assignments()),
      guaranteed: withinGuarantee(this.settings.platform.teams, this.table.jobs.values()),
    };
    this.drain(now);
    const waiting = [...this.table.jobs.values()].filter(
      (j) => j.pending.length > 0 && !j.regrouping && !j.ending && j.notBefore <= now,
    );
    for (const job of waiting) job.guaranteed = pass.guaranteed.has(job);
    waiting.sort((a, b) => compareTurn(a, b, this.rank, now));
    this.lacking = [];
    this.reserve.plan(pass.rooms, this.lackingClasses, now);
    for (const job of waiting) {
      if (job.spec.kind === 'gang') this.gang(pass, job);
      else this.array(pass, job);
    }
    this.lackingClasses = new Set(this.lacking.map((l) => l.job.spec.class));
  }

  /** Latest starts for what is expected of the job: its class's wait, its ends, its due time. */
  private aims(job: Job): number[] {
    const { spec } = job;
    // Estimates err; a start at the last moment would as likely as not be late.
    const run = this.estimates.runMs(spec) * RUN_MARGIN + this.settings.reportMs;
    const { starts, ends } = this.settings.aims(spec.class, spec.deadlineS);
    const inside = job.guaranteed ? this.settings.guaranteeWithinMs : null;
    if (inside !== null) starts.push(inside);
    return [...starts, ...ends.map((e) => Math.max(0, e - run))].sort((x, y) => x - y);
  }

  private *assignments(): Iterable<Assignment> {
    for (const m of this.workers.machines.values()) yield* m.assignments.values();
  }

  private usable(m: Machine, now: number): boolean {
    return (
      m.type !== null &&
      !m.leaving &&
      m.noticeAt === null &&
      m.noPlacingBefore <= now &&
      m.listed !== 'failed' &&
      this.workers.alive(m)
    );
  }

  private rooms(now: number): Room[] {
    const { slots } = this.workers;
    const rooms: Room[] = [];
    for (const m of this.workers.machines.values())
      if (this.usable(m, now)) rooms.push(new Room(m, slots));
    return rooms;
  }

  /** Lower is better: the image at hand, room that others can't use, the tightest fit (m03 §6, R1). */
  private score(job: Job, room: Room): number {
    const { spec } = job;
    const m = room.machine;
    const t = m.type;
    if (t === null) return Infinity;
    let score = this.estimates.fetchMs(spec, m) / 1000;
    if (spec.gpus === 0 && t.gpus > 0) score += 30;
    if (spec.spot && !m.spot) score += 15;
    if (job.failedOn.has(m.id)) score += 60;
    if (spec.kind === 'gang' && room.intrudes(spec)) score += 25;
    const left =
      spec.gpus > 0 ? (room.gpus - spec.gpus) / t.gpus : (room.cpus - spec.cpus) / t.cpus;
    return score + 10 * left;
  }

  private candidates(pass: Pass, job: Job): { room: Room; score: number }[] {
    return pass.rooms
      .filter((r) => allowed(job.spec, r.machine))
      .map((room) => ({ room, score: this.score(job, room) }))
      .sort((a, b) => a.score - b.score || (a.room.machine.id < b.room.machine.id ? -1 : 1));
  }

  private endsAt(pass: Pass, job: Job, room: Room): number {
    const { spec } = job;
    return (
      pass.now +
      this.settings.reportMs / 2 +
      this.estimates.fetchMs(spec, room.machine) +
      this.estimates.runMs(spec)
    );
  }

  private fits(pass: Pass, job: Job, room: Room): number {
    const backfill = this.settings.get('placement.backfill.ratio');
    return room.fits(job.spec, job.level, this.endsAt(pass, job, room), backfill, pass.now);
  }

  /** Tasks of the job by zone, wherever any may still be. */
  private zones(job: Job): Map<string, number> {
    const zones = new Map<string, number>();
    for (const a of this.assignments()) {
      if (a.jobId !== job.spec.id || a.phase === 'ended') continue;
      zones.set(a.machine.zone, (zones.get(a.machine.zone) ?? 0) + 1);
    }
    return zones;
  }

  /** How many more tasks of the job a zone may take. */
  private zoneRoom(job: Job, zone: string, zones: Map<string, number>): number {
    const { spec } = job;
    if (spec.oneZone) for (const [z, n] of zones) if (n > 0 && z !== zone) return 0;
    return spec.spread ? Math.ceil(spec.tasks / 2) - (zones.get(zone) ?? 0) : Infinity;
  }

  private nextAttempt(): number {
    this.attempts++;
    if (this.attempts >= ATTEMPTS) this.hooks.exhausted();
    return this.workers.term * ATTEMPTS + this.attempts;
  }

  private put(pass: Pass, job: Job, room: Room, count: number, attempt: number): void {
    for (let i = 0; i < count; i++) {
      const task = job.pending.pop();
      if (task === undefined) return;
      this.workers.assign(job, task, attempt, room.machine);
    }
    room.use(needOf(job.spec), count);
    pass.teams.add(job.spec.team, needOf(job.spec), count);
  }

  private array(pass: Pass, job: Job): void {
    let left = Math.min(job.pending.length, pass.teams.allowance(job.spec));
    if (left === 0) return;
    const attempt = this.nextAttempt();
    const limited = job.spec.oneZone || job.spec.spread;
    const zones = limited ? this.zones(job) : new Map<string, number>();
    for (const { room } of this.candidates(pass, job)) {
      const { zone } = room.machine;
      const n = Math.min(left, this.fits(pass, job, room), this.zoneRoom(job, zone, zones));
      if (n <= 0) continue;
      this.put(pass, job, room, n, attempt);
      zones.set(zone, (zones.get(zone) ?? 0) + n);
      left -= n;
      if (left === 0) break;
    }
    if (left === 0) job.grantedUntil = -Infinity;
    else {
      this.lacking.push({ job, tasks: left });
      if (pass.guaranteed.has(job) || job.level > 0) this.makeRoom(pass, job, left);
    }
  }

  /**
   * Room for an array's tasks one by one, where work may be stopped for them: so that work inside a
   * guarantee need not wait for what others run on borrowed room.
   */
  private makeRoom(pass: Pass, job: Job, tasks: number): void {
    const all = this.candidates(pass, job);
    const used = new Set<Assignment>();
    for (let i = 0; i < Math.min(tasks, ROOM_A_PASS); i++) {
      let best: Target | null = null;
      let bestCost = Infinity;
      for (const { room } of all) {
        const t = this.fill(pass, job, room, 0, used);
        if (t === null || (t.victims.length === 0 && !t.stopping)) continue;
        const fetch = this.estimates.fetchMs(job.spec, room.machine);
        const cost = t.fillAt + fetch + LOST_WEIGHT * t.lostMs;
        if (cost < bestCost) {
          best = t;
          bestCost = cost;
        }
      }
      if (best === null) return;
      if (!this.stopAll(best.victims, job)) return;
      for (const v of best.victims) used.add(v);
      best.room.claim(needOf(job.spec), best.fillAt);
    }
  }

  /** Stops all of the victims or, where that is too much at a time, none. */
  private stopAll(victims: Assignment[], by: Job): boolean {
    const now = this.core.now();
    const { workerLeaseMs } = this.settings;
    this.stopped = this.stopped.filter((at) => now - at < workerLeaseMs);
    let assigned = 0;
    for (const m of this.workers.machines.values()) assigned += m.assignments.size;
    const most = Math.max(4, this.settings.get('placement.preempt.share') * assigned);
    if (this.stopped.length + victims.length > most && victims.length > 0) {
      if (now - this.throttledAt > workerLeaseMs) {
        this.throttledAt = now;
        const lostS = Math.round(victims.reduce((n, a) => n + this.lostMs(a, now), 0) / 1000);
        this.core.log.warn(
          {
            job: by.spec.id,
            team: by.spec.team,
            stopped: this.stopped.length,
            most: Math.floor(most),
            wouldStop: victims.map((a) => a.jobId),
            wouldLoseTaskSeconds: lostS,
          },
          'preemption throttled: the job waits; raise placement.preempt.share to let it through',
        );
      }
      return false;
    }
    for (const v of victims) this.preempt(v, by);
    return true;
  }

  private gang(pass: Pass, job: Job): void {
    const n = job.spec.tasks;
    if (pass.teams.allowance(job.spec) < n) {
      job.blocked = "its team's limit is used up";
      this.dropHold(job);
      return;
    }
    const all = this.candidates(pass, job);
    const picked = this.pickAny(pass, job, all);
    if (picked !== null && !this.worthWaiting(pass, job, all, picked)) {
      const attempt = this.nextAttempt();
      for (const { room, count } of picked) this.put(pass, job, room, count, attempt);
      job.blocked = '';
      job.grantedUntil = -Infinity;
      this.dropHold(job);
      return;
    }
    this.lacking.push({ job, tasks: n });
    this.hold(pass, job, all);
  }

  /** Zones to try one by one for a gang that wants one; otherwise all at once. */
  private zoneChoices(job: Job, all: { room: Room }[]): (string | null)[] {
    if (!job.spec.oneZone) return [null];
    return [...new Set(all.map((c) => c.room.machine.zone))];
  }

  private pickAny(pass: Pass, job: Job, all: { room: Room }[]): Pick[] | null {
    for (const zone of this.zoneChoices(job, all)) {
      const picked = this.pick(pass, job, all, zone);
      if (picked !== null) return picked;
    }
    return null;
  }

  /**
   * Room is there, but without the image: machines that have it may be free before a fetch would
   * end. Fetches take their nominal time give or take a third.
   */
  private worthWaiting(pass: Pass, job: Job, all: { room: Room }[], picked: Pick[]): boolean {
    const fetch = Math.max(...picked.map((p) => this.estimates.fetchMs(job.spec, p.room.machine)));
    if (fetch <= this.settings.reportMs * 2) return false;
    const { targets, fillAt } = this.bestTargets(pass, job, all);
    if (targets.length < job.spec.tasks) return false;
    const ready = Math.max(
      ...targets.map((t) => fillAt + this.estimates.fetchMs(job.spec, t.room.machine)),
    );
    const within = this.settings.startWithinMs(job.spec.class);
    const left = within === null ? 0 : within - (pass.now - job.submittedAt);
    // The one would be in time and the other would not; or it is clearly sooner.
    if (fetch > left && ready - pass.now < left) return true;
    return ready - pass.now < fetch * 0.7;
  }

  private pick(pass: Pass, job: Job, all: { room: Room }[], zone: string | null): Pick[] | null {
    let left = job.spec.tasks;
    const zones = new Map<string, number>();
    const picked: Pick[] = [];
    for (const { room } of all) {
      const z = room.machine.zone;
      if (zone !== null && z !== zone) continue;
      const count = Math.min(left, this.fits(pass, job, room), this.zoneRoom(job, z, zones));
      if (count <= 0) continue;
      picked.push({ room, count });
      zones.set(z, (zones.get(z) ?? 0) + count);
      left -= count;
      if (left === 0) return picked;
    }
    return null;
  }

  // ---- holds

  private dropHold(job: Job): void {
    if (job.hold === null) return;
    job.hold = null;
    this.records.set(holdKey(job.spec.id), undefined, false);
  }

  private bestTargets(
    pass: Pass,
    job: Job,
    all: { room: Room }[],
  ): { targets: Target[]; fillAt: number } {
    let best: Target[] = [];
    let bestAt = Infinity;
    for (const zone of this.zoneChoices(job, all)) {
      const targets = this.targets(pass, job, all, zone);
      const at = Math.max(
        ...targets.map((t) => t.fillAt),
        targets.length < job.spec.tasks ? Infinity : 0,
      );
      if (best.length < targets.length || (best.length === targets.length && at < bestAt)) {
        best = targets;
        bestAt = at;
      }
    }
    return { targets: best, fillAt: bestAt };
  }

  private hold(pass: Pass, job: Job, all: { room: Room }[]): void {
    const { targets: best, fillAt } = this.bestTargets(pass, job, all);
    for (const t of best) t.room.claim(needOf(job.spec), fillAt);
    const machines = best.map((t) => t.room.machine.id);
    const since = job.hold?.since ?? pass.now;
    const changed = job.hold?.machines.join() !== machines.join();
    job.hold = { machines, since, fillAt };
    if (changed) this.records.set(holdKey(job.spec.id), { machines, fill: 1 }, false);
    const waited =
      pass.now - job.waitingSince > this.settings.get('placement.cannot.fill.s') * 1000;
    job.blocked = waited
      ? `cannot fill yet: holds ${best.length} of ${job.spec.tasks} places on ${new Set(machines).size} machines`
      : '';
    // Stopping work pays only if the whole gang can start then.
    if (best.length === job.spec.tasks)
      this.stopAll(
        best.flatMap((t) => t.victims),
        job,
      );
  }

  /** One machine for each task, with the time at which it should have room. */
  private targets(pass: Pass, job: Job, all: { room: Room }[], zone: string | null): Target[] {
    const zones = new Map<string, number>();
    const targets: Target[] = [];
    const taken = new Map<Room, number>();
    const used = new Set<Assignment>();
    for (let i = 0; i < job.spec.tasks; i++) {
      let best: Target | null = null;
      let bestCost = Infinity;
      for (const { room } of all) {
        const z = room.machine.zone;
        if (zone !== null && z !== zone) continue;
        if (this.zoneRoom(job, z, zones) <= 0) continue;
        const t = this.fill(pass, job, room, taken.get(room) ?? 0, used);
        if (t === null) continue;
        // Holds last: a machine already held is left only for one clearly better.
        const kept =
          job.hold?.machines.includes(room.machine.id) === true ? this.settings.reportMs : 0;
        const fetch = this.estimates.fetchMs(job.spec, room.machine);
        const cost = t.fillAt + fetch - kept + LOST_WEIGHT * t.lostMs;
        if (cost < bestCost) {
          best = t;
          bestCost = cost;
        }
      }
      if (best === null) break;
      targets.push(best);
      for (const v of best.victims) used.add(v);
      taken.set(best.room, (taken.get(best.room) ?? 0) + 1);
      const z = best.room.machine.zone;
      zones.set(z, (zones.get(z) ?? 0) + 1);
    }
    return targets;
  }

  /** When a machine should have room for one more of the gang's tasks, by itself or by stopping work. */
  private fill(
    pass: Pass,
    job: Job,
    room: Room,
    taken: number,
    used: Set<Assignment>,
  ): Target | null {
    const need = needOf(job.spec);
    let cpus = room.cpus - need.cpus * taken;
    let gpus = room.gpus - need.gpus * taken;
    let memoryGb = room.memoryGb - need.memoryGb * taken;
    for (const c of room.claims) {
      if (c.ahead !== null) continue;
      cpus -= c.cpus;
      gpus -= c.gpus;
      memoryGb -= c.memoryGb;
    }
    const enough = (): boolean =>
      times(cpus, need.cpus) >= 1 &&
      times(gpus, need.gpus) >= 1 &&
      times(memoryGb, need.memoryGb) >= 1;
    const free = (a: Assignment): void => {
      cpus += a.need.cpus;
      gpus += a.need.gpus;
      memoryGb += a.need.memoryGb;
    };
    if (enough()) return { room, fillAt: pass.now, victims: [], lostMs: 0, stopping: false };
    const there = [...room.machine.assignments.values()].filter((a) => a.phase !== 'ended');
    const ends = there
      .map((a) => ({ a, at: pass.now + this.estimates.remainingMs(a, pass.now) }))
      .sort((x, y) => x.at - y.at);
    const before = { cpus, gpus, memoryGb };
    let natural = Infinity;
    for (const { a, at } of ends) {
      free(a);
      if (enough()) {
        natural = at;
        break;
      }
    }
    if (natural === Infinity) return null;
    // Soon free, by itself or because it was stopped: nothing more needs stopping.
    const stopping = there.some((a) => a.stop !== null);
    if (natural - pass.now < this.settings.reportMs)
      return { room, fillAt: natural, victims: [], lostMs: 0, stopping };
    ({ cpus, gpus, memoryGb } = before);
    const victims: Assignment[] = [];
    let fillAt = pass.now + this.settings.reportMs;
    for (const a of there) {
      if (a.stop === null && !used.has(a)) continue;
      free(a);
      fillAt = Math.max(fillAt, pass.now + this.estimates.remainingMs(a, pass.now));
    }
    if (enough()) return { room, fillAt, victims: [], lostMs: 0, stopping: true };
    const choice = there.filter(
      (a) => a.stop === null && !used.has(a) && this.mayStop(pass, job, a),
    );
    choice.sort(
      (x, y) => Number(pass.teams.borrows(y)) - Number(pass.teams.borrows(x)) || y.since - x.since,
    );
    for (const a of choice) {
      if (enough()) break;
      victims.push(a);
      free(a);
      fillAt = Math.max(fillAt, pass.now + this.settings.reportMs + a.saveS * 1000);
    }
    if (!enough()) return { room, fillAt: natural, victims: [], lostMs: 0, stopping: false };
    // Victims that the rest made needless are spared.
    for (const a of [...victims]) {
      cpus -= a.need.cpus;
      gpus -= a.need.gpus;
      memoryGb -= a.need.memoryGb;
      if (enough()) victims.splice(victims.indexOf(a), 1);
      else free(a);
    }
    const lostMs = victims.reduce((sum, a) => sum + this.lostMs(a, pass.now), 0);
    // Waiting may cost less than stopping.
    return natural < fillAt + LOST_WEIGHT * lostMs
      ? { room, fillAt: natural, victims: [], lostMs: 0, stopping: false }
      : { room, fillAt, victims, lostMs, stopping: false };
  }

  /** What stopping a task costs: its run so far, or its save, and starting it again. */
  private lostMs(a: Assignment, now: number): number {
    if (a.job === null || a.state === 'fetching' || a.state === null) return 0;
    const { spec } = a.job;
    const ran = now - (a.runningAt ?? a.since);
    const again = this.settings.reportMs + this.estimates.fetchMs(spec, a.machine);
    const lost = spec.checkpointS > 0 ? Math.min(ran, spec.saveS * 2000) : ran;
    // A gang has to find its places once more.
    return lost + again + (spec.kind === 'gang' ? this.estimates.runMs(spec) : 0);
  }

  /** PROTOCOL, "Preemption": for higher priority, or for a guarantee against borrowed room. */
  private mayStop(pass: Pass, job: Job, a: Assignment): boolean {
    if (a.job === null || a.job.regrouping || a.job.closed !== null) return false;
    // All replicas of a service are needed: nothing says otherwise.
    if (a.job.spec.kind === 'service') return false;
    if (pass.now - a.since < this.settings.get('placement.victim.age.s') * 1000) return false;
    // Work inside its team's guarantee never yields to another team (m03 §7).
    if (pass.guaranteed.has(a.job) && a.team !== job.spec.team) return false;
    if (a.job.level < job.level) return true;
    return (
      pass.guaranteed.has(job) &&
      a.team !== job.spec.team &&
      !pass.guaranteed.has(a.job) &&
      pass.teams.borrows(a)
    );
  }

  private preempt(a: Assignment, by: Job): void {
    if (a.stop !== null || a.phase === 'ended') return;
    const victim = a.job;
    if (victim === null) return;
    victim.preemptions++;
    by.grantedUntil = this.core.now() + this.settings.workerLeaseMs;
    this.preemptions++;
    this.stopped.push(this.core.now());
    this.core.log.info(
      { job: a.jobId, task: a.task, machine: a.machine.id, by: by.spec.id },
      'preempted',
    );
    if (victim.spec.kind === 'gang') this.workers.stopJob(victim, a.saveS, 'preempted');
    else this.workers.stop(a, a.saveS, 'preempted');
  }

  // ---- machines that go

  /** Tasks on machines that will be taken are stopped where that saves something. */
  private drain(now: number): void {
    for (const m of this.workers.machines.values()) {
      if (m.noticeAt === null && !m.leaving) continue;
      const left = m.noticeAt === null ? Infinity : m.noticeAt - now;
      for (const a of [...m.assignments.values()]) {
        if (a.stop !== null || a.phase === 'ended' || a.job === null) continue;
        const { spec } = a.job;
        if (this.estimates.remainingMs(a, now) < left - this.settings.reportMs) continue;
        const saves = spec.checkpointS > 0 && a.state === 'running';
        const grace = saves ? spec.saveS : 0;
        if (spec.kind === 'gang') this.workers.stopJob(a.job, grace, 'machine goes');
        else this.workers.stop(a, grace, 'machine goes');
      }
    }
  }
}
