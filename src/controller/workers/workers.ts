/** The leader's state of the machines, and of every task that may be on one of them. */
import type { JobTable } from '../jobs/job-table.js';
import type { Assignment, Job, Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { RecordStore } from '../store/record-store.js';
import type { MachineType } from '../wire/cloud.js';
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

/** What the workers module needs of the other modules of a leader. */
export interface WorkersEvents {
  /** The machine type of this name, if the catalogue has it. */
  findMachineType(name: string): MachineType | undefined;
  /** A worker has seen a leader of this term. */
  higherTermSeen(term: number): void;
  /** Capacity, tasks or machines changed: a placement pass is needed. */
  placementInputChanged(): void;
  /** A task was completed, this long after it began to run. */
  taskCompleted(assignment: Assignment, runMs: number): void;
}

/** The events of all components of `Workers`. */
type ComponentEvents = AssignmentEvents &
  AgentEpochEvents &
  DirectCommandEvents &
  HeartbeatEvents &
  MachineStoreEvents &
  ReconciliationEvents;

/**
 * Machines, assignments, heartbeats and commands of one leader. Created anew for each term; `flush` has
 * to be called after each batch of the event loop.
 */
export class Workers {
  readonly machines: ReadonlyMap<string, Machine>;
  /** What the tasks of each team use, counting every task that is not proven gone (invariant 7). */
  readonly teams: TeamUsage;
  /** Number of tasks that are not proven gone, by class. */
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
    table: JobTable,
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
    const failures = new FailureTracker(eventLoop, settings);
    this.assignments = new Assignments(eventLoop, table, this.teams, failures, events);
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
      new Reconciliation(eventLoop, table, this.assignments, fencingTokens, events),
      events,
    );
  }

  /** Connects the events of the components with each other and with the other modules. */
  private componentEvents(): ComponentEvents {
    const { listener } = this;
    return {
      placementInputChanged: () => listener.placementInputChanged(),
      higherTermSeen: (term) => listener.higherTermSeen(term),
      taskCompleted: (assignment, runMs) => listener.taskCompleted(assignment, runMs),
      recordDue: (machine) => this.machineStore.markChanged(machine),
      commandDue: (machine) => this.commands.request(machine),
      taskRestored: (machine, task, assignedAt) =>
        this.assignments.restore(machine, task, assignedAt),
      assignmentsRecorded: (machine) => this.commands.request(machine),
      imagesChanged: (machine) => this.machineStore.markImagesChanged(machine),
    };
  }

  /** Number of tasks that are not proven gone. */
  get assignedCount(): number {
    return this.assignments.count;
  }

  /** The machine of this name; it is created if it is not known. */
  getOrCreateMachine(id: string): Machine {
    return this.registry.getOrCreate(id);
  }

  /** Sets what the cloud's list says of the machine; an empty address leaves the known one. */
  setDescription(machine: Machine, type: string, zone: string, spot: boolean, addr: string): void {
    this.registry.setDescription(machine, { type, zone, spot, addr });
  }

  /** Restores the machines and tasks that earlier leaders have recorded; called once, at failover. */
  restore(): void {
    this.machineStore.restore();
  }

  /** Assigns the task to the machine; it is started once the assignment is recorded (invariant 4). */
  assign(job: Job, task: number, attempt: number, machine: Machine): void {
    this.assignments.assign(job, task, attempt, machine);
  }

  /** Stops one task, with so many seconds to save a checkpoint. */
  stop(assignment: Assignment, graceS: number, reason: string): void {
    this.assignments.stop(assignment, graceS, reason);
  }

  /** Stops all tasks of a job; the stops of a gang have to arrive within `gang_peer_s` of each other. */
  stopJob(job: Job, graceS: number, reason: string): void {
    this.assignments.stopJob(job, graceS, reason);
  }

  /** Stops all attempts of a job that has ended, including those that are known only from records. */
  stopAll(job: Job, reason: string): void {
    this.assignments.stopAll(job, reason);
  }

  /** The job has ended: removes what is left of it from the machines. */
  jobTerminated(job: Job): void {
    this.assignments.jobTerminated(job);
  }

  /** The completion of the task is recorded: the worker may clear it, and its assignment is forgotten. */
  completionRecorded(job: Job, task: number): void {
    this.assignments.completionRecorded(job, task);
  }

  /** Takes over the state that a worker's heartbeat shows; a response of 200 renews its lease. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    return this.heartbeatHandler.handle(heartbeat);
  }

  /** Ends the agent epochs, with all their tasks, whose worker lease has certainly expired (invariant 5). */
  expireLeases(): void {
    this.agentEpochs.expireLeases(this.machines.values());
  }

  /** Removes a machine of which the cloud has confirmed that it is gone. */
  removeMachine(machine: Machine): void {
    this.assignments.endAll(machine);
    this.registry.remove(machine);
    this.commands.cancel(machine);
    this.machineStore.remove(machine);
    this.listener.placementInputChanged();
  }

  /** Notes, every `intervalMs`, whether this node may answer workers; see `Liveness.setAnswering`. */
  setAnswering(mayAnswer: boolean, intervalMs: number): void {
    this.liveness.setAnswering(mayAnswer, intervalMs);
  }

  /** Time in ms without a heartbeat of the machine, while heartbeats would have been answered. */
  unresponsiveMs(machine: Machine): number {
    return this.liveness.unresponsiveMs(machine);
  }

  /** Time in ms in which the machine was answered without acknowledging its fencing token. */
  unacknowledgedMs(machine: Machine): number {
    return this.liveness.unacknowledgedMs(machine);
  }

  /** Share of the machines whose heartbeats are overdue by `lateMs`; see `Liveness.overdueShare`. */
  overdueShare(overdueByMs: number, excludeUnseen: boolean): number {
    return this.liveness.overdueShare(overdueByMs, excludeUnseen);
  }

  /** Whether the machine sent a heartbeat lately and its agent epoch is not over. */
  isAlive(machine: Machine): boolean {
    return this.liveness.isAlive(machine);
  }

  /** Writes the records of changed machines and sends direct commands; called after each batch. */
  flush(): void {
    this.machineStore.flush();
    this.commands.flush();
  }
}
