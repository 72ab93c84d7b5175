/** Placement of waiting jobs: creates the components of a placement pass and runs the pass. */
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

/** Callbacks from placement into the controller. */
export interface PlacementHooks {
  /** Called when the attempt numbers of this term are used up, so that a new term must begin. */
  attemptsExhausted(): void;
}

/** Returns whether the job has pending tasks that may be placed now. */
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
 * Places waiting jobs in order of rank. A gang that does not fit reserves the machines on which it will
 * start. Jobs of lower rank may use only unreserved capacity, or reserved capacity for tasks that are
 * expected to end before the reservation is filled (backfill; m03 R2).
 */
export class Placement {
  /** The tasks for which the last finished pass found no free capacity. */
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
    const sharedDependencies = {
      ...{ eventLoop, settings, records, teamUsage, estimator, startDeadlines },
      preemptor: this.preemptor,
      candidateFinder: new CandidateFinder(settings, estimator),
      reservationCandidateFinder: new ReservationCandidateFinder(settings, estimator, policy),
      taskStarter: new TaskStarter(workers, () => hooks.attemptsExhausted()),
    };
    this.reservations = new GangReservations(sharedDependencies);
    this.gangPlacer = new GangPlacer({ ...sharedDependencies, reservations: this.reservations });
    this.independentTaskPlacer = new IndependentTaskPlacer(sharedDependencies);
  }

  /** Restores the reservations recorded by earlier leaders; called after a failover. */
  loadReservations(): void {
    this.reservations.load(this.table);
  }

  /** Number of tasks preempted in this term. */
  get preemptionCount(): number {
    return this.preemptor.count;
  }

  /** Whether a pass has begun and is not finished. */
  get passInProgress(): boolean {
    return this.current !== null;
  }

  /** Runs a complete pass without interruption. */
  runPass(): void {
    this.begin();
    this.advance(Infinity);
  }

  /** Begins a pass over the jobs that are waiting now; `advance` runs it. */
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

  /**
   * Continues the pass until it is finished or `deadline` is reached, a time on the controller's monotonic
   * clock in ms. At least one job is processed per call. Returns whether the pass is finished.
   */
  advance(deadline: number): boolean {
    const pass = this.current;
    if (pass === null) return true;
    const now = this.eventLoop.now();
    // Heartbeats may have arrived since the last call, so machines may have become unschedulable.
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
