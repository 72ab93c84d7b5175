/** When a machine should have room for a task, by itself or by stopping others. */
import type { Job } from '../jobs/job-table.js';
import type { Settings } from '../settings/settings.js';
import type { Assignment, ResourceRequest } from '../workers/assignment.js';
import type { Estimates } from './estimates.js';
import { FreeRoom } from './free-room.js';
import type { ExpectedEnd, Outlook } from './outlook.js';
import type { Room } from './room.js';
import type { VictimRules } from './victims.js';

/** Room for one task: from when on, and what has to be stopped for it. */
export interface Fill {
  fillAt: number;
  victims: readonly Assignment[];
  /** Work that stopping the victims would lose. */
  lostMs: number;
  /** Room is being made already. */
  stopping: boolean;
}

/** What room is wanted for. */
export interface FillSearch {
  now: number;
  job: Job;
  /** Only room that is being made, or for which work would be stopped. */
  made: boolean;
}

/** How much sooner a gang has to start for each second of work that is lost for it. */
export const LOST_WEIGHT = 0.15;

/** Tasks that may not be stopped and are waited for in a room, while others are stopped. */
const MAX_WAITS = 4;

const NOBODY: readonly Assignment[] = [];

/** Room for which nothing more has to be stopped. */
function fillWithoutVictims(fillAt: number, stopping = false): Fill {
  return { fillAt, victims: NOBODY, lostMs: 0, stopping };
}

/** Finds out when machines should have room, and what to stop for it. */
export class RoomFilling {
  private readonly free = new FreeRoom();

  constructor(
    private readonly settings: Pick<Settings, 'heartbeatIntervalMs'>,
    private readonly estimates: Pick<Estimates, 'remainingMs'>,
    private readonly rules: VictimRules,
  ) {}

  /** Whether anything is being stopped there, or might be for the job. A cheap question, asked first. */
  promises(search: FillSearch, room: Room): boolean {
    const outlook = this.outlook(room, search.now);
    return outlook.stopping || this.rules.mightStop(search.job, outlook);
  }

  /**
   * When a machine should have room for one more of the job's tasks, by itself or by stopping work;
   * `null`: never. `taken`: tasks of the job that are to go there already, `used`: tasks that are to be
   * stopped for them.
   */
  fill(search: FillSearch, room: Room, taken: number, used: Set<Assignment>): Fill | null {
    if (room.closed) return null;
    const { now, job } = search;
    const { heartbeatIntervalMs } = this.settings;
    const { free } = this;
    free.start(room, job.spec, taken);
    if (free.enough(job.spec)) return fillWithoutVictims(now);
    const outlook = this.outlook(room, now);
    const byItself = this.fillByItself(outlook, job.spec);
    // Soon free, by itself or because it was stopped: nothing more needs stopping.
    if (byItself === null || byItself.fillAt - now < heartbeatIntervalMs) return byItself;
    const natural = byItself.fillAt;
    const mightStop = this.rules.mightStop(job, outlook);
    if (!outlook.stopping && used.size === 0 && !mightStop) return fillWithoutVictims(natural);
    free.start(room, job.spec, taken);
    const coming = this.addStopped(outlook, used, now);
    if (free.enough(job.spec)) return fillWithoutVictims(coming, true);
    if (!mightStop) return fillWithoutVictims(natural);
    return this.fillByStopping(search, outlook, used, coming, natural);
  }

  /** Room once enough tasks have ended, with nothing more stopped; `null`: there is never enough. */
  private fillByItself(outlook: Outlook, need: ResourceRequest): Fill | null {
    let stopping = false;
    for (const { assignment, at } of outlook.ends) {
      this.free.add(assignment.request);
      if (assignment.stop !== null) stopping = true;
      if (!this.free.enough(need)) continue;
      return at === Infinity ? null : fillWithoutVictims(at, stopping);
    }
    return null;
  }

  /** A room's tasks in the order in which they should end by themselves, and what may be stopped. */
  outlook(room: Room, now: number): Outlook {
    if (room.outlook !== null) return room.outlook;
    const outlook: Outlook = {
      ends: [],
      stopping: false,
      longestSaveMs: 0,
      lowest: Infinity,
      unguaranteed: false,
    };
    const youngAfter = this.rules.youngAfter(now);
    for (const assignment of room.machine.assignments.values()) {
      if (assignment.phase === 'ended') continue;
      const { job, assignedAt, checkpointSaveS, stop } = assignment;
      outlook.ends.push({ assignment, at: now + this.estimates.remainingMs(assignment, now) });
      outlook.longestSaveMs = Math.max(outlook.longestSaveMs, checkpointSaveS * 1000);
      if (stop !== null) outlook.stopping = true;
      else if (job !== null && assignedAt <= youngAfter) {
        if (job.level < outlook.lowest) outlook.lowest = job.level;
        if (!job.guaranteed) outlook.unguaranteed = true;
      }
    }
    if (outlook.ends.length > 1) outlook.ends.sort((first, second) => first.at - second.at);
    room.outlook = outlook;
    return outlook;
  }

  /** Adds what is being stopped, or will be for the job; returns when all of that has ended. */
  private addStopped(outlook: Outlook, used: Set<Assignment>, now: number): number {
    const { heartbeatIntervalMs } = this.settings;
    let coming = now + heartbeatIntervalMs;
    for (const { assignment, at } of outlook.ends) {
      const { stop, checkpointSaveS, request } = assignment;
      if (stop !== null) coming = Math.max(coming, at);
      else if (used.has(assignment))
        coming = Math.max(coming, now + heartbeatIntervalMs + checkpointSaveS * 1000);
      else continue;
      this.free.add(request);
    }
    return coming;
  }

  /**
   * Room by stopping work, unless waiting until `natural` costs less. What may not be stopped is waited
   * for, and the rest stopped: as few waits as will do.
   */
  private fillByStopping(
    search: FillSearch,
    outlook: Outlook,
    used: Set<Assignment>,
    stoppedAt: number,
    natural: number,
  ): Fill {
    const { now, job } = search;
    const { choice, others } = this.stoppable(search, outlook, used);
    if (choice.length === 0) return fillWithoutVictims(natural);
    this.rules.sort(choice);
    let coming = stoppedAt;
    for (let waits = 0; waits <= others.length && waits <= MAX_WAITS; waits++) {
      const last = others[waits - 1];
      if (last !== undefined) {
        coming = Math.max(coming, last.at);
        this.free.add(last.assignment.request);
      }
      if (coming >= natural || (search.made && waits > 0)) break;
      const made = this.stop(job.spec, choice, coming, now);
      if (made === null) continue;
      const cheaper = natural < made.fillAt + LOST_WEIGHT * made.lostMs;
      return cheaper ? fillWithoutVictims(natural) : made;
    }
    return fillWithoutVictims(natural);
  }

  /** What goes on in the room: what may be stopped for the job, and the rest. */
  private stoppable(
    { now, job }: FillSearch,
    outlook: Outlook,
    used: Set<Assignment>,
  ): { choice: ExpectedEnd[]; others: ExpectedEnd[] } {
    const choice: ExpectedEnd[] = [];
    const others: ExpectedEnd[] = [];
    for (const end of outlook.ends) {
      const { assignment } = end;
      if (assignment.stop !== null || used.has(assignment)) continue;
      (this.rules.mayStop(job, now, assignment) ? choice : others).push(end);
    }
    return { choice, others };
  }

  /** What is to be stopped, of what has not ended by itself by then, for room that lacks only that. */
  private stop(
    need: ResourceRequest,
    choice: readonly ExpectedEnd[],
    coming: number,
    now: number,
  ): Fill | null {
    const { free } = this;
    const added: ResourceRequest[] = [];
    for (const { assignment, at } of choice) {
      if (at > coming) continue;
      free.add(assignment.request);
      added.push(assignment.request);
    }
    let fillAt = coming;
    const victims: Assignment[] = [];
    for (const { assignment, at } of choice) {
      if (free.enough(need)) break;
      if (at <= coming) continue;
      victims.push(assignment);
      free.add(assignment.request);
      added.push(assignment.request);
      fillAt = Math.max(
        fillAt,
        now + this.settings.heartbeatIntervalMs + assignment.checkpointSaveS * 1000,
      );
    }
    const enough = free.enough(need);
    if (enough) this.spare(need, victims, added);
    for (const back of added) free.take(back);
    if (!enough) return null;
    const lostMs = victims.reduce((sum, victim) => sum + this.rules.lostMs(victim, now), 0);
    return { fillAt, victims, lostMs, stopping: false };
  }

  /** Victims that the rest made needless are spared. */
  private spare(need: ResourceRequest, victims: Assignment[], added: ResourceRequest[]): void {
    const { free } = this;
    for (const victim of [...victims]) {
      free.take(victim.request);
      if (free.enough(need)) {
        victims.splice(victims.indexOf(victim), 1);
        added.splice(added.indexOf(victim.request), 1);
      } else free.add(victim.request);
    }
  }
}
