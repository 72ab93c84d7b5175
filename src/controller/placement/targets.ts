import type { Job } from '../jobs/table.js';
import type { Settings } from '../settings/settings.js';
import type { Assignment, Need } from '../workers/assignment.js';
import type { Estimates } from './estimates.js';
import { EPS, type Outlook, type Room } from './room.js';
import type { Teams } from './teams.js';

/** Room for one task: from when on, and what has to be stopped for it. */
interface Fill {
  fillAt: number;
  victims: readonly Assignment[];
  /** Work that stopping the victims would lose. */
  lostMs: number;
  /** Room is being made already. */
  stopping: boolean;
}

export interface Target extends Fill {
  room: Room;
}

/** Tasks that may not be stopped and are waited for in a room, while others are stopped. */
const WAITS = 4;

const NOBODY: readonly Assignment[] = [];

function plain(fillAt: number, stopping = false): Fill {
  return { fillAt, victims: NOBODY, lostMs: 0, stopping };
}

/** What is free in a room as one thinks tasks away. One is used for all: nothing is allocated. */
class Free {
  private cpus = 0;
  private gpus = 0;
  private memoryGb = 0;

  /** Beside the claims of higher ranks and what the job itself has taken already. */
  start(room: Room, need: Need, taken: number): void {
    this.cpus = room.cpus - need.cpus * taken;
    this.gpus = room.gpus - need.gpus * taken;
    this.memoryGb = room.memoryGb - need.memoryGb * taken;
    for (const c of room.claims) if (c.ahead === null) this.take(c);
  }

  add(need: Need): void {
    this.cpus += need.cpus;
    this.gpus += need.gpus;
    this.memoryGb += need.memoryGb;
  }

  take(need: Need): void {
    this.cpus -= need.cpus;
    this.gpus -= need.gpus;
    this.memoryGb -= need.memoryGb;
  }

  enough(need: Need): boolean {
    return (
      need.gpus <= this.gpus + EPS &&
      need.cpus <= this.cpus + EPS &&
      need.memoryGb <= this.memoryGb + EPS
    );
  }
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
  private readonly free = new Free();

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
    const held = new Set(s.job.reservation?.machines);
    const costs = new Float64Array(s.rooms.length);
    for (let i = 0; i < costs.length; i++) costs[i] = this.cost(s, s.rooms[i], 0, used, held);
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
      const room = s.rooms[best];
      const there = room === undefined ? 0 : (taken.get(room) ?? 0);
      const fill = room === undefined ? null : this.fill(s, room, there, used);
      if (room === undefined || fill === null) break;
      found.push({ ...fill, room });
      for (const v of fill.victims) used.add(v);
      taken.set(room, there + 1);
      const { zone } = room.machine;
      zones.set(zone, (zones.get(zone) ?? 0) + 1);
      costs[best] = this.cost(s, room, there + 1, used, held);
    }
    return found;
  }

  private get keptMs(): number {
    return this.settings.reportMs * this.settings.get('placement.hold.kept.ratio');
  }

  private cost(
    s: Search,
    room: Room | undefined,
    taken: number,
    used: Set<Assignment>,
    held: Set<string>,
  ): number {
    if (room === undefined || (s.made && !this.promises(s, room))) return Infinity;
    const fill = this.fill(s, room, taken, used);
    if (fill === null) return Infinity;
    if (s.made && fill.victims.length === 0 && !fill.stopping) return Infinity;
    const { machine } = room;
    // Holds last: a machine already held is left only for one clearly better.
    const kept = held.has(machine.id) ? this.keptMs : 0;
    const fetch = this.estimates.fetchMs(s.job.spec, machine, s.now);
    return fill.fillAt + fetch - kept + LOST_WEIGHT * fill.lostMs + s.prefer(room);
  }

  /** A room's tasks in the order in which they should end by themselves, and what may be stopped. */
  private look(room: Room, now: number): Outlook {
    if (room.outlook !== null) return room.outlook;
    const look: Outlook = { ends: [], stopping: false, lowest: Infinity, unguaranteed: false };
    const young = now - this.settings.get('placement.victim.age.s') * 1000;
    for (const a of room.machine.assignments.values()) {
      if (a.phase === 'ended') continue;
      look.ends.push({ a, at: now + this.estimates.remainingMs(a, now) });
      if (a.stop !== null) look.stopping = true;
      else if (a.job !== null && a.since <= young) {
        if (a.job.level < look.lowest) look.lowest = a.job.level;
        if (!a.job.guaranteed) look.unguaranteed = true;
      }
    }
    if (look.ends.length > 1) look.ends.sort((x, y) => x.at - y.at);
    room.outlook = look;
    return look;
  }

  /** Whether anything is being stopped there, or might be for the job. A cheap question, asked first. */
  private promises(s: Search, room: Room): boolean {
    const look = this.look(room, s.now);
    return look.stopping || this.mightStop(s, look);
  }

  private mightStop({ job }: Search, look: Outlook): boolean {
    return look.lowest < job.level || (job.guaranteed && look.unguaranteed);
  }

  /** When a machine should have room for one more of the job's tasks, by itself or by stopping work. */
  private fill(s: Search, room: Room, taken: number, used: Set<Assignment>): Fill | null {
    if (room.closed) return null;
    const { now, job } = s;
    const { reportMs } = this.settings;
    const need = job.spec;
    const free = this.free;
    free.start(room, need, taken);
    if (free.enough(need)) return plain(now);
    const look = this.look(room, now);
    let natural = Infinity;
    let stopping = false;
    for (const { a, at } of look.ends) {
      free.add(a.need);
      if (a.stop !== null) stopping = true;
      if (free.enough(need)) {
        natural = at;
        break;
      }
    }
    if (natural === Infinity) return null;
    // Soon free, by itself or because it was stopped: nothing more needs stopping.
    if (natural - now < reportMs) return plain(natural, stopping);
    const mightStop = this.mightStop(s, look);
    if (!look.stopping && used.size === 0 && !mightStop) return plain(natural);
    free.start(room, need, taken);
    let coming = now + reportMs;
    for (const { a, at } of look.ends) {
      if (a.stop !== null) coming = Math.max(coming, at);
      else if (used.has(a)) coming = Math.max(coming, now + reportMs + a.saveS * 1000);
      else continue;
      free.add(a.need);
    }
    if (free.enough(need)) return plain(coming, true);
    if (!mightStop) return plain(natural);
    const choice: Outlook['ends'] = [];
    const others: Outlook['ends'] = [];
    for (const end of look.ends) {
      if (end.a.stop !== null || used.has(end.a)) continue;
      (this.mayStop(s, end.a) ? choice : others).push(end);
    }
    if (choice.length === 0) return plain(natural);
    // m03 §7: borrowed room first, the newest first.
    choice.sort(
      ({ a: x }, { a: y }) =>
        Number(this.teams.borrows(y)) - Number(this.teams.borrows(x)) || y.since - x.since,
    );
    // What may not be stopped is waited for, and the rest stopped: as few waits as will do.
    for (let waits = 0; waits <= others.length && waits <= WAITS; waits++) {
      const last = others[waits - 1];
      if (last !== undefined) {
        coming = Math.max(coming, last.at);
        free.add(last.a.need);
      }
      if (coming >= natural || (s.made && waits > 0)) break;
      const made = this.stopping(need, choice, coming, now);
      if (made === null) continue;
      // Waiting may cost less than stopping.
      return natural < made.fillAt + LOST_WEIGHT * made.lostMs ? plain(natural) : made;
    }
    return plain(natural);
  }

  /** What is to be stopped, of what has not ended by itself by then, for room that lacks only that. */
  private stopping(need: Need, choice: Outlook['ends'], coming: number, now: number): Fill | null {
    const { free } = this;
    const added: Need[] = [];
    const add = (a: Assignment): void => {
      free.add(a.need);
      added.push(a.need);
    };
    for (const { a, at } of choice) if (at <= coming) add(a);
    let fillAt = coming;
    const victims: Assignment[] = [];
    for (const { a, at } of choice) {
      if (free.enough(need)) break;
      if (at <= coming) continue;
      victims.push(a);
      add(a);
      fillAt = Math.max(fillAt, now + this.settings.reportMs + a.saveS * 1000);
    }
    const enough = free.enough(need);
    // Victims that the rest made needless are spared.
    if (enough)
      for (const a of [...victims]) {
        free.take(a.need);
        if (free.enough(need)) {
          victims.splice(victims.indexOf(a), 1);
          added.splice(added.indexOf(a.need), 1);
        } else free.add(a.need);
      }
    for (const n of added) free.take(n);
    if (!enough) return null;
    const lostMs = victims.reduce((sum, a) => sum + this.lostMs(a, now), 0);
    return { fillAt, victims, lostMs, stopping: false };
  }

  /** What stopping a task costs: its run so far, or its save, and starting it again. */
  lostMs(a: Assignment, now: number): number {
    if (a.job === null || a.state === 'fetching' || a.state === null) return 0;
    const { spec } = a.job;
    const ran = now - (a.runningAt ?? a.since);
    const again = this.settings.reportMs + this.estimates.fetchMs(spec, a.machine, now);
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
