import type { Job } from '../jobs/table.js';
import type { Settings } from '../settings/settings.js';
import type { Assignment } from '../workers/assignment.js';
import type { Estimates } from './estimates.js';
import { needOf, times, type End, type Room } from './room.js';
import type { Teams } from './teams.js';

/** Room for one task: where, from when on, and what has to be stopped for it. */
export interface Target {
  room: Room;
  fillAt: number;
  victims: Assignment[];
  /** Work that stopping the victims would lose. */
  lostMs: number;
  /** Room is being made already. */
  stopping: boolean;
}

export interface Search {
  now: number;
  job: Job;
  rooms: Room[];
  /** Tasks to find room for. */
  count: number;
  /** How many more tasks of the job a zone may take; absent where zones don't matter. */
  zoneRoom?: (zone: string, there: number) => number;
  /** Only room that is being made, or for which work would be stopped. */
  made: boolean;
  /** Decides between machines that are alike otherwise; lower is better. */
  prefer: (room: Room) => number;
}

/** How much sooner a gang has to start for each second of work that is lost for it. */
const LOST_WEIGHT = 0.15;

/**
 * Finds the machines that a hold fills up, and the work to stop for it. Machines are weighed by when
 * the task could start there, images included, and by what stopping would lose.
 */
export class Targets {
  constructor(
    private readonly settings: Settings,
    private readonly estimates: Estimates,
    private readonly teams: Teams,
  ) {}

  /** One machine for each task, best first; fewer where no more can have room at all. */
  find(s: Search): Target[] {
    const found: Target[] = [];
    const taken = new Map<Room, number>();
    const used = new Set<Assignment>();
    const zones = new Map<string, number>();
    const held = new Set(s.job.hold?.machines);
    const costs = new Float64Array(s.rooms.length);
    const options: (Target | null)[] = [];
    const weigh = (i: number): void => {
      const room = s.rooms[i];
      if (room === undefined) return;
      const t = this.fill(s, room, taken.get(room) ?? 0, used);
      options[i] = t;
      costs[i] = t === null ? Infinity : this.cost(s, t, held);
    };
    for (let i = 0; i < s.rooms.length; i++) weigh(i);
    while (found.length < s.count) {
      let best = -1;
      let bestCost = Infinity;
      for (let i = 0; i < costs.length; i++) {
        const cost = costs[i] ?? Infinity;
        if (cost >= bestCost) continue;
        const zone = s.rooms[i]?.machine.zone ?? '';
        if (s.zoneRoom !== undefined && s.zoneRoom(zone, zones.get(zone) ?? 0) <= 0) continue;
        best = i;
        bestCost = cost;
      }
      const target = options[best];
      if (target === undefined || target === null) break;
      found.push(target);
      for (const v of target.victims) used.add(v);
      taken.set(target.room, (taken.get(target.room) ?? 0) + 1);
      const { zone } = target.room.machine;
      zones.set(zone, (zones.get(zone) ?? 0) + 1);
      weigh(best);
    }
    return found;
  }

  private cost(s: Search, t: Target, held: Set<string>): number {
    if (s.made && t.victims.length === 0 && !t.stopping) return Infinity;
    const { machine } = t.room;
    // Holds last: a machine already held is left only for one clearly better.
    const kept = held.has(machine.id) ? this.settings.reportMs : 0;
    const fetch = this.estimates.fetchMs(s.job.spec, machine);
    return t.fillAt + fetch - kept + LOST_WEIGHT * t.lostMs + s.prefer(t.room);
  }

  /** A room's tasks in the order in which they should end by themselves. */
  private ends(room: Room, now: number): End[] {
    if (room.ends !== null) return room.ends;
    const ends: End[] = [];
    for (const a of room.machine.assignments.values())
      if (a.phase !== 'ended') ends.push({ a, at: now + this.estimates.remainingMs(a, now) });
    if (ends.length > 1) ends.sort((x, y) => x.at - y.at);
    room.ends = ends;
    return ends;
  }

  /** When a machine should have room for one more of the job's tasks, by itself or by stopping work. */
  private fill(s: Search, room: Room, taken: number, used: Set<Assignment>): Target | null {
    if (room.closed) return null;
    const { now, job } = s;
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
      times(gpus, need.gpus) >= 1 &&
      times(cpus, need.cpus) >= 1 &&
      times(memoryGb, need.memoryGb) >= 1;
    const free = (a: Assignment): void => {
      cpus += a.need.cpus;
      gpus += a.need.gpus;
      memoryGb += a.need.memoryGb;
    };
    const plain = (fillAt: number, stopping = false): Target => ({
      ...{ room, fillAt, stopping },
      ...{ victims: [], lostMs: 0 },
    });
    if (enough()) return plain(now);
    const before = { cpus, gpus, memoryGb };
    const ends = this.ends(room, now);
    let natural = Infinity;
    let stopping = false;
    for (const { a, at } of ends) {
      free(a);
      stopping ||= a.stop !== null;
      if (enough()) {
        natural = at;
        break;
      }
    }
    if (natural === Infinity) return null;
    const { reportMs } = this.settings;
    // Soon free, by itself or because it was stopped: nothing more needs stopping.
    if (natural - now < reportMs) return plain(natural, stopping);
    ({ cpus, gpus, memoryGb } = before);
    let fillAt = now + reportMs;
    for (const { a, at } of ends) {
      if (a.stop !== null) fillAt = Math.max(fillAt, at);
      else if (used.has(a)) fillAt = Math.max(fillAt, now + reportMs + a.saveS * 1000);
      else continue;
      free(a);
    }
    if (enough()) return plain(fillAt, true);
    const choice = ends.filter(({ a }) => a.stop === null && !used.has(a) && this.mayStop(s, a));
    if (choice.length === 0) return plain(natural);
    // m03 §7: borrowed room first, the newest first.
    choice.sort(
      (x, y) =>
        Number(this.teams.borrows(y.a)) - Number(this.teams.borrows(x.a)) || y.a.since - x.a.since,
    );
    const victims: Assignment[] = [];
    for (const { a } of choice) {
      if (enough()) break;
      victims.push(a);
      free(a);
      fillAt = Math.max(fillAt, now + reportMs + a.saveS * 1000);
    }
    if (!enough()) return plain(natural);
    // Victims that the rest made needless are spared.
    for (const a of [...victims]) {
      cpus -= a.need.cpus;
      gpus -= a.need.gpus;
      memoryGb -= a.need.memoryGb;
      if (enough()) victims.splice(victims.indexOf(a), 1);
      else free(a);
    }
    const lostMs = victims.reduce((sum, a) => sum + this.lostMs(a, now), 0);
    // Waiting may cost less than stopping.
    if (natural < fillAt + LOST_WEIGHT * lostMs) return plain(natural);
    return { room, fillAt, victims, lostMs, stopping: false };
  }

  /** What stopping a task costs: its run so far, or its save, and starting it again. */
  lostMs(a: Assignment, now: number): number {
    if (a.job === null || a.state === 'fetching' || a.state === null) return 0;
    const { spec } = a.job;
    const ran = now - (a.runningAt ?? a.since);
    const again = this.settings.reportMs + this.estimates.fetchMs(spec, a.machine);
    const lost = spec.checkpointS > 0 ? Math.min(ran, spec.saveS * 2000) : ran;
    // A gang has to find its places once more.
    return lost + again + (spec.kind === 'gang' ? this.estimates.runMs(spec) : 0);
  }

  /** PROTOCOL, "Preemption": for higher priority, or for a guarantee against borrowed room. */
  private mayStop({ job, now }: Search, a: Assignment): boolean {
    if (a.job === null || a.job.regrouping || a.job.closed !== null) return false;
    // All replicas of a service are needed: nothing says otherwise.
    if (a.job.spec.kind === 'service') return false;
    if (now - a.since < this.settings.get('placement.victim.age.s') * 1000) return false;
    // Work inside its team's guarantee never yields to another team (m03 §7).
    if (a.job.guaranteed && a.team !== job.spec.team) return false;
    if (a.job.level < job.level) return true;
    return job.guaranteed && a.team !== job.spec.team && !a.job.guaranteed && this.teams.borrows(a);
  }
}
