/** One active job: its tasks, its assignments and what is known for placing it. */
import type { JobSpec, JobStatus, Priority, TerminalState } from '../wire/jobs.js';
import type { TaskState } from '../wire/workers.js';
import { PendingTasks } from './pending-tasks.js';

/** Priorities as numbers; higher goes first. */
export const priorityLevels: Record<Priority, number> = {
  production: 3,
  high: 2,
  normal: 1,
  low: 0,
};

/** Machines whose free capacity a waiting gang collects. Times are on the leader's steady clock. */
export interface GangReservation {
  /** Names of the machines, one for each task that has a place. */
  machines: string[];
  reservedAt: number;
  /** When all of them are expected to have room for the gang. */
  fillAt: number;
  /** When the gang is expected to be able to run there, with its image fetched. */
  readyAt: number;
  /** When machines were last searched for. */
  searchedAt: number;
}

/** A machine on which replicas of a service have ended by themselves. */
export interface MachineAvoidance {
  /** Replicas that have ended there. */
  replicaExits: number;
  /** No replica of the service starts there before, on the leader's steady clock. */
  until: number;
}

/**
 * Why an active job is about to end. `recording-done`: all its tasks are done, and its terminal
 * record is being written. `record-removed`: someone else has removed its active record, and how
 * it ended is being read.
 */
export type JobEnding = 'recording-done' | 'record-removed';

/** What a job asks of the assignments of its tasks. */
interface TaskAssignment {
  readonly state: TaskState | null;
}

/**
 * An active job as its leader knows it, with assignments of the type `TAssignment`. All times are
 * milliseconds on the leader's steady clock.
 */
export class JobBase<TAssignment extends TaskAssignment> {
  // ---- tasks

  /** By task: 1 if a heartbeat has shown it as done. */
  readonly done: Uint8Array;
  /** By task: 1 if its completion is on record. */
  readonly doneRecorded: Uint8Array;
  doneCount = 0;
  doneRecordedCount = 0;
  /** Tasks that are neither done nor assigned. */
  readonly pending: PendingTasks;
  /** The newest assignment of each task that has one. */
  readonly currentAssignments = new Map<number, TAssignment>();
  /** Every assignment of its tasks that is on record, of older attempts and ended ones too. */
  readonly allAssignments = new Set<TAssignment>();
  /** Ended attempts of its tasks by cause. */
  exitCounts: Record<string, number> = {};
  /** Its status may differ from what was last told to the other controllers. */
  progressChanged = true;

  // ---- end

  /** Set while the job is about to end: nothing of it is placed. */
  ending: JobEnding | null = null;
  /** How it has ended; it is in no table any more. */
  terminalState: TerminalState | null = null;

  // ---- placement

  /** Since when it has had tasks to place. */
  waitingSince: number;
  /** Nothing of it is placed before then, after errors. */
  backoffUntil = 0;
  errorCount = 0;
  /** Names of machines on which tasks of the job have failed. */
  readonly failedMachines = new Set<string>();
  /** Machines that a service avoids for a while, by name. */
  readonly avoidedMachines = new Map<string, MachineAvoidance>();
  /** It fits into its team's guarantee, by the last placement pass. */
  guaranteed = false;
  /** A gang lost a member: it has no new attempt before all of the old one is gone. */
  gangRestarting = false;
  /** The machines that a gang has reserved, while it waits. */
  reservation: GangReservation | null = null;
  /** Why it waits, for its user; empty: nothing is to be told. */
  blockedReason = '';
  /** Times that its tasks were stopped for other jobs; each raises its rank. */
  preemptionCount = 0;
  /**
   * Tasks were preempted for it, and until then it goes before all other jobs. Otherwise the
   * victims, whose rank has risen, would take the freed capacity back.
   */
  preemptionClaimUntil = -Infinity;
  /** When victims were last searched for an array's tasks. */
  preemptionSearchedAt = -Infinity;
  /** The attempt that tasks which start one by one have in common; 0: none yet. */
  private sharedAttempt = 0;
  /** Tasks that were started under `sharedAttempt`. */
  private readonly startedInAttempt = new Set<number>();

  /**
   * @param spec - what its user asked for
   * @param submittedAt - when it was accepted
   * @param recordVersion - version of its active record, on which its end is conditional
   * @param now - the present time
   */
  constructor(
    readonly spec: JobSpec,
    readonly submittedAt: number,
    readonly recordVersion: number,
    now: number,
  ) {
    this.done = new Uint8Array(spec.tasks);
    this.doneRecorded = new Uint8Array(spec.tasks);
    this.pending = new PendingTasks(spec.tasks);
    this.waitingSince = now;
  }

  /** Whether its tasks run until the job is cancelled; each that ends is replaced. */
  get isService(): boolean {
    return this.spec.kind === 'service';
  }

  /** Replicas of a service that are not running; 0 for other jobs. */
  get missingReplicas(): number {
    return this.isService ? this.spec.tasks - this.runningCount : 0;
  }

  /** Whether replicas of it may not start on the machine for now. */
  avoids(machine: string, now: number): boolean {
    return (this.avoidedMachines.get(machine)?.until ?? 0) > now;
  }

  /** Its priority as a number; higher goes first. */
  get level(): number {
    return priorityLevels[this.spec.priority];
  }

  /**
   * An attempt under which the task has not been started. Tasks that start one by one have one in
   * common, which keeps the records of their machines small.
   *
   * @param nextAttempt - draws a new attempt, if one is needed
   */
  attemptFor(task: number, nextAttempt: () => number): number {
    if (this.sharedAttempt === 0 || this.startedInAttempt.has(task)) {
      this.sharedAttempt = nextAttempt();
      this.startedInAttempt.clear();
    }
    this.startedInAttempt.add(task);
    return this.sharedAttempt;
  }

  /** Whether every task is done. */
  get isComplete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  /** Tasks that run, those that save a checkpoint before they stop included. */
  get runningCount(): number {
    let running = 0;
    for (const { state } of this.currentAssignments.values())
      if (state === 'running' || state === 'saving') running++;
    return running;
  }

  /** What its user is told. */
  status(): JobStatus {
    const running = this.runningCount;
    const status: JobStatus = {
      id: this.spec.id,
      state: this.terminalState ?? (running > 0 ? 'running' : 'queued'),
      done: this.doneCount,
      running,
      exits: this.exitCounts,
    };
    if (this.blockedReason !== '') status.blocked = this.blockedReason;
    return status;
  }
}
