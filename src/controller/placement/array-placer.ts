/** Placement of tasks that start one by one: those of arrays, and replicas of services. */
import type { Job } from '../jobs/job-table.js';
import type { Settings } from '../settings/settings.js';
import type { CandidateFinder } from './candidates.js';
import { nameOfKinds } from './failed-searches.js';
import type { LatestStarts } from './latest-starts.js';
import { machinePenalty } from './machine-penalty.js';
import type { PlacementPass } from './placement-pass.js';
import type { Preemption } from './preemption.js';
import type { QueuedJob } from './rank.js';
import { spreadReplicas } from './replica-spread.js';
import { needOf } from './need.js';
import type { Targets } from './targets.js';
import type { TaskStarter } from './task-starter.js';
import type { Teams } from './teams.js';
import { addTasks, tasksByZone, zoneAllowance, type TasksByZone } from './zones.js';

/** Tasks of one array that room is made for in one pass. */
const ROOM_PER_PASS = 8;

/** What the placement of arrays relies on. */
export interface ArrayPlacerParts {
  settings: Pick<Settings, 'get' | 'heartbeatIntervalMs'>;
  teams: Pick<Teams, 'allowance'>;
  latestStarts: Pick<LatestStarts, 'next'>;
  candidates: Pick<CandidateFinder, 'find'>;
  starter: Pick<TaskStarter, 'start'>;
  targets: Pick<Targets, 'find'>;
  preemption: Pick<Preemption, 'stopAll'>;
}

/** Places tasks that start one by one, and makes room for them where work may be stopped. */
export class ArrayPlacer {
  constructor(private readonly parts: ArrayPlacerParts) {}

  /** Places as many of the job's tasks as fit and its team may have. */
  place(pass: PlacementPass, queued: QueuedJob): void {
    const { job } = queued;
    const warmOnly = !queued.acceptsFetch && this.isPatient(job, pass.now);
    const wanted = Math.min(job.pending.length, this.parts.teams.allowance(job.spec));
    if (wanted === 0) return;
    const left = this.start(pass, job, wanted, warmOnly);
    if (left === 0) job.preemptionClaimUntil = -Infinity;
    else if (warmOnly) pass.requeue({ ...queued, acceptsFetch: true });
    else {
      pass.shortages.push({ job, tasks: left });
      if (this.mayMakeRoom(pass, job)) {
        job.preemptionSearchedAt = pass.now;
        this.makeRoom(pass, job, left);
      }
    }
  }

  /**
   * An array that has time yields places where it would fetch its image to arrays that need not: it
   * has its turn there after all others in the same pass. So nothing stands idle for it; and its
   * patience ends well before its latest start.
   */
  private isPatient(job: Job, now: number): boolean {
    const waited = now - job.submittedAt;
    const next = this.parts.latestStarts.next(job, waited);
    return (
      Number.isFinite(next) && waited <= next * this.parts.settings.get('placement.warm.share')
    );
  }

  /** Starts tasks where they fit; returns how many of those wanted have found no place. */
  private start(pass: PlacementPass, job: Job, wanted: number, warmOnly: boolean): number {
    const { spec } = job;
    const limited = spec.singleZone || spec.spread;
    const zones: TasksByZone = limited ? tasksByZone(job) : new Map<string, number>();
    const found = this.parts.candidates.find(pass, job, warmOnly);
    let left = wanted;
    for (const { room, count } of job.isService ? spreadReplicas(job, found) : found) {
      const { zone } = room.machine;
      const allowance = limited ? zoneAllowance(spec, zone, zones) : Infinity;
      const tasks = Math.min(left, count, allowance);
      if (tasks <= 0) continue;
      this.parts.starter.start(job, room, tasks);
      addTasks(zones, zone, tasks);
      left -= tasks;
      if (left === 0) break;
    }
    return left;
  }

  /** Whether work may be stopped for the job, and the last search for it is long enough ago. */
  private mayMakeRoom(pass: PlacementPass, job: Job): boolean {
    const { settings } = this.parts;
    const every = settings.heartbeatIntervalMs * settings.get('placement.hold.refresh.ratio');
    const outranks = job.guaranteed || job.level > pass.lowestLevel;
    return outranks && pass.now - job.preemptionSearchedAt >= every;
  }

  /**
   * Room for an array's tasks one by one, where work may be stopped for them: so that work inside a
   * guarantee need not wait for what others run on borrowed room.
   */
  private makeRoom(pass: PlacementPass, job: Job, tasks: number): void {
    const kinds = pass.rooms.of(job.spec);
    const need = needOf(job.spec);
    const { team } = job.spec;
    const { guaranteed, level } = job;
    const search = { need, kinds: nameOfKinds(kinds), team, guaranteed, level };
    if (pass.failedSearches.noVictims(search)) return;
    const usable = kinds.flat().filter((room) => !job.avoids(room.machine.id, pass.now));
    const found = this.parts.targets.find({
      now: pass.now,
      job,
      rooms: usable,
      count: Math.min(tasks, ROOM_PER_PASS),
      made: true,
      prefer: (room) => machinePenalty(job, room),
    });
    if (found.length === 0 && job.avoidedMachines.size === 0)
      pass.failedSearches.addNoVictims(search);
    for (const target of found) {
      if (!this.parts.preemption.stopAll(target.victims, job)) return;
      target.room.claim(need, target.fillAt);
    }
  }
}
