/** When a machine should have room for a task, by itself or by stopping others. */
import type { Assignment, Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { ResourceRequest } from '../../model/resource-request.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import { HypotheticalCapacity } from '../capacity/hypothetical-capacity.js';
import type { ExpectedEnd, MachineForecast } from '../capacity/machine-forecast.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';
import type { PreemptionPolicy } from './preemption-policy.js';

/** Room for one task: from when on, and what has to be stopped for it. */
export interface CapacityPlan {
  fillAt: number;
  victims: readonly Assignment[];
  /** Work that stopping the victims would lose. */
  lostWorkMs: number;
  /** Room is being made already. */
  hasStopping: boolean;
}

/** What room is wanted for. */
export interface CapacitySearch {
  now: number;
  job: Job;
  /** Only room that is being made, or for which work would be stopped. */
  onlyByPreemption: boolean;
}

/** How much sooner a gang has to start for each second of work that is lost for it. */
export const LOST_WORK_WEIGHT = 0.15;

/** Tasks that may not be stopped and are waited for in a room, while others are stopped. */
const MAX_WAITS = 4;

const NOBODY: readonly Assignment[] = [];

/** Room for which nothing more has to be stopped. */
function fillWithoutVictims(fillAt: number, hasStopping = false): CapacityPlan {
  return { fillAt, victims: NOBODY, lostWorkMs: 0, hasStopping };
}

/** Finds out when machines should have room, and what to stop for it. */
export class CapacityPlanner {
  private readonly free = new HypotheticalCapacity();

  constructor(
    private readonly settings: Pick<Settings, 'heartbeatIntervalMs'>,
    private readonly estimates: Pick<DurationEstimator, 'remainingMs'>,
    private readonly rules: PreemptionPolicy,
  ) {}

  /** Whether anything is being stopped there, or might be for the job. A cheap question, asked first. */
  mayFreeCapacity(search: CapacitySearch, capacity: FreeCapacity): boolean {
    const outlook = this.forecast(capacity, search.now);
    return outlook.hasStopping || this.rules.mightPreempt(search.job, outlook);
  }

  /**
   * When a machine should have room for one more of the job's tasks, by itself or by stopping work;
   * `null`: never. `taken`: tasks of the job that are to go there already, `used`: tasks that are to be
   * stopped for them.
   */
  plan(
    search: CapacitySearch,
    capacity: FreeCapacity,
    taken: number,
    used: Set<Assignment>,
  ): CapacityPlan | null {
    if (capacity.unschedulable) return null;
    const { now, job } = search;
    const { heartbeatIntervalMs } = this.settings;
    const { free } = this;
    free.reset(capacity, job.spec, taken);
    if (free.fits(job.spec)) return fillWithoutVictims(now);
    const outlook = this.forecast(capacity, now);
    const byItself = this.fillByItself(outlook, job.spec);
    // Soon free, by itself or because it was stopped: nothing more needs stopping.
    if (byItself === null || byItself.fillAt - now < heartbeatIntervalMs) return byItself;
    const natural = byItself.fillAt;
    const mightStop = this.rules.mightPreempt(job, outlook);
    if (!outlook.hasStopping && used.size === 0 && !mightStop) return fillWithoutVictims(natural);
    free.reset(capacity, job.spec, taken);
    const coming = this.addStopped(outlook, used, now);
    if (free.fits(job.spec)) return fillWithoutVictims(coming, true);
    if (!mightStop) return fillWithoutVictims(natural);
    return this.fillByStopping(search, outlook, used, coming, natural);
  }

  /** Room once enough tasks have ended, with nothing more stopped; `null`: there is never enough. */
  private fillByItself(outlook: MachineForecast, need: ResourceRequest): CapacityPlan | null {
    let hasStopping = false;
    for (const { assignment, endsAt } of outlook.expectedEnds) {
      this.free.release(assignment.request);
      if (assignment.stop !== null) hasStopping = true;
      if (!this.free.fits(need)) continue;
      return endsAt === Infinity ? null : fillWithoutVictims(endsAt, hasStopping);
    }
    return null;
  }

  /** A room's tasks in the order in which they should end by themselves, and what may be stopped. */
  forecast(capacity: FreeCapacity, now: number): MachineForecast {
    if (capacity.forecast !== null) return capacity.forecast;
    const outlook: MachineForecast = {
      expectedEnds: [],
      hasStopping: false,
      longestSaveMs: 0,
      lowestLevel: Infinity,
      hasUnguaranteed: false,
    };
    const youngAfter = this.rules.latestEligibleStart(now);
    for (const assignment of capacity.machine.assignments.values()) {
      if (assignment.phase === 'ended') continue;
      const { job, assignedAt, checkpointSaveS, stop } = assignment;
      outlook.expectedEnds.push({
        assignment,
        endsAt: now + this.estimates.remainingMs(assignment, now),
      });
      outlook.longestSaveMs = Math.max(outlook.longestSaveMs, checkpointSaveS * 1000);
      if (stop !== null) outlook.hasStopping = true;
      else if (job !== null && assignedAt <= youngAfter) {
        if (job.level < outlook.lowestLevel) outlook.lowestLevel = job.level;
        if (!job.guaranteed) outlook.hasUnguaranteed = true;
      }
    }
    if (outlook.expectedEnds.length > 1)
      outlook.expectedEnds.sort((first, second) => first.endsAt - second.endsAt);
    capacity.forecast = outlook;
    return outlook;
  }

  /** Adds what is being stopped, or will be for the job; returns when all of that has ended. */
  private addStopped(outlook: MachineForecast, used: Set<Assignment>, now: number): number {
    const { heartbeatIntervalMs } = this.settings;
    let coming = now + heartbeatIntervalMs;
    for (const { assignment, endsAt } of outlook.expectedEnds) {
      const { stop, checkpointSaveS, request } = assignment;
      if (stop !== null) coming = Math.max(coming, endsAt);
      else if (used.has(assignment))
        coming = Math.max(coming, now + heartbeatIntervalMs + checkpointSaveS * 1000);
      else continue;
      this.free.release(request);
    }
    return coming;
  }

  /**
   * Room by stopping work, unless waiting until `natural` costs less. What may not be stopped is waited
   * for, and the rest stopped: as few waits as will do.
   */
  private fillByStopping(
    search: CapacitySearch,
    outlook: MachineForecast,
    used: Set<Assignment>,
    stoppedAt: number,
    natural: number,
  ): CapacityPlan {
    const { now, job } = search;
    const { choice, others } = this.stoppable(search, outlook, used);
    if (choice.length === 0) return fillWithoutVictims(natural);
    this.rules.sortVictims(choice);
    let coming = stoppedAt;
    for (let waits = 0; waits <= others.length && waits <= MAX_WAITS; waits++) {
      const last = others[waits - 1];
      if (last !== undefined) {
        coming = Math.max(coming, last.endsAt);
        this.free.release(last.assignment.request);
      }
      if (coming >= natural || (search.onlyByPreemption && waits > 0)) break;
      const made = this.stop(job.spec, choice, coming, now);
      if (made === null) continue;
      const cheaper = natural < made.fillAt + LOST_WORK_WEIGHT * made.lostWorkMs;
      return cheaper ? fillWithoutVictims(natural) : made;
    }
    return fillWithoutVictims(natural);
  }

  /** What goes on in the room: what may be stopped for the job, and the rest. */
  private stoppable(
    { now, job }: CapacitySearch,
    outlook: MachineForecast,
    used: Set<Assignment>,
  ): { choice: ExpectedEnd[]; others: ExpectedEnd[] } {
    const choice: ExpectedEnd[] = [];
    const others: ExpectedEnd[] = [];
    for (const end of outlook.expectedEnds) {
      const { assignment } = end;
      if (assignment.stop !== null || used.has(assignment)) continue;
      (this.rules.mayPreempt(job, now, assignment) ? choice : others).push(end);
    }
    return { choice, others };
  }

  /** What is to be stopped, of what has not ended by itself by then, for room that lacks only that. */
  private stop(
    need: ResourceRequest,
    choice: readonly ExpectedEnd[],
    coming: number,
    now: number,
  ): CapacityPlan | null {
    const { free } = this;
    const added: ResourceRequest[] = [];
    for (const { assignment, endsAt } of choice) {
      if (endsAt > coming) continue;
      free.release(assignment.request);
      added.push(assignment.request);
    }
    let fillAt = coming;
    const victims: Assignment[] = [];
    for (const { assignment, endsAt } of choice) {
      if (free.fits(need)) break;
      if (endsAt <= coming) continue;
      victims.push(assignment);
      free.release(assignment.request);
      added.push(assignment.request);
      fillAt = Math.max(
        fillAt,
        now + this.settings.heartbeatIntervalMs + assignment.checkpointSaveS * 1000,
      );
    }
    const enough = free.fits(need);
    if (enough) this.spare(need, victims, added);
    for (const back of added) free.allocate(back);
    if (!enough) return null;
    const lostWorkMs = victims.reduce((sum, victim) => sum + this.rules.lostWorkMs(victim, now), 0);
    return { fillAt, victims, lostWorkMs, hasStopping: false };
  }

  /** Victims that the rest made needless are spared. */
  private spare(need: ResourceRequest, victims: Assignment[], added: ResourceRequest[]): void {
    const { free } = this;
    for (const victim of [...victims]) {
      free.allocate(victim.request);
      if (free.fits(need)) {
        victims.splice(victims.indexOf(victim), 1);
        added.splice(added.indexOf(victim.request), 1);
      } else free.release(victim.request);
    }
  }
}
