/** The leader's view of the machines and of every task that may be on one. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Job, JobTable } from '../jobs/job-table.js';
import { TeamUsage } from './team-usage.js';
import type { Settings } from '../settings/settings.js';
import type { RecordStore } from '../store/record-store.js';
import type { MachineType } from '../wire/cloud.js';
import type { Heartbeat } from '../wire/workers.js';
import type { Assignment } from './assignment.js';
import { Assignments } from './assignments.js';
import { DirectCommands } from './direct-commands.js';
import { FailureTracker } from './failure-tracker.js';
import { Liveness } from './liveness.js';
import type { Machine } from './machine.js';
import { MachineStore } from './machine-store.js';
import { Reconciliation } from './reconciliation.js';
import { MachineRegistry } from './machine-registry.js';
import { HeartbeatHandler, type HeartbeatResponse } from './heartbeat-handler.js';
import { AgentEpochs } from './agent-epochs.js';
import { FencingTokenSync } from './fencing-token-sync.js';

/** What the workers' slice needs of the others. */
export interface WorkersEvents {
  /** The machine type of this name, if the catalogue has it. */
  findMachineType(name: string): MachineType | undefined;
  /** A worker has seen a leader of this term. */
  higherTermSeen(term: number): void;
  /** Room, tasks or machines changed: placement should look again. */
  placementInputChanged(): void;
  /** A task ran to its end: what it took against what was expected. */
  taskCompleted(assignment: Assignment, tookMs: number): void;
}

/** Machines, assignments, reports and commands of one leader; made anew for each term. */
export class Workers {
  readonly machines: ReadonlyMap<string, Machine>;
  /** What each team's tasks take, over every task that is not surely gone. */
  readonly teams: TeamUsage;
  /** Tasks that are not surely gone, by class. */
  readonly assignedCountByClass: ReadonlyMap<string, number>;
  private readonly registry: MachineRegistry;
  private readonly store: MachineStore;
  private readonly assignments: Assignments;
  private readonly agentEpochs: AgentEpochs;
  private readonly liveness: Liveness;
  private readonly heartbeats: HeartbeatHandler;
  private readonly commands: DirectCommands;

  constructor(
    eventLoop: EventLoop,
    settings: Settings,
    readonly term: number,
    records: RecordStore,
    table: JobTable,
    private readonly events: WorkersEvents,
  ) {
    const fencingTokens = new FencingTokenSync(eventLoop, term);
    const placementInputChanged = (): void => events.placementInputChanged();
    const higherTermSeen = (seen: number): void => events.higherTermSeen(seen);
    const recordDue = (machine: Machine): void => this.store.markChanged(machine);
    const commandDue = (machine: Machine): void => this.commands.request(machine);

    this.teams = new TeamUsage(settings.platform.teams);
    this.registry = new MachineRegistry(eventLoop, settings, fencingTokens, (name) =>
      events.findMachineType(name),
    );
    this.machines = this.registry.machines;
    this.liveness = new Liveness(eventLoop, settings, this.machines);
    this.store = new MachineStore(eventLoop, settings, records, this.registry, {
      taskRestored: (machine, task, since) => this.assignments.restore(machine, task, since),
      assignmentsRecorded: commandDue,
    });
    this.assignments = new Assignments(
      eventLoop,
      table,
      this.teams,
      new FailureTracker(eventLoop, settings),
      {
        taskCompleted: (assignment, tookMs) => events.taskCompleted(assignment, tookMs),
        ...{ placementInputChanged, recordDue, commandDue },
      },
    );
    this.assignedCountByClass = this.assignments.countByClass;
    this.agentEpochs = new AgentEpochs(eventLoop, settings, fencingTokens, this.assignments, {
      placementInputChanged,
      recordDue,
    });
    this.commands = new DirectCommands(
      eventLoop,
      settings,
      fencingTokens,
      this.liveness,
      higherTermSeen,
    );
    const reconciliation = new Reconciliation(eventLoop, table, this.assignments, fencingTokens, {
      placementInputChanged,
      imagesChanged: (machine) => this.store.markImagesChanged(machine),
    });
    this.heartbeats = new HeartbeatHandler(
      ...([
        eventLoop,
        settings,
        this.registry,
        this.agentEpochs,
        fencingTokens,
        reconciliation,
      ] as const),
      { placementInputChanged, higherTermSeen },
    );
  }

  /** Tasks that are not surely gone. */
  get assignedCount(): number {
    return this.assignments.count;
  }

  /** The machine of this name, made known if it is not. */
  getOrCreateMachine(id: string): Machine {
    return this.registry.getOrCreate(id);
  }

  /** What the cloud says of the machine; an empty address changes nothing. */
  setDescription(machine: Machine, type: string, zone: string, spot: boolean, addr: string): void {
    this.registry.setDescription(machine, { type, zone, spot, addr });
  }

  /** What the leaders before have left, read at takeover. */
  restore(): void {
    this.store.restore();
  }

  /** Gives the task to the machine; it starts once that is on record. */
  assign(job: Job, task: number, attempt: number, machine: Machine): void {
    this.assignments.assign(job, task, attempt, machine);
  }

  /** Stops one task, with this time for saving. */
  stop(assignment: Assignment, graceS: number, reason: string): void {
    this.assignments.stop(assignment, graceS, reason);
  }

  /** Stops a job as a whole; a gang's parts have to be told within `gang_peer_s` of each other. */
  stopJob(job: Job, graceS: number, reason: string): void {
    this.assignments.stopJob(job, graceS, reason);
  }

  /** The job has ended somehow: older attempts, of which only records tell, are stopped as well. */
  stopAll(job: Job, reason: string): void {
    this.assignments.stopAll(job, reason);
  }

  /** The job has ended: what is left of it goes from the machines. */
  jobClosed(job: Job): void {
    this.assignments.jobClosed(job);
  }

  /** Completion is on record: the task may be cleared, and its assignment forgotten. */
  completionRecorded(job: Job, task: number): void {
    this.assignments.completionRecorded(job, task);
  }

  /** Takes over what a worker reports; an answer of 200 renews its lease. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    return this.heartbeats.handle(heartbeat);
  }

  /** Ends what must be gone by now: sessions whose lease has surely run out. */
  expireLeases(): void {
    this.agentEpochs.expireLeases(this.machines.values());
  }

  /** The cloud has confirmed that the machine and all on it is gone. */
  removeMachine(machine: Machine): void {
    this.assignments.endAll(machine);
    this.registry.remove(machine);
    this.commands.cancel(machine);
    this.store.remove(machine);
    this.events.placementInputChanged();
  }

  /** Told as time passes: whether this node may answer workers. Silence counts only while it may. */
  setAnswering(mayAnswer: boolean, intervalMs: number): void {
    this.liveness.setAnswering(mayAnswer, intervalMs);
  }

  /** How long nothing was heard of the machine while its reports would have been answered. */
  unresponsiveMs(machine: Machine): number {
    return this.liveness.unresponsiveMs(machine);
  }

  /** How long the machine has been answered without showing that it hears. */
  unacknowledgedMs(machine: Machine): number {
    return this.liveness.unacknowledgedMs(machine);
  }

  /** Share of the machines whose reports are overdue by `lateMs`; see `Liveness`. */
  overdueShare(lateMs: number, onlyHeardInThisTerm: boolean): number {
    return this.liveness.overdueShare(lateMs, onlyHeardInThisTerm);
  }

  /** Reports lately, and its session is not over. */
  isAlive(machine: Machine): boolean {
    return this.liveness.isAlive(machine);
  }

  /** After each batch: writes the records of what has changed, and sends what is due. */
  flush(): void {
    this.store.flush();
    this.commands.flush();
  }
}
