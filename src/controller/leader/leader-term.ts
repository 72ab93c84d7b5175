/** One term of this node as leader, from the recovery of the stored state to the end of the term. */
import { takeChangedProgress } from '../jobs/job-progress.js';
import { JobWatch } from '../jobs/job-watch.js';
import type { HandOverReason } from '../leadership/leadership.js';
import type { PeerStatus } from '../peers/message.js';
import { EventLoopScope } from '../runtime/event-loop.js';
import type { RecordStore } from '../store/record-store.js';
import type { KeyValue } from '../wire/state.js';
import { ActiveJobs } from './active-jobs.js';
import { FailoverRecovery, type RecoveredState, type RecoveryTarget } from './failover-recovery.js';
import { isIsolated, type WorkerReachability } from './isolation.js';
import { LeaderComponents } from './leader-components.js';
import type {
  CurrentRole,
  LeaderEnvironment,
  TermEnvironment,
  TermScope,
} from './leader-context.js';
import { PassScheduler } from './pass-scheduler.js';

/** The leader hands over if the staleness of its job watch exceeds the allowed staleness times this factor. */
const MAX_STALENESS_FACTOR = 1.5;
/** The learned statistics are recorded this many times per duration of a worker lease. */
const STATISTICS_RECORDS_PER_LEASE = 4;
/** A new leader does not check for isolation during this share of the duration of a worker lease. */
const SETTLING_LEASE_SHARE = 0.5;

/** The state and work of one term. Created when the node is elected, and closed when it steps down. */
export class LeaderTerm implements RecoveryTarget {
  readonly components: LeaderComponents;
  readonly jobWatch: JobWatch;
  readonly passScheduler: PassScheduler;
  private readonly activeJobs: ActiveJobs;
  private readonly startedAt: number;
  private statisticsRecordedAt = -Infinity;
  private isRecovered = false;
  private isClosed = false;

  private readonly scope: TermScope;
  private readonly environment: TermEnvironment;

  constructor(
    readonly term: number,
    environment: LeaderEnvironment,
    private readonly role: CurrentRole,
  ) {
    const eventLoop = new EventLoopScope(environment.eventLoop);
    const client = environment.client.within(eventLoop);
    const { settings, frontend } = environment;
    this.scope = { eventLoop, client };
    this.environment = environment;
    this.startedAt = eventLoop.now();
    this.components = new LeaderComponents(term, this.scope, environment, role);
    this.activeJobs = new ActiveJobs(frontend, this.components.table);
    this.jobWatch = new JobWatch(eventLoop, settings, client, {
      onSnapshot: (records) => this.activeJobs.replaceAll(records),
      onEvents: (events) => this.activeJobs.apply(events),
    });
    this.passScheduler = new PassScheduler(
      eventLoop,
      settings,
      this.components.placement,
      (durationMs) => environment.metrics?.observePlacementPass(durationMs),
    );
  }

  /** Whether the state that previous leaders stored has been recovered. */
  get recovered(): boolean {
    return this.isRecovered;
  }

  /** Whether the term has ended. */
  get closed(): boolean {
    return this.isClosed;
  }

  /** The leader's records. */
  get records(): RecordStore {
    return this.components.records;
  }

  // ---- start and end

  /** Starts to read the state that previous leaders stored. */
  start(): void {
    new FailoverRecovery(this.scope.eventLoop, this.scope.client, this).start();
  }

  /** Adds the active jobs, which are read before the pages. */
  activeJobsRead(jobs: readonly KeyValue[]): void {
    this.activeJobs.add(jobs);
  }

  /** Restores the leader's components from the stored state; from then on the leader may act. */
  recover({ jobs, pages, revision, sentAt }: RecoveredState): void {
    const { learned, catalogue } = this.environment;
    const { records, table, workers, placement } = this.components;
    records.load(pages);
    learned.load(records, table.jobs.values());
    table.loadCompletions();
    workers.restore();
    placement.loadReservations();
    table.finishRecovery();
    this.isRecovered = true;
    this.scope.eventLoop.log.info(
      { term: this.term, jobs: jobs.length, machines: workers.machines.size },
      'state recovered, acting as leader',
    );
    this.jobWatch.start(revision, sentAt);
    this.role.requestPlacement();
    catalogue.publish(this);
  }

  /** Ends the term: its components write no more records, and whatever they wait for has no effect any more. */
  close(): void {
    this.isClosed = true;
    this.scope.eventLoop.close();
    this.components.records.close();
    this.jobWatch.close();
  }

  // ---- batches and ticks

  /** Called after each batch of events: runs a slice of placement and writes changed records. */
  onBatchEnd(): void {
    const { catalogue } = this.environment;
    const { table, workers, records } = this.components;
    if (this.isClosed || !this.role.mayActAsLeader) return;
    if (catalogue.types !== null) this.passScheduler.step();
    table.flushCompletions();
    workers.flush();
    records.flush();
  }

  /**
   * Does the periodic work of the leader.
   * @param peerStatuses - recent statuses of the other controllers
   * @param tickMs - time between two calls in ms; there are several calls per heartbeat interval
   */
  tick(peerStatuses: readonly PeerStatus[], tickMs: number): void {
    if (!this.isRecovered) return;
    const { leadership } = this.environment;
    const { workers, fleet } = this.components;
    workers.setAnswering(this.role.mayAnswerWorkers, tickMs);
    const reason = this.handOverReason(peerStatuses);
    if (reason !== null) return leadership.handOver(reason);
    if (!this.role.mayActAsLeader) return;
    workers.expireLeases();
    fleet.step();
    this.passScheduler.request();
    this.recordStatisticsIfDue();
    this.publishProgress();
  }

  private handOverReason(peerStatuses: readonly PeerStatus[]): HandOverReason | null {
    const { leadership, settings } = this.environment;
    const maxStalenessMs = settings.maxWatchStalenessMs * MAX_STALENESS_FACTOR;
    // With a stale job watch a leader might not know every confirmed cancellation, so it must not act
    // (design.md, invariant 8). No other node can become leader while this node renews its lease, so this
    // node hands over.
    if (leadership.holdsLease && this.jobWatch.stalenessMs > maxStalenessMs)
      return 'no view of the jobs';
    if (this.role.mayActAsLeader && this.isIsolated(peerStatuses))
      return 'workers do not reach this node';
    return null;
  }

  private isIsolated(peerStatuses: readonly PeerStatus[]): boolean {
    const { settings } = this.environment;
    const { eventLoop } = this.scope;
    const { workers } = this.components;
    // Isolation is not checked shortly after the election: each failover interrupts the answers to workers,
    // and several failovers in succession would leave the workers without answers for too long.
    const settlingMs = settings.workerLeaseMs * SETTLING_LEASE_SHARE;
    const isSettled = eventLoop.now() - this.startedAt > settlingMs;
    if (settings.platform.peers.length === 0 || !isSettled) return false;
    const reachability: WorkerReachability = {
      heartbeatIntervalMs: settings.heartbeatIntervalMs,
      machineCount: workers.machines.size,
      overdueShare: (minOverdueMs, onlySeenInThisTerm) =>
        workers.overdueShare(minOverdueMs, onlySeenInThisTerm),
    };
    return isIsolated(reachability, peerStatuses);
  }

  private recordStatisticsIfDue(): void {
    const { settings, learned } = this.environment;
    const { eventLoop } = this.scope;
    const intervalMs = settings.workerLeaseMs / STATISTICS_RECORDS_PER_LEASE;
    if (eventLoop.now() - this.statisticsRecordedAt <= intervalMs) return;
    this.statisticsRecordedAt = eventLoop.now();
    learned.save(this.components.records);
  }

  private publishProgress(): void {
    const changed = takeChangedProgress(this.components.table.jobs.values());
    if (changed.length > 0) this.environment.peers.publishProgress(changed);
  }
}
