/** Placement of what waits: the parts of a pass put together, and its beginning and end. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Job, JobTable } from '../jobs/job-table.js';
import type { Settings } from '../settings/settings.js';
import type { RecordStore } from '../store/record-store.js';
import type { Machine } from '../workers/machine.js';
import { recordCapacityBytes } from '../workers/machine-record.js';
import type { Workers } from '../workers/workers.js';
import { ArrayPlacer } from './array-placer.js';
import { CandidateFinder } from './candidates.js';
import { Drain } from './drain.js';
import type { Estimates } from './estimates.js';
import { GangPlacer } from './gang-placer.js';
import { GangReservations } from './gang-reservations.js';
import { LatestStarts } from './latest-starts.js';
import { PlacementPass, type Shortage } from './placement-pass.js';
import { Preemption } from './preemption.js';
import { queuedJob, type QueuedJob, type RankSettings } from './rank.js';
import type { Reserve } from './reserve.js';
import { Rooms } from './rooms.js';
import { Targets } from './targets.js';
import { TaskStarter } from './task-starter.js';
import { Guarantees } from './teams.js';
import { isUsable } from './usable-machines.js';

/** What placement asks of the controller around it. */
export interface PlacementHooks {
  /** This term has used up its attempts: a new one must begin. */
  exhausted(): void;
}

/** The job has tasks that may be placed now. */
function waits(job: Job, now: number): boolean {
  return (
    job.pending.length > 0 && !job.gangRestarting && !job.endPending && job.backoffUntil <= now
  );
}

/**
 * Places what waits, by rank. A gang that does not fit reserves the room that it has found and the
 * machines it fills up; lower ranks get only what is left, or short work that ends before the
 * reservation fills (m03 R2).
 */
export class Placement {
  /** Work that found no room in the last pass. */
  lacking: Shortage[] = [];
  private current: PlacementPass | null = null;
  private readonly rank: RankSettings;
  private readonly guarantees: Guarantees;
  private readonly drain: Drain;
  private readonly preemption: Preemption;
  private readonly reservations: GangReservations;
  private readonly gangs: GangPlacer;
  private readonly arrays: ArrayPlacer;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly table: JobTable,
    private readonly workers: Workers,
    records: RecordStore,
    readonly estimates: Estimates,
    private readonly reserve: Reserve,
    hooks: PlacementHooks,
  ) {
    const { teams } = workers;
    const targets = new Targets(settings, estimates, teams);
    const latestStarts = new LatestStarts(settings, estimates);
    const candidates = new CandidateFinder(settings, estimates);
    const starter = new TaskStarter(workers, () => hooks.exhausted());
    const preemption = new Preemption(eventLoop, settings, workers, targets);
    const shared = { eventLoop, settings, teams, records, estimates, targets };
    const reservations = new GangReservations({ ...shared, preemption });
    this.guarantees = new Guarantees(settings.platform.teams);
    this.drain = new Drain(settings, workers, estimates, (machine, now) =>
      isUsable(machine, now, workers),
    );
    this.rank = {
      agingMs: settings.workerLeaseMs * settings.get('placement.aging.ratio'),
      bonus: settings.get('placement.preempted.bonus.ratio'),
      late: settings.get('placement.late.ratio'),
      aims: (job) => latestStarts.of(job),
    };
    this.preemption = preemption;
    this.reservations = reservations;
    this.gangs = new GangPlacer({ ...shared, candidates, starter, reservations });
    this.arrays = new ArrayPlacer({ ...shared, latestStarts, candidates, starter, preemption });
  }

  /** The reservations of the leaders before, read at takeover. */
  load(): void {
    this.reservations.load(this.table);
  }

  /** Tasks stopped to make room, in this term. */
  get preemptions(): number {
    return this.preemption.count;
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

  /** Begins a pass over all that waits now. */
  begin(): void {
    const now = this.eventLoop.now();
    this.guarantees.mark(this.table.jobs.values());
    const rooms = new Rooms(this.workers.machines.values(), recordCapacityBytes(this.settings));
    for (const room of rooms.all) room.closed = !this.usable(room.machine, now);
    this.drain.run(now);
    const queue: QueuedJob[] = [];
    let lowestLevel = Infinity;
    for (const job of this.table.jobs.values()) {
      if (job.allAssignments.size > 0 && job.level < lowestLevel) lowestLevel = job.level;
      if (waits(job, now)) queue.push(queuedJob(job, this.rank, now));
    }
    const waitingClasses = new Set(this.lacking.map(({ job }) => job.spec.class));
    this.reserve.plan(rooms, waitingClasses, now);
    this.current = new PlacementPass(now, rooms, queue, lowestLevel);
  }

  /** Goes on with the pass until `deadline`; true once it is over. */
  advance(deadline: number): boolean {
    const pass = this.current;
    if (pass === null) return true;
    const now = this.eventLoop.now();
    // Reports have come since: what is free is read anew, what must not be used is left out.
    if (pass.isStarted()) pass.resume(now, (machine) => this.usable(machine, now));
    while (!pass.isFinished()) {
      const queued = pass.take();
      if (queued?.job.terminalState !== null || !waits(queued.job, pass.now)) continue;
      if (queued.job.spec.kind === 'gang') this.gangs.place(pass, queued.job);
      else this.arrays.place(pass, queued);
      if (this.eventLoop.now() >= deadline && !pass.isFinished()) return false;
    }
    this.lacking = pass.shortages;
    this.current = null;
    return true;
  }

  private usable(machine: Machine, now: number): boolean {
    return isUsable(machine, now, this.workers);
  }
}
