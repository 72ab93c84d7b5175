/** The leader's state of all machines and of every task that may be on one of them. */
import type { JobTable } from '../jobs/job-table.js';
import type { Assignment, Job, Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { RecordStore } from '../store/record-store.js';
import type { MachineType } from '../wire/cloud.js';
import type { Int } from '../wire/integers.js';
import type { Heartbeat } from '../wire/workers.js';
import { type AgentEpochEvents, AgentEpochs } from './agent-epochs.js';
import { type AssignmentEvents, Assignments } from './assignments.js';
import { type DirectCommandEvents, DirectCommands } from './direct-commands.js';
import { FailureTracker } from './failure-tracker.js';
import { FencingTokenSync } from './fencing-token-sync.js';
import {
  type HeartbeatEvents,
  HeartbeatHandler,
  type HeartbeatResponse,
} from './heartbeat-handler.js';
import { Liveness } from './liveness.js';
import { MachineRegistry } from './machine-registry.js';
import { MachineStore, type MachineStoreEvents } from './machine-store.js';
import { Reconciliation, type ReconciliationEvents } from './reconciliation.js';
import { TeamUsage } from './team-usage.js';

/** Queries and events from `Workers` to the other modules of the leader. */
export interface WorkersEvents {
  /** Returns the machine type with this name, or undefined if the catalogue does not contain it. */
  findMachineType(name: string): MachineType | undefined;
  /**
   * A worker has reported a fencing token of the term `term`, so it has seen the leader of that
   * term. Raised for every heartbeat and every refused call with direct commands; `term` need not
   * be higher than this leader's own.
   */
  termReported(term: number): void;
  /** Capacity, tasks or machines changed: a placement pass is needed. */
  placementInputChanged(): void;
  /** A task was completed; `runMs` is the time since this leader first saw it running. */
  taskCompleted(assignment: Assignment, runMs: number): void;
}

/** The events that the components of `Workers` raise. */
type ComponentEvents = AssignmentEvents &
  AgentEpochEvents &
  DirectCommandEvents &
  HeartbeatEvents &
  MachineStoreEvents &
  ReconciliationEvents;

/**
 * Machines, assignments, heartbeats and commands of one leader. A new instance is created for each
 * term. The owner must call `flush` after each batch of the event loop.
 */
export class Workers {
  readonly machines: ReadonlyMap<string, Machine>;
  /** Resources used by each team. Every task that is not proven gone is counted (invariant 7). */
  readonly teams: TeamUsage;
  /** Number of tasks that are not yet proven gone, by job class. */
  readonly assignedCountByClass: ReadonlyMap<string, number>;
  private readonly registry: MachineRegistry;
  private readonly machineStore: MachineStore;
  private readonly assignments: Assignments;
  private readonly agentEpochs: AgentEpochs;
  private readonly liveness: Liveness;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly commands: DirectCommands;

  constructor(
    eventLoop: EventLoop,
    settings: Settings,
    readonly term: number,
    records: RecordStore,
    jobTable: JobTable,
    private readonly listener: WorkersEvents,
  ) {
    const fencingTokens = new FencingTokenSync(eventLoop, term);
    const events = this.componentEvents();
    this.teams = new TeamUsage(settings.platform.teams);
    this.registry = new MachineRegistry(eventLoop, settings, fencingTokens, (name) =>
      listener.findMachineType(name),
    );
    this.machines = this.registry.machines;
    this.liveness = new Liveness(eventLoop, settings, this.machines);
    this.machineStore = new MachineStore(eventLoop, settings, records, this.registry, events);
    const failureTracker = new FailureTracker(eventLoop, settings);
    this.assignments = new Assignments(eventLoop, jobTable, this.teams, failureTracker, events);
    this.assignedCountByClass = this.assignments.countByClass;
    this.agentEpochs = new AgentEpochs(
      eventLoop,
      settings,
      fencingTokens,
      this.assignments,
      events,
    );
    this.commands = new DirectCommands(eventLoop, settings, fencingTokens, this.liveness, events);
    this.heartbeatHandler = new HeartbeatHandler(
      eventLoop,
      settings,
      this.registry,
      this.agentEpochs,
      fencingTokens,
      new Reconciliation(eventLoop, jobTable, this.assignments, fencingTokens, events),
      events,
    );
  }

  /** Routes the events of the components to each other and to the other modules. */
  private componentEvents(): ComponentEvents {
    const { listener } = this;
    return {
      placementInputChanged: () => listener.placementInputChanged(),
      termReported: (term) => listener.termReported(term),
      taskCompleted: (assignment, runMs) => listener.taskCompleted(assignment, runMs),
      recordDue: (machine) => this.machineStore.markChanged(machine),
      commandDue: (machine) => this.commands.request(machine),
      taskRestored: (machine, task, assignedAt) =>
        this.assignments.restore(machine, task, assignedAt),
      assignmentsRecorded: (machine) => this.commands.request(machine),
      imagesChanged: (machine) => this.machineStore.markImagesChanged(machine),
    };
  }

  /** Number of tasks that are not yet proven gone. */
  get assignedCount(): number {
    return this.assignments.count;
  }

  /** Returns the machine with this id, and creates it if it does not exist. */
  getOrCreateMachine(id: string): Machine {
    return this.registry.getOrCreate(id);
  }

  /**
   * Sets the machine's properties from the cloud's list. An empty `addr` keeps the known address.
   */
  setDescription(machine: Machine, type: string, zone: string, spot: boolean, addr: string): void {
    this.registry.setDescription(machine, { type, zone, spot, addr });
  }

  /** Restores machines and tasks from the records of earlier leaders. Called once, at failover. */
  restore(): void {
    this.machineStore.restore();
  }

  /**
   * Assigns the task to the machine. Its start command is sent only after the machine's record
   * lists the assignment (invariant 4).
   */
  assign(job: Job, task: number, attempt: Int, machine: Machine): void {
    this.assignments.assign(job, task, attempt, machine);
  }

  /** Stops one task, which has `graceS` seconds to save a checkpoint. */
  stop(assignment: Assignment, graceS: number, reason: string): void {
    this.assignments.stop(assignment, graceS, reason);
  }

  /**
   * Stops all current tasks of a job. The stops of a gang have to reach its machines within
   * `gang_peer_s` seconds of each other.
   */
  stopJob(job: Job, graceS: number, reason: string): void {
    this.assignments.stopJob(job, graceS, reason);
  }

  /** Stops all attempts of an ended job, including older attempts that are still on record. */
  stopAll(job: Job, reason: string): void {
    this.assignments.stopAll(job, reason);
  }

  /**
   * Cleans up after a job that has ended: removes its ended assignments and, if the job was
   * cancelled, stops the others.
   */
  jobTerminated(job: Job): void {
    this.assignments.jobTerminated(job);
  }

  /**
   * Removes the assignment of a task whose completion has been recorded. From now on the worker may
   * be sent the command to clear the task.
   */
  completionRecorded(job: Job, task: number): void {
    this.assignments.completionRecorded(job, task);
  }

  /**
   * Applies the state in a worker's heartbeat. A response with status 200 renews the worker's
   * lease.
   */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    return this.heartbeatHandler.handle(heartbeat);
  }

  /**
   * Ends each agent epoch whose worker lease has certainly expired. This proves that its tasks are
   * gone (invariant 5), so their assignments end too.
   */
  expireLeases(): void {
    this.agentEpochs.expireLeases(this.machines.values());
  }

  /** Removes a machine after the cloud has confirmed that it is gone. */
  removeMachine(machine: Machine): void {
    this.assignments.endAll(machine);
    this.registry.remove(machine);
    this.commands.cancel(machine);
    this.machineStore.remove(machine);
    this.listener.placementInputChanged();
  }

  /**
   * Records whether this node may answer workers. Must be called every `intervalMs`; see
   * `Liveness.setAnswering`.
   */
  setAnswering(mayAnswer: boolean, intervalMs: number): void {
    this.liveness.setAnswering(mayAnswer, intervalMs);
  }

  /** Time in ms for which this node could have answered the machine's heartbeats but received none. */
  unresponsiveMs(machine: Machine): number {
    return this.liveness.unresponsiveMs(machine);
  }

  /**
   * Time in ms for which the machine has not acknowledged its fencing token although this node
   * could have answered its heartbeats; 0 if it has acknowledged the token.
   */
  unacknowledgedMs(machine: Machine): number {
    return this.liveness.unacknowledgedMs(machine);
  }

  /**
   * Returns the share, from 0 to 1, of the machines whose heartbeats are overdue by more than
   * `minOverdueMs`; see `Liveness.overdueShare`.
   */
  overdueShare(minOverdueMs: number, onlySeenInThisTerm: boolean): number {
    return this.liveness.overdueShare(minOverdueMs, onlySeenInThisTerm);
  }

  /** Returns true if the machine sent a heartbeat recently and its agent epoch has not ended. */
  isAlive(machine: Machine): boolean {
    return this.liveness.isAlive(machine);
  }

  /** Writes the records of changed machines and sends direct commands. Called after each batch. */
  flush(): void {
    this.machineStore.flush();
    this.commands.flush();
  }
}
