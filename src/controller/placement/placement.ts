import type { Core } from '../core/core.js';
import type { Job, JobTable } from '../jobs/table.js';
import type { Settings } from '../settings/settings.js';
import type { Records } from '../store/records.js';
import type { Assignment, Need } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';
import { recordCost, recordRoom } from '../workers/record.js';
import type { Workers } from '../workers/workers.js';
import { Drain } from './drain.js';
import type { Estimates } from './estimates.js';
import { compareTurn, turnOf, type RankSettings, type Turn } from './rank.js';
import type { Reserve } from './reserve.js';
import { needOf, Rooms, type Room } from './room.js';
import { spreadReplicas } from './spreading.js';
import { Targets, type Target } from './targets.js';
import { Guarantees } from './teams.js';

const HOLDS = 'h/';
export const holdKey = (id: string): string => `${HOLDS}${id}`;

/** Work that found no room in the last pass. */
export interface Lack {
  job: Job;
  tasks: number;
}

/** Room where tasks of a job can start now. */
interface Candidate {
  room: Room;
  /** How many of its tasks. */
  count: number;
  score: number;
}

/** The rooms that a gang fills up, and what is to be stopped for it. */
interface Sought {
  rooms: Room[];
  fillAt: number;
  /** When it could run there, images included. */
  readyAt: number;
  victims: readonly Assignment[];
}

/** A need that no room had place for, even if nothing were held. */
interface Failed extends Need {
  kinds: string;
}

/** A need that no work could be stopped for. */
interface Fruitless extends Failed {
  team: string;
  guaranteed: boolean;
  level: number;
}

/** Whether all that is needed is at least as much: where the less was too much, so is this. */
function atLeast(need: Need, less: Need): boolean {
  return need.cpus >= less.cpus && need.gpus >= less.gpus && need.memoryGb >= less.memoryGb;
}

/** Names a choice of kinds of rooms within a pass. */
function nameOf(kinds: Room[][]): string {
  return kinds.map((k) => k[0]?.order ?? -1).join();
}

/** One walk over all that waits, by rank. It may take several turns of the command queue. */
interface Pass {
  now: number;
  rooms: Rooms;
  turns: Turn[];
  next: number;
  lacking: Lack[];
  failed: Failed[];
  fruitless: Fruitless[];
  /** Of the jobs that have tasks on machines: nobody can be stopped for a level that is no higher. */
  lowest: number;
}

/** Share of its estimate by which a run is allowed to take longer when its latest start is set. */
const RUN_MARGIN = 1.3;

/** Work is stopped for a gang this long before its hold should be full, in report intervals. */
const STOP_AHEAD = 3;

/** Tasks of one array that room is made for in one pass. */
const ROOM_A_PASS = 8;

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
  private current: Pass | null = null;
  private readonly rank: RankSettings;
  private readonly targets: Targets;
  private readonly guarantees: Guarantees;
  private readonly drain: Drain;

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
    this.targets = new Targets(settings, estimates, workers.teams);
    this.guarantees = new Guarantees(settings.platform.teams);
    this.drain = new Drain(settings, workers, estimates, (m, now) => this.usable(m, now));
    this.rank = {
      agingMs: settings.workerLeaseMs * settings.get('placement.aging.ratio'),
      bonus: settings.get('placement.preempted.bonus.ratio'),
      late: settings.get('placement.late.ratio'),
      aims: (job) => this.aims(job),
    };
  }

  /** The holds of the leaders before, read at takeover. */
  load(): void {
    for (const { key, value } of this.records.list(HOLDS)) {
      const job = this.table.jobs.get(key.slice(HOLDS.length));
      if (job === undefined || !Array.isArray(value)) this.records.set(key, undefined, 'lazy');
      else {
        const unknown = { fillAt: Infinity, readyAt: Infinity, soughtAt: -Infinity };
        job.hold = { machines: value.map(String), since: this.core.now(), ...unknown };
      }
    }
  }

  /** A pass has begun and not come to its end. */
  get passing(): boolean {
    return this.current !== null;
  }

  /** A whole pass. */
  pass(): void {
    this.begin();
    this.advance(Infinity);
  }

  begin(): void {
    const now = this.core.now();
    this.guarantees.mark(this.table.jobs.values());
    const rooms = new Rooms(this.workers.machines.values(), recordRoom(this.settings));
    for (const r of rooms.all) r.closed = !this.usable(r.machine, now);
    this.drain.run(now);
    const turns: Turn[] = [];
    let lowest = Infinity;
    for (const job of this.table.jobs.values()) {
      if (job.all.size > 0 && job.level < lowest) lowest = job.level;
      if (this.waits(job, now)) turns.push(turnOf(job, this.rank, now));
    }
    turns.sort(compareTurn);
    const lackingClasses = new Set(this.lacking.map((l) => l.job.spec.class));
    this.reserve.plan(rooms, lackingClasses, now);
    this.current = {
      ...{ now, rooms, turns, next: 0, lowest },
      ...{ lacking: [], failed: [], fruitless: [] },
    };
  }

  /** Goes on with the pass until `deadline`; true once it is over. */
  advance(deadline: number): boolean {
    const pass = this.current;
    if (pass === null) return true;
    const now = this.core.now();
    if (pass.next > 0) {
      // Reports have come since: what is free is read anew, what must not be used is left out.
      pass.now = now;
      pass.failed = [];
      pass.fruitless = [];
      for (const r of pass.rooms.all) {
        r.closed = !this.usable(r.machine, now);
        r.outlook = null;
      }
    }
    while (pass.next < pass.turns.length) {
      const turn = pass.turns[pass.next];
      pass.next++;
      if (turn?.job.closed !== null || !this.waits(turn.job, pass.now)) continue;
      if (turn.job.spec.kind === 'gang') this.gang(pass, turn.job);
      else this.array(pass, turn);
      if (this.core.now() >= deadline && pass.next < pass.turns.length) return false;
    }
    this.lacking = pass.lacking;
    this.current = null;
    return true;
  }

  private waits(job: Job, now: number): boolean {
    return job.pending.length > 0 && !job.regrouping && !job.ending && job.notBefore <= now;
  }

  /** Latest starts for what is expected of the job: its class's wait, its ends, its due time. */
  private aims(job: Job): number[] {
    const { spec } = job;
    // Estimates err; a start at the last moment would as likely as not be late.
    const run = this.estimates.runMs(spec) * RUN_MARGIN + this.settings.reportMs;
    const { starts, ends } = this.settings.aims(spec.class, spec.deadlineS);
    const aims = starts.slice();
    const inside = job.guaranteed ? this.settings.guaranteeWithinMs : null;
    if (inside !== null) aims.push(inside);
    for (const e of ends) aims.push(Math.max(0, e - run));
    return aims;
  }

  private usable(m: Machine, now: number): boolean {
    return (
      m.type !== null &&
      m.synced &&
      !m.leaving &&
      m.noticeAt === null &&
      m.noPlacingBefore <= now &&
      m.listed !== 'failed' &&
      this.workers.alive(m)
    );
  }

  /** What speaks against a machine for the job, beside its image. */
  private penalty(job: Job, room: Room): number {
    const { spec } = job;
    const m = room.machine;
    const t = m.type;
    if (t === null) return Infinity;
    let score = 0;
    if (spec.gpus === 0 && t.gpus > 0) score += 30;
    // Cheap machines are for work that can be done again; a replica there is down with each that goes.
    if (spec.spot && m.spot === job.standing) score += 15;
    if (job.failedOn.has(m.id)) score += 60;
    if (spec.kind === 'gang' && room.intrudes(spec)) score += 25;
    const left =
      spec.gpus > 0 ? (room.gpus - spec.gpus) / t.gpus : (room.cpus - spec.cpus) / t.cpus;
    return score + 10 * left;
  }

  /**
   * Rooms where tasks of the job can start now, the best first: the image at hand, room that others
   * can't use, the tightest fit (m03 §6, R1).
   */
  private candidates(pass: Pass, job: Job, warmOnly = false): Candidate[] {
    const { spec } = job;
    const found: Candidate[] = [];
    const need = needOf(spec);
    const kinds = pass.rooms.of(spec);
    const name = nameOf(kinds);
    if (pass.failed.some((f) => f.kinds === name && atLeast(need, f))) return found;
    const backfill = this.settings.get('placement.backfill.ratio');
    const record = recordCost({ jobId: spec.id, team: spec.team, need, saveS: spec.saveS });
    const soonest = pass.now + this.settings.reportMs / 2 + this.estimates.runMs(spec);
    let any = false;
    for (const rooms of kinds)
      for (const room of rooms) {
        if (!room.admits(need)) continue;
        any = true;
        if (job.avoids(room.machine.id, pass.now)) continue;
        if (warmOnly && this.estimates.cold(spec, room.machine)) continue;
        const fetch = this.estimates.fetchMs(spec, room.machine, pass.now);
        const count = room.fits(spec, job.level, soonest + fetch, backfill, pass.now, record);
        if (count > 0) found.push({ room, count, score: fetch / 1000 + this.penalty(job, room) });
      }
    if (!any) pass.failed.push({ ...need, kinds: name });
    return found.sort((a, b) => a.score - b.score || a.room.order - b.room.order);
  }

  /** Tasks of the job by zone, wherever any may still be. */
  private zones(job: Job): Map<string, number> {
    const zones = new Map<string, number>();
    for (const a of job.all) {
      if (a.phase === 'ended') continue;
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

  /** `attempt`: of a gang; other tasks start one by one. */
  private put(job: Job, room: Room, count: number, attempt?: number): void {
    room.outlook = null;
    for (let i = 0; i < count; i++) {
      const task = job.pending.pop();
      if (task === undefined) return;
      const own = attempt ?? job.attemptFor(task, () => this.nextAttempt());
      this.workers.assign(job, task, own, room.machine);
    }
  }

  /**
   * An array that has time yields places where it would fetch its image to arrays that need not: it
   * has its turn there after all others in the same pass. So nothing stands idle for it; and its
   * patience ends well before its latest start.
   */
  private patient(job: Job, now: number): boolean {
    const waited = now - job.submittedAt;
    const next = Math.min(...this.aims(job).filter((aim) => aim >= waited));
    return Number.isFinite(next) && waited <= next * this.settings.get('placement.warm.share');
  }

  private array(pass: Pass, turn: Turn): void {
    const { job } = turn;
    const warmOnly = !turn.cold && this.patient(job, pass.now);
    let left = Math.min(job.pending.length, this.workers.teams.allowance(job.spec));
    if (left === 0) return;
    const limited = job.spec.oneZone || job.spec.spread;
    const zones = limited ? this.zones(job) : new Map<string, number>();
    const found = this.candidates(pass, job, warmOnly);
    for (const { room, count } of job.standing ? spreadReplicas(job, found) : found) {
      const { zone } = room.machine;
      const n = Math.min(left, count, limited ? this.zoneRoom(job, zone, zones) : Infinity);
      if (n <= 0) continue;
      this.put(job, room, n);
      zones.set(zone, (zones.get(zone) ?? 0) + n);
      left -= n;
      if (left === 0) break;
    }
    if (left === 0) job.grantedUntil = -Infinity;
    else if (warmOnly) pass.turns.push({ ...turn, cold: true });
    else {
      pass.lacking.push({ job, tasks: left });
      const every = this.settings.reportMs * this.settings.get('placement.hold.refresh.ratio');
      if ((job.guaranteed || job.level > pass.lowest) && pass.now - job.soughtAt >= every) {
        job.soughtAt = pass.now;
        this.makeRoom(pass, job, left);
      }
    }
  }

  /**
   * Room for an array's tasks one by one, where work may be stopped for them: so that work inside a
   * guarantee need not wait for what others run on borrowed room.
   */
  private makeRoom(pass: Pass, job: Job, tasks: number): void {
    const rooms = pass.rooms.of(job.spec);
    const need = needOf(job.spec);
    const { team } = job.spec;
    const { guaranteed, level } = job;
    const kinds = nameOf(rooms);
    const fruitless = pass.fruitless.some(
      (f) =>
        f.kinds === kinds &&
        f.team === team &&
        f.guaranteed === guaranteed &&
        f.level >= level &&
        atLeast(need, f),
    );
    if (fruitless) return;
    const usable = rooms.flat().filter((r) => !job.avoids(r.machine.id, pass.now));
    const found = this.targets.find({
      ...{ now: pass.now, job, rooms: usable },
      ...{ count: Math.min(tasks, ROOM_A_PASS), made: true },
      prefer: (room) => this.penalty(job, room),
    });
    if (found.length === 0 && job.avoided.size === 0)
      pass.fruitless.push({ ...need, kinds, team, guaranteed, level });
    for (const t of found) {
      if (!this.stopAll(t.victims, job)) return;
      t.room.claim(needOf(job.spec), t.fillAt);
    }
  }

  /** Stops all of the victims or, where that is too much at a time, none. */
  private stopAll(victims: readonly Assignment[], by: Job): boolean {
    if (victims.length === 0) return true;
    const now = this.core.now();
    const { workerLeaseMs } = this.settings;
    this.stopped = this.stopped.filter((at) => now - at < workerLeaseMs);
    const most = Math.max(4, this.settings.get('placement.preempt.share') * this.workers.assigned);
    if (this.stopped.length + victims.length > most) {
      if (now - this.throttledAt > workerLeaseMs) {
        this.throttledAt = now;
        const lostMs = victims.reduce((n, a) => n + this.targets.lostMs(a, now), 0);
        this.core.log.warn(
          {
            job: by.spec.id,
            team: by.spec.team,
            stopped: this.stopped.length,
            most: Math.floor(most),
            wouldStop: victims.map((a) => a.jobId),
            wouldLoseTaskSeconds: Math.round(lostMs / 1000),
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
    if (this.workers.teams.allowance(job.spec) < n) {
      this.block(job, "its team's limit is used up");
      this.dropHold(job);
      return;
    }
    const picked = this.pickAny(pass, job);
    if (picked !== null && !this.worthWaiting(pass, job, picked)) {
      const attempt = this.nextAttempt();
      for (const { room, count } of picked) this.put(job, room, count, attempt);
      this.block(job, '');
      job.grantedUntil = -Infinity;
      this.dropHold(job);
      return;
    }
    pass.lacking.push({ job, tasks: n });
    this.hold(pass, job);
  }

  /** Zones to try one by one for a gang that wants one; otherwise all at once. */
  private zoneChoices(pass: Pass, job: Job): (string | null)[] {
    return job.spec.oneZone ? pass.rooms.zones(job.spec) : [null];
  }

  private pickAny(pass: Pass, job: Job): Candidate[] | null {
    const all = this.candidates(pass, job);
    if (all.length === 0) return null;
    for (const zone of this.zoneChoices(pass, job)) {
      const picked = this.pick(job, all, zone);
      if (picked !== null) return picked;
    }
    return null;
  }

  /**
   * Room is there, but without the image: machines that have it may be free before a fetch would
   * end. Fetches take their nominal time give or take a third.
   */
  private worthWaiting(pass: Pass, job: Job, picked: Candidate[]): boolean {
    const fetch = Math.max(
      ...picked.map((p) => this.estimates.fetchMs(job.spec, p.room.machine, pass.now)),
    );
    if (fetch <= this.settings.reportMs * 2) return false;
    const { rooms, readyAt } = this.sought(pass, job);
    if (rooms.length < job.spec.tasks) return false;
    const ready = readyAt - pass.now;
    const within = this.settings.startWithinMs(job.spec.class);
    const left = within === null ? 0 : within - (pass.now - job.submittedAt);
    // The one would be in time and the other would not; or it is clearly sooner.
    if (fetch > left && ready < left) return true;
    return ready < fetch * 0.7;
  }

  private pick(job: Job, all: Candidate[], zone: string | null): Candidate[] | null {
    let left = job.spec.tasks;
    const zones = new Map<string, number>();
    const picked: Candidate[] = [];
    for (const c of all) {
      const z = c.room.machine.zone;
      if (zone !== null && z !== zone) continue;
      const count = Math.min(left, c.count, this.zoneRoom(job, z, zones));
      if (count <= 0) continue;
      picked.push({ ...c, count });
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
    this.records.set(holdKey(job.spec.id), undefined, 'lazy');
  }

  private bestTargets(pass: Pass, job: Job): { targets: Target[]; fillAt: number } {
    const { spec } = job;
    let best: Target[] = [];
    let bestAt = Infinity;
    for (const zone of this.zoneChoices(pass, job)) {
      const targets = this.targets.find({
        ...{ now: pass.now, job, rooms: pass.rooms.of(spec, zone).flat() },
        ...{ count: spec.tasks, made: false },
        ...(spec.spread
          ? { zoneRoom: (_: string, there: number) => Math.ceil(spec.tasks / 2) - there }
          : {}),
        prefer: (room) => this.penalty(job, room),
      });
      const whole = targets.length === spec.tasks;
      const at = whole ? Math.max(...targets.map((t) => t.fillAt)) : Infinity;
      if (best.length < targets.length || (best.length === targets.length && at < bestAt)) {
        best = targets;
        bestAt = at;
      }
    }
    return { targets: best, fillAt: bestAt };
  }

  /**
   * The rooms that the gang fills up: those it holds already, or after a while the best that there
   * are by now. Looking for them is what costs most in a pass.
   */
  private sought(pass: Pass, job: Job): Sought {
    const { hold } = job;
    const every = this.settings.reportMs * this.settings.get('placement.hold.refresh.ratio');
    if (hold !== null && pass.now - hold.soughtAt < every) {
      const rooms: Room[] = [];
      for (const id of hold.machines) {
        const room = pass.rooms.byId.get(id);
        if (room !== undefined && !room.closed) rooms.push(room);
      }
      if (rooms.length === hold.machines.length)
        return { ...{ rooms, fillAt: hold.fillAt, readyAt: hold.readyAt }, victims: [] };
    }
    const { targets, fillAt } = this.bestTargets(pass, job);
    const ready = targets.map(
      (t) => fillAt + this.estimates.fetchMs(job.spec, t.room.machine, pass.now),
    );
    const found = {
      ...{ rooms: targets.map((t) => t.room), fillAt, readyAt: Math.max(...ready) },
      victims: targets.flatMap((t) => t.victims),
    };
    const machines = found.rooms.map((r) => r.machine.id);
    if (hold?.machines.join() !== machines.join())
      this.records.set(holdKey(job.spec.id), machines, 'lazy');
    const since = hold?.since ?? pass.now;
    job.hold = { machines, since, fillAt, readyAt: found.readyAt, soughtAt: pass.now };
    const { guaranteed } = job;
    this.core.log.debug(
      {
        job: job.spec.id,
        guaranteed,
        machines,
        fillMs: fillAt - pass.now,
        stops: found.victims.length,
      },
      'hold',
    );
    return found;
  }

  private hold(pass: Pass, job: Job): void {
    const { rooms, fillAt, victims } = this.sought(pass, job);
    for (const room of rooms) room.claim(needOf(job.spec), fillAt);
    const waited =
      pass.now - job.waitingSince > this.settings.get('placement.cannot.fill.s') * 1000;
    const machines = new Set(rooms).size;
    const there = `${rooms.length} of ${job.spec.tasks} places on ${machines} machines`;
    this.block(job, waited ? `cannot fill yet: holds ${there}` : '');
    // Stopping work pays only if the whole gang can start then, and soon: what else its rooms wait
    // for takes its time, and until then the work may go on.
    const soon = fillAt - pass.now <= this.settings.reportMs * STOP_AHEAD;
    if (rooms.length === job.spec.tasks && soon) this.stopAll(victims, job);
  }

  private block(job: Job, why: string): void {
    if (job.blocked === why) return;
    job.blocked = why;
    job.changed = true;
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
}
