/** Search for the machines that a job fills up, and for the work to stop for it. */
import type { Settings } from '../settings/settings.js';
import type { Assignment } from '../workers/assignment.js';
import type { Estimates } from './estimates.js';
import type { Room } from './room.js';
import { LOST_WEIGHT, RoomFilling, type Fill, type FillSearch } from './room-filling.js';
import type { Teams } from './teams.js';
import { VictimRules } from './victims.js';
import { addTasks, type TasksByZone } from './zones.js';

/** A machine for one task. */
export interface Target extends Fill {
  room: Room;
}

/** What machines are searched for. */
export interface Search extends FillSearch {
  rooms: Room[];
  /** Tasks to find room for. */
  count: number;
  /** How many more tasks of the job a zone may take; absent where zones don't matter. */
  zoneRoom?: (zone: string, there: number) => number;
  /** Decides between machines that are alike otherwise; lower is better. */
  prefer: (room: Room) => number;
}

/** What a search has found so far. */
interface Progress {
  /** Tasks that are to go to each machine. */
  taken: Map<Room, number>;
  /** Tasks that are to be stopped. */
  used: Set<Assignment>;
  zones: TasksByZone;
  /** Machines that the job has reserved already. */
  reserved: Set<string>;
}

/**
 * Finds the machines that a reservation fills up, and the work to stop for it. Machines are weighed by
 * when the task could start there, images included, and by what stopping would lose.
 */
export class Targets {
  private readonly rules: VictimRules;
  private readonly filling: RoomFilling;

  constructor(
    private readonly settings: Settings,
    private readonly estimates: Estimates,
    teams: Teams,
  ) {
    this.rules = new VictimRules(settings, estimates, teams);
    this.filling = new RoomFilling(settings, estimates, this.rules);
  }

  /** One machine for each task, best first; fewer where no more can have room at all. */
  find(search: Search): Target[] {
    const { rooms } = search;
    const found: Target[] = [];
    const progress: Progress = {
      taken: new Map(),
      used: new Set(),
      zones: new Map(),
      reserved: new Set(search.job.reservation?.machines),
    };
    const costs = new Float64Array(rooms.length);
    for (let i = 0; i < costs.length; i++) costs[i] = this.cost(search, rooms[i], 0, progress);
    while (found.length < search.count) {
      const best = this.cheapest(search, costs, progress.zones);
      const room = rooms[best];
      if (room === undefined) break;
      const there = progress.taken.get(room) ?? 0;
      const fill = this.filling.fill(search, room, there, progress.used);
      if (fill === null) break;
      found.push({ ...fill, room });
      for (const victim of fill.victims) progress.used.add(victim);
      progress.taken.set(room, there + 1);
      addTasks(progress.zones, room.machine.zone, 1);
      costs[best] = this.cost(search, room, there + 1, progress);
    }
    return found;
  }

  /** What stopping a task costs. */
  lostMs(task: Assignment, now: number): number {
    return this.rules.lostMs(task, now);
  }

  /** Place of the best machine whose zone may take one more task; -1: there is none. */
  private cheapest(search: Search, costs: Float64Array, zones: TasksByZone): number {
    let best = -1;
    let bestCost = Infinity;
    for (let i = 0; i < costs.length; i++) {
      const cost = costs[i] ?? Infinity;
      if (cost >= bestCost) continue;
      const zone = search.rooms[i]?.machine.zone ?? '';
      if (search.zoneRoom !== undefined && search.zoneRoom(zone, zones.get(zone) ?? 0) <= 0)
        continue;
      best = i;
      bestCost = cost;
    }
    return best;
  }

  private get keptMs(): number {
    return this.settings.heartbeatIntervalMs * this.settings.get('placement.hold.kept.ratio');
  }

  private cost(
    search: Search,
    room: Room | undefined,
    taken: number,
    { used, reserved }: Progress,
  ): number {
    if (room === undefined) return Infinity;
    if (search.made && !this.filling.promises(search, room)) return Infinity;
    const fill = this.filling.fill(search, room, taken, used);
    if (fill === null) return Infinity;
    if (search.made && fill.victims.length === 0 && !fill.stopping) return Infinity;
    const { machine } = room;
    // Reservations last: a machine already reserved is left only for one clearly better; where work
    // is stopped for it, its save would be in vain.
    const kept = reserved.has(machine.id)
      ? this.keptMs + this.filling.outlook(room, search.now).longestSaveMs
      : 0;
    const fetch = this.estimates.fetchMs(search.job.spec, machine, search.now);
    return fill.fillAt + fetch - kept + LOST_WEIGHT * fill.lostMs + search.prefer(room);
  }
}
