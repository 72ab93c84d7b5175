/** What only the leader has: made anew for each term and dropped whole with it. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { MachineTypeCatalogue } from '../fleet/machine-type-catalogue.js';
import { Fleet } from '../fleet/fleet.js';
import { JobWatch } from '../jobs/job-watch.js';
import { ACTIVE_PREFIX } from '../jobs/job-records.js';
import type { Frontend } from '../jobs/frontend.js';
import { takeChangedProgress, type ProgressCache } from '../jobs/job-progress.js';
import { JobTable } from '../jobs/job-table.js';
import type { Job } from '../model/entities.js';
import { LEADER_KEY } from '../leadership/leader-record.js';
import type { Leadership } from '../leadership/leadership.js';
import type { PeerStatus } from '../peers/message.js';
import type { Peers } from '../peers/peers.js';
import { reservationKey } from '../placement/placers/gang-reservations.js';
import { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { RecordStore } from '../store/record-store.js';
import type { WatchEvent, KeyValue } from '../wire/state.js';
import { Workers } from '../workers/workers.js';
import { isIsolated } from './isolation.js';
import type { LearnedStatistics } from './learned-statistics.js';
import { PassScheduler } from './pass-scheduler.js';
import { FailoverRecovery, type RecoveredState } from './failover-recovery.js';

/** Views of the jobs that are too old by this factor of their limit end the term. */
const STALE_WATCH_FACTOR = 1.5;
/** What was learned is recorded so often in a lease of the workers. */
const LEARNED_PER_LEASE = 4;

/** The parts of the node that a leader works with; they outlast its term. */
export interface LeaderContext {
  eventLoop: EventLoop;
  settings: Settings;
  client: StateStoreClient;
  leadership: Leadership;
  peers: Peers;
  frontend: Frontend;
  progress: ProgressCache;
  catalogue: MachineTypeCatalogue;
  learned: LearnedStatistics;
  /** This node may act as leader, in whatever term. */
  mayActAsLeader(): boolean;
  /** This node may answer workers, which may go on beyond its lease. */
  mayAnswerWorkers(): boolean;
  /** This node leads and has taken over, in whatever term. */
  recovered(): boolean;
  /** Something became placeable. */
  requestPlacement(): void;
  passFinished(tookMs: number): void;
}

/** One term of this node as leader. */
export class LeaderTerm {
  /** What the leaders before have left has been read. */
  recovered = false;
  /** The term is over. */
  closed = false;
  readonly records: RecordStore;
  readonly table: JobTable;
  readonly workers: Workers;
  readonly placement: Placement;
  readonly fleet: Fleet;
  readonly jobWatch: JobWatch;
  readonly passScheduler: PassScheduler;
  private readonly startedAt: number;
  private learnedSavedAt = -Infinity;

  constructor(
    readonly term: number,
    private readonly context: LeaderContext,
  ) {
    const { eventLoop, settings } = context;
    this.startedAt = eventLoop.now();
    this.records = this.createRecords();
    this.table = this.createTable();
    this.workers = this.createWorkers();
    this.placement = this.createPlacement();
    this.fleet = this.createFleet();
    this.jobWatch = this.createJobWatch();
    this.passScheduler = new PassScheduler(eventLoop, settings, this.placement, (tookMs) =>
      context.passFinished(tookMs),
    );
  }

  private createRecords(): RecordStore {
    const { eventLoop, settings, client, leadership } = this.context;
    return new RecordStore(eventLoop, settings, client, {
      fencingCondition: { key: LEADER_KEY, version: this.term },
      leaseAllowsWrites: () => leadership.holdsLease,
      onFenced: () => leadership.stepDown('another leader'),
    });
  }

  private createTable(): JobTable {
    const { eventLoop, settings, client, frontend, peers } = this.context;
    return new JobTable(eventLoop, settings, client, this.records, {
      onIncompleteGang: (job) => this.workers.stopJob(job, 0, 'gang lost a part'),
      onRecordRemoved: (job) => this.workers.stopAll(job, 'job ended'),
      onJobTerminated: (job) => this.jobClosed(job),
      onJobAdded: (job) => this.jobAdded(job),
      onTasksPending: () => this.context.requestPlacement(),
      onCompletionRecorded: (job, task) => this.workers.completionRecorded(job, task),
      onTerminalState: (id, state) => {
        frontend.markTerminal(id, state);
        peers.announceJobEnd(id, state);
      },
    });
  }

  private createWorkers(): Workers {
    const { eventLoop, settings, catalogue, leadership, learned } = this.context;
    return new Workers(eventLoop, settings, this.term, this.records, this.table, {
      findMachineType: (name) => catalogue.types?.find((type) => type.name === name),
      higherTermSeen: (term) => leadership.observeTerm(term),
      placementInputChanged: () => this.context.requestPlacement(),
      taskCompleted: (assignment, tookMs) => {
        if (assignment.job === null) return;
        learned.observeTaskEnd(assignment.job, tookMs, assignment.assignedAt);
      },
    });
  }

  private createPlacement(): Placement {
    const { eventLoop, settings, leadership, learned } = this.context;
    return new Placement(
      eventLoop,
      settings,
      this.table,
      this.workers,
      this.records,
      learned.estimates,
      learned.headroom,
      { attemptsExhausted: () => leadership.stepDown('attempts used up') },
    );
  }

  private createFleet(): Fleet {
    const { eventLoop, settings, catalogue } = this.context;
    return new Fleet(
      eventLoop,
      settings,
      () => catalogue.types,
      this.table,
      this.workers,
      this.placement,
      () => this.context.mayActAsLeader(),
    );
  }

  private createJobWatch(): JobWatch {
    const { eventLoop, settings, client } = this.context;
    return new JobWatch(eventLoop, settings, client, {
      onSnapshot: (items) => this.activeJobsReloaded(items),
      onEvents: (events) => this.activeJobsChanged(events),
    });
  }

  // ---- jobs

  private jobAdded(job: Job): void {
    // What the leader before knew it has counted itself.
    const { headroom } = this.context.learned;
    if (this.context.recovered()) headroom.recordSubmission(job, this.context.eventLoop.now());
  }

  private jobClosed(job: Job): void {
    this.workers.jobClosed(job);
    const key = reservationKey(job.spec.id);
    if (this.records.has(key)) this.records.set(key, undefined, 'lazy');
    this.context.progress.delete(job.spec.id);
  }

  private activeJobsReloaded(items: readonly KeyValue[]): void {
    const live = new Set(items.map((item) => item.key));
    this.activeJobsRead(items);
    for (const id of [...this.table.jobs.keys()])
      if (!live.has(ACTIVE_PREFIX + id)) this.table.handleRecordRemoved(id);
  }

  private activeJobsChanged(events: readonly WatchEvent[]): void {
    for (const event of events) {
      if (event.kind === 'put') this.jobLive(event.key, event.value, event.version);
      else this.table.handleRecordRemoved(event.key.slice(ACTIVE_PREFIX.length));
    }
  }

  /** Jobs that were live when the state service said so. */
  activeJobsRead(items: readonly KeyValue[]): void {
    for (const item of items) this.jobLive(item.key, item.value, item.version);
  }

  private jobLive(key: string, value: unknown, version: number): void {
    const id = key.slice(ACTIVE_PREFIX.length);
    // Its end may have been heard of before.
    if (this.context.frontend.terminalState(id) === null) this.table.add(id, value, version);
  }

  // ---- beginning and end

  /** Begins to read what the leaders before have left. */
  start(): void {
    new FailoverRecovery(this.context.eventLoop, this.context.client, this).start();
  }

  /** Takes in what the leaders before have left. */
  recover({ jobs, pages, revision, sentAt }: RecoveredState): void {
    this.records.load(pages);
    this.context.learned.load(this.records, this.table.jobs.values());
    this.table.loadCompletions();
    this.workers.restore();
    this.placement.loadReservations();
    this.table.finishRecovery();
    this.recovered = true;
    this.context.eventLoop.log.info(
      { term: this.term, jobs: jobs.length, machines: this.workers.machines.size },
      'leading',
    );
    this.jobWatch.start(revision, sentAt);
    this.context.requestPlacement();
    this.context.catalogue.publish(this);
  }

  /** The term is over: nothing is written any more. */
  close(): void {
    this.closed = true;
    this.records.close();
    this.jobWatch.close();
  }

  // ---- batches and time

  /** After each batch of commands. */
  onBatchEnd(): void {
    if (this.closed || !this.context.mayActAsLeader()) return;
    if (this.context.catalogue.types !== null) this.passScheduler.step();
    this.table.flushCompletions();
    this.workers.flush();
    this.records.flush();
  }

  /** A few times in a report interval, with what the peers have told lately. */
  tick(heard: readonly PeerStatus[], tickMs: number): void {
    if (!this.recovered) return;
    const { settings, leadership } = this.context;
    this.workers.setAnswering(this.context.mayAnswerWorkers(), tickMs);
    if (
      leadership.holdsLease &&
      this.jobWatch.stalenessMs > settings.maxWatchStalenessMs * STALE_WATCH_FACTOR
    ) {
      // Its lease keeps the others from leading, and it may not act itself.
      leadership.handOver('no view of the jobs');
      return;
    }
    if (!this.context.mayActAsLeader()) return;
    if (this.isolated(heard)) {
      leadership.handOver('workers do not reach this node');
      return;
    }
    this.workers.expireLeases();
    this.fleet.step();
    this.passScheduler.request();
    this.saveLearnedIfDue();
    this.publishProgress();
  }

  private isolated(heard: readonly PeerStatus[]): boolean {
    const { eventLoop, settings } = this.context;
    // Not again at once: a takeover costs, and one after the other would leave nobody to answer.
    const settled = eventLoop.now() - this.startedAt > settings.workerLeaseMs / 2;
    if (settings.platform.peers.length === 0 || !settled) return false;
    const reach = {
      reportMs: settings.heartbeatIntervalMs,
      machineCount: this.workers.machines.size,
      overdue: (lateMs: number, heardBefore: boolean) =>
        this.workers.overdueShare(lateMs, heardBefore),
    };
    return isIsolated(reach, heard);
  }

  private saveLearnedIfDue(): void {
    const { eventLoop, settings, learned } = this.context;
    const everyMs = settings.workerLeaseMs / LEARNED_PER_LEASE;
    if (eventLoop.now() - this.learnedSavedAt <= everyMs) return;
    this.learnedSavedAt = eventLoop.now();
    learned.save(this.records);
  }

  private publishProgress(): void {
    const changed = takeChangedProgress(this.table.jobs.values());
    if (changed.length > 0) this.context.peers.publishProgress(changed);
  }
}
