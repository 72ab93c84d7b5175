/** An active job: the state of its tasks, its assignments, and its state for placement. */
import type { JobSpec, JobStatus, Priority, TerminalState } from '../wire/jobs.js';
import type { Int } from '../wire/integers.js';
import type { TaskState } from '../wire/workers.js';
import { PendingTasks } from './pending-tasks.js';

/** Numeric levels of the priorities; jobs with a higher level are placed first. */
export const priorityLevels: Record<Priority, number> = {
  production: 3,
  high: 2,
  normal: 1,
  low: 0,
};

/**
 * Machines whose capacity is reserved for a waiting gang. Times are on the leader's monotonic
 * clock, in ms.
 */
export interface GangReservation {
  /** Ids of the machines, one entry for each task of the gang that has reserved capacity. */
  machines: string[];
  /** When the reservation was made. */
  reservedAt: number;
  /** When all reserved machines are expected to have enough free capacity for the gang. */
  fillAt: number;
  /** When the gang is expected to run: all its tasks fit and its image has been fetched. */
  readyAt: number;
  /** When the scheduler last searched for machines for this reservation. */
  searchedAt: number;
}

/** Record of a machine that a service avoids because replicas of the service exited on it. */
export interface MachineAvoidance {
  /** Number of replicas that have exited on the machine. */
  replicaExits: number;
  /**
   * No replica of the service is placed on the machine before this time on the leader's monotonic
   * clock, in ms.
   */
  until: number;
}

/**
 * Why an active job is about to end.
 * - `recording-done`: all its tasks are done, and its terminal record is being written.
 * - `record-removed`: its active record was removed by another writer, and its terminal record is
 *   being read to find out how the job ended.
 */
export type JobEnding = 'recording-done' | 'record-removed';

/** The fields of an assignment that a job uses. */
interface TaskAssignment {
  readonly state: TaskState | null;
}

/**
 * The leader's state of an active job, with assignments of the type `TAssignment`. All times are in
 * milliseconds on the leader's monotonic clock.
 */
export class JobBase<TAssignment extends TaskAssignment> {
  // ---- tasks

  /**
   * Indexed by task: 1 if the task is done according to a heartbeat, or to a record of an earlier
   * leader.
   */
  readonly done: Uint8Array;
  /** Indexed by task: 1 if the completion of the task is recorded in the state store. */
  readonly doneRecorded: Uint8Array;
  doneCount = 0;
  doneRecordedCount = 0;
  /** Tasks that wait to be placed. */
  readonly pending: PendingTasks;
  /** The assignment of the latest attempt, for each task that has one. */
  readonly currentAssignments = new Map<number, TAssignment>();
  /**
   * All assignments of the job's tasks, including those of older attempts and ended assignments
   * that are still on record.
   */
  readonly allAssignments = new Set<TAssignment>();
  /** Number of ended attempts of the job's tasks, by exit cause. */
  exitCounts: Record<string, number> = {};
  /** Whether the job's status may have changed since it was last sent to the other controllers. */
  progressChanged = true;

  // ---- end

  /** Why the job is about to end; none of its tasks is placed while this is set. */
  ending: JobEnding | null = null;
  /** How the job has ended; null while it is active. Ended jobs are not in the job table. */
  terminalState: TerminalState | null = null;

  // ---- placement

  /** Time since which the job has had tasks to place. */
  waitingSince: number;
  /** No task of the job is placed before this time; set after failures. */
  backoffUntil = 0;
  errorCount = 0;
  /** Ids of machines on which tasks of the job have failed. */
  readonly failedMachines = new Set<string>();
  /** Machines that the service avoids temporarily, by machine id. */
  readonly avoidedMachines = new Map<string, MachineAvoidance>();
  /** Whether the job was within the guarantee of its team in the last placement pass. */
  guaranteed = false;
  /**
   * Whether the gang lost a member and is being restarted. The new attempt starts only after all
   * tasks of the old attempt are gone.
   */
  gangRestarting = false;
  /** The machines reserved for the gang while it waits; null if there is no reservation. */
  reservation: GangReservation | null = null;
  /** Reason why the job waits, shown to its user; empty if there is none. */
  blockedReason = '';
  /**
   * How often the job's tasks were preempted for other jobs. Each preemption raises the job's rank.
   */
  preemptionCount = 0;
  /**
   * Until this time the job is placed before all other jobs, because tasks were preempted for it.
   * Otherwise the preempted jobs, whose rank has risen, would occupy the freed capacity again.
   */
  preemptionClaimUntil = -Infinity;
  /** When the scheduler last searched for tasks to preempt in favour of this array job. */
  preemptionSearchedAt = -Infinity;
  /** Attempt number shared by tasks that are started individually; 0 before the first one. */
  private sharedAttempt: Int = 0;
  /** Tasks that were assigned with the number `sharedAttempt`. */
  private readonly startedInAttempt = new Set<number>();

  /**
   * @param spec - the submitted specification of the job
   * @param submittedAt - the time at which the job was accepted
   * @param recordVersion - the version of its active record; the write that ends the job is
   * conditional on it
   * @param now - the present time on the monotonic clock, in ms
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

  /**
   * Whether the job is a service. The replicas of a service run until the job is cancelled, and a
   * replica that ends is replaced.
   */
  get isService(): boolean {
    return this.spec.kind === 'service';
  }

  /** Number of replicas of a service that are not running; 0 for other kinds of job. */
  get missingReplicas(): number {
    return this.isService ? this.spec.tasks - this.runningCount : 0;
  }

  /** Returns true if no replica of the service may be placed on the machine at time `now`. */
  avoids(machine: string, now: number): boolean {
    return (this.avoidedMachines.get(machine)?.until ?? 0) > now;
  }

  /** Numeric level of its priority; see `priorityLevels`. */
  get level(): number {
    return priorityLevels[this.spec.priority];
  }

  /**
   * Returns an attempt number that the task has not used. Tasks that are started individually share
   * a number as long as possible, which keeps the records of their machines small.
   *
   * @param nextAttempt - returns a new attempt number; called only if one is needed
   */
  attemptFor(task: number, nextAttempt: () => Int): Int {
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

  /** Number of running tasks, including those that are saving a checkpoint before they stop. */
  get runningCount(): number {
    let running = 0;
    for (const { state } of this.currentAssignments.values())
      if (state === 'running' || state === 'saving') running++;
    return running;
  }

  /** Returns the status that is reported to the user of the job. */
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
