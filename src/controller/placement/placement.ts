/** Placement of waiting jobs: the parts of a pass put together, and its beginning and end. */
import type { Job, Machine } from '../model/entities.js';
import type { JobTable } from '../jobs/job-table.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { RecordStore } from '../store/record-store.js';
import { recordCapacityBytes } from '../model/machine-record-size.js';
import type { Workers } from '../workers/workers.js';
import { ClusterCapacity } from './capacity/cluster-capacity.js';
import { isSchedulable } from './capacity/schedulable-machines.js';
import { MachineDrainer } from './draining/machine-drainer.js';
import type { DurationEstimator } from './estimates/duration-estimator.js';
import { StartDeadlines } from './estimates/start-deadlines.js';
import { Guarantees } from './guarantees.js';
import type { ClassHeadroom } from './headroom/class-headroom.js';
import { PlacementPass, type Shortage } from './pass/placement-pass.js';
import { type QueuedJob, queuedJob, type RankSettings } from './pass/rank.js';
import { GangPlacer } from './placers/gang-placer.js';
import { GangReservations } from './placers/gang-reservations.js';
import { IndependentTaskPlacer } from './placers/independent-task-placer.js';
import { TaskStarter } from './placers/task-starter.js';
import { PreemptionPolicy } from './preemption/preemption-policy.js';
import { Preemptor } from './preemption/preemptor.js';
import { CandidateFinder } from './search/candidate-finder.js';
import { ReservationCandidateFinder } from './search/reservation-candidate-finder.js';

/** What placement asks of the controller around it. */
export interface PlacementHooks {
  /** This term has used up its attempt numbers: a new one must begin. */
  attemptsExhausted(): void;
}

/** Whether the job has tasks that may be placed now. */
function isWaiting(job: Job, now: number): boolean {
  return (
    job.pending.length > 0 && !job.gangRestarting && job.ending === null && job.backoffUntil <= now
  );
}

function rankSettingsFrom(settings: Settings, startDeadlines: StartDeadlines): RankSettings {
  return {
    agingMs: settings.workerLeaseMs * settings.get('placement.aging.ratio'),
    preemptionBonus: settings.get('placement.preempted.bonus.ratio'),
    missedDeadlinePenalty: settings.get('placement.late.ratio'),
    startDeadlines: (job) => startDeadlines.of(job),
  };
}

/**
 * Places waiting jobs, by rank. A gang that does not fit reserves the machines that it is to start on;
 * lower ranks get only what is left, or short work that ends before the reservation is filled (m03 R2).
 */
export class Placement {
  /** What found no free capacity in the last pass. */
  shortages: Shortage[] = [];
  private current: PlacementPass | null = null;
  private readonly rankSettings: RankSettings;
  private readonly guarantees: Guarantees;
  private readonly drainer: MachineDrainer;
  private readonly preemptor: Preemptor;
  private readonly reservations: GangReservations;
  private readonly gangPlacer: GangPlacer;
  private readonly independentTaskPlacer: IndependentTaskPlacer;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly table: JobTable,
    private readonly workers: Workers,
    records: RecordStore,
    estimator: DurationEstimator,
    private readonly headroom: ClassHeadroom,
    hooks: PlacementHooks,
  ) {
    const { teams: teamUsage } = workers;
    const policy = new PreemptionPolicy(settings, estimator, teamUsage);
    const startDeadlines = new StartDeadlines(settings, estimator);
    this.rankSettings = rankSettingsFrom(settings, startDeadlines);
    this.guarantees = new Guarantees(settings.platform.teams);
    this.drainer = new MachineDrainer(settings, workers, estimator, (machine, now) =>
      isSchedulable(machine, now, workers),
    );
    this.preemptor = new Preemptor(eventLoop, settings, workers, policy);
    const parts = {
      ...{ eventLoop, settings, records, teamUsage, estimator, startDeadlines },
      preemptor: this.preemptor,
      candidateFinder: new CandidateFinder(settings, estimator),
      reservationCandidateFinder: new ReservationCandidateFinder(settings, estimator, policy),
      taskStarter: new TaskStarter(workers, () => hooks.attemptsExhausted()),
    };
    this.reservations = new GangReservations(parts);
    this.gangPlacer = new GangPlacer({ ...parts, reservations: this.reservations });
    this.independentTaskPlacer = new IndependentTaskPlacer(parts);
  }

  /** Restores the reservations of earlier leaders, after a failover. */
  loadReservations(): void {
    this.reservations.load(this.table);
  }

  /** Tasks preempted in this term. */
  get preemptionCount(): number {
    return this.preemptor.count;
  }

  /** Whether a pass has begun and not come to its end. */
  get passInProgress(): boolean {
    return this.current !== null;
  }

  /** Runs a whole pass. */
  runPass(): void {
    this.begin();
    this.advance(Infinity);
  }

  /** Begins a pass over the jobs that wait now. */
  begin(): void {
    const now = this.eventLoop.now();
    this.guarantees.mark(this.table.jobs.values());
    const cluster = new ClusterCapacity(
      this.workers.machines.values(),
      recordCapacityBytes(this.settings),
    );
    for (const capacity of cluster.all)
      capacity.unschedulable = !this.isSchedulable(capacity.machine, now);
    this.drainer.run(now);
    const queue: QueuedJob[] = [];
    let lowestLevel = Infinity;
    for (const job of this.table.jobs.values()) {
      if (job.allAssignments.size > 0 && job.level < lowestLevel) lowestLevel = job.level;
      if (isWaiting(job, now)) queue.push(queuedJob(job, this.rankSettings, now));
    }
    const waitingClasses = new Set(this.shortages.map(({ job }) => job.spec.class));
    this.headroom.claimHeadroom(cluster, waitingClasses, now);
    this.current = new PlacementPass(now, cluster, queue, lowestLevel);
  }

  /** Goes on with the pass until `deadline`, on the controller's clock; true once it is over. */
  advance(deadline: number): boolean {
    const pass = this.current;
    if (pass === null) return true;
    const now = this.eventLoop.now();
    // Heartbeats may have come since: machines that must not be used any more are left out.
    if (pass.isStarted()) pass.resume(now, (machine) => this.isSchedulable(machine, now));
    while (!pass.isFinished()) {
      const queued = pass.take();
      if (queued?.job.terminalState !== null || !isWaiting(queued.job, pass.now)) continue;
      if (queued.job.spec.kind === 'gang') this.gangPlacer.place(pass, queued.job);
      else this.independentTaskPlacer.place(pass, queued);
      if (this.eventLoop.now() >= deadline && !pass.isFinished()) return false;
    }
    this.shortages = pass.shortages;
    this.current = null;
    return true;
  }

  private isSchedulable(machine: Machine, now: number): boolean {
    return isSchedulable(machine, now, this.workers);
  }
}
