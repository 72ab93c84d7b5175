/** The components that only a leader has. They are created for each term and discarded at its end. */
import { Fleet } from '../fleet/fleet.js';
import { JobTable } from '../jobs/job-table.js';
import { LEADER_KEY } from '../leadership/leader-record.js';
import type { Job } from '../model/entities.js';
import { reservationKey } from '../placement/placers/gang-reservations.js';
import { Placement } from '../placement/placement.js';
import { RecordStore } from '../store/record-store.js';
import { Workers } from '../workers/workers.js';
import type { CurrentRole, TermEnvironment, TermScope } from './leader-context.js';

/** Creates and connects the components of one term. */
export class LeaderComponents {
  /** The leader's records. Every write is conditional on the version of this term's leader key. */
  readonly records: RecordStore;
  readonly table: JobTable;
  readonly workers: Workers;
  readonly placement: Placement;
  readonly fleet: Fleet;

  constructor(
    private readonly term: number,
    private readonly scope: TermScope,
    private readonly environment: TermEnvironment,
    private readonly role: CurrentRole,
  ) {
    this.records = this.createRecords();
    this.table = this.createTable();
    this.workers = this.createWorkers();
    this.placement = this.createPlacement();
    this.fleet = this.createFleet();
  }

  private createRecords(): RecordStore {
    const { eventLoop, client } = this.scope;
    const { settings, leadership } = this.environment;
    return new RecordStore(eventLoop, settings, client, {
      fencingCondition: { key: LEADER_KEY, version: this.term },
      leaseAllowsWrites: () => leadership.holdsLease,
      onFenced: () => leadership.stepDown('another leader'),
    });
  }

  private createTable(): JobTable {
    const { eventLoop, client } = this.scope;
    const { settings, frontend, peers } = this.environment;
    return new JobTable(eventLoop, settings, client, this.records, {
      onIncompleteGang: (job) => this.workers.stopJob(job, 0, 'gang lost a member'),
      onRecordRemoved: (job) => this.workers.stopAll(job, 'job ended'),
      onJobTerminated: (job) => this.jobTerminated(job),
      onJobAdded: (job) => this.jobAdded(job),
      onTasksPending: () => this.role.requestPlacement(),
      onCompletionRecorded: (job, task) => this.workers.completionRecorded(job, task),
      onTerminalState: (id, state) => {
        frontend.markTerminal(id, state);
        peers.announceJobEnd(id, state);
      },
    });
  }

  private createWorkers(): Workers {
    const { settings, catalogue, leadership, learned } = this.environment;
    return new Workers(this.scope.eventLoop, settings, this.term, this.records, this.table, {
      findMachineType: (name) => catalogue.types?.find((type) => type.name === name),
      termReported: (term) => leadership.observeTerm(term),
      placementInputChanged: () => this.role.requestPlacement(),
      taskCompleted: (assignment, runTimeMs) => {
        if (assignment.job === null) return;
        learned.observeTaskEnd(assignment.job, runTimeMs, assignment.assignedAt);
      },
    });
  }

  private createPlacement(): Placement {
    const { settings, leadership, learned } = this.environment;
    return new Placement(
      this.scope.eventLoop,
      settings,
      this.table,
      this.workers,
      this.records,
      learned.estimates,
      learned.headroom,
      { attemptsExhausted: () => leadership.stepDown('attempt numbers used up') },
    );
  }

  private createFleet(): Fleet {
    const { settings, catalogue } = this.environment;
    const { table, workers, placement, role } = this;
    return new Fleet(this.scope.eventLoop, settings, {
      ...{ table, workers, placement },
      types: () => catalogue.types,
      mayActAsLeader: () => role.mayActAsLeader,
    });
  }

  private jobAdded(job: Job): void {
    const { learned } = this.environment;
    // Jobs read during recovery are excluded because previous leaders have counted them.
    if (this.role.hasRecovered) learned.headroom.recordSubmission(job, this.scope.eventLoop.now());
  }

  private jobTerminated(job: Job): void {
    this.workers.jobTerminated(job);
    const key = reservationKey(job.spec.id);
    if (this.records.has(key)) this.records.set(key, undefined, 'deferrable');
    this.environment.progress.delete(job.spec.id);
  }
}
