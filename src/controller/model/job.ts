/** One unfinished job: its tasks, its assignments and what is known for placing it. */
import type { TerminalState, JobStatus, JobSpec, Priority } from '../wire/jobs.js';
import type { TaskState } from '../wire/workers.js';
import { PendingTasks } from './pending-tasks.js';

/** Priorities as numbers; higher goes first. */
export const priorityLevels: Record<Priority, number> = {
  production: 3,
  high: 2,
  normal: 1,
  low: 0,
};

/** Machines that a waiting gang fills up. */
export interface GangReservation {
  machines: string[];
  reservedAt: number;
  fillAt: number;
  /** When the gang could run there, images included. */
  readyAt: number;
  searchedAt: number;
}

/** What a job asks of the assignments of its tasks. */
interface TaskAssignment {
  readonly state: TaskState | null;
}

/** An unfinished job as its leader knows it, with assignments of the type `TAssignment`. */
export class JobState<TAssignment extends TaskAssignment> {
  readonly done: Uint8Array;
  readonly doneRecorded: Uint8Array;
  doneCount = 0;
  doneRecordedCount = 0;
  /** Tasks that are neither done nor assigned, lowest number last. */
  readonly pending: PendingTasks;
  readonly currentAssignments = new Map<number, TAssignment>();
  /** Every assignment of its tasks that is not forgotten, older attempts and ended ones too. */
  readonly allAssignments = new Set<TAssignment>();
  /** Its answer may differ from what was last told. */
  progressChanged = true;
  /** Cancelled, or its end is being written: nothing of it may be placed. */
  terminalState: TerminalState | null = null;
  endPending = false;
  /** Its live record is gone, and its end is being read. */
  recordRemoved = false;
  /** A gang lost a part: no new attempt before all of the old one is gone. */
  gangRestarting = false;
  exitCounts: Record<string, number> = {};
  preemptionCount = 0;
  /**
   * Work was stopped for it, until then: it goes before all others, or those who were stopped, who
   * rank higher for it, would take the room back.
   */
  preemptionClaimUntil = -Infinity;
  /** It fits into its team's guarantee, by the last placement pass. */
  guaranteed = false;
  /** Nothing is placed before then, after errors. */
  backoffUntil = 0;
  errorCount = 0;
  /** Machines on which tasks of the job failed. */
  readonly failedMachines = new Set<string>();
  /** Machines on which replicas of a service ended by themselves: how often, and left out until when. */
  readonly avoidedMachines = new Map<string, { times: number; until: number }>();
  /** Since when the job has had something to place, for rank and for renting. */
  waitingSince: number;
  blockedReason = '';
  /** Machines that the job has reserved, for a gang that cannot start yet. */
  reservation: GangReservation | null = null;
  /** The attempt under which tasks start one by one, and those that have. */
  private sharedAttempt = 0;
  private readonly startedInAttempt = new Set<number>();
  /** When room was last sought that could be made for an array's tasks. */
  preemptionSearchedAt = -Infinity;

  constructor(
    readonly spec: JobSpec,
    /** When it was accepted, on this node's steady clock. */
    readonly submittedAt: number,
    readonly recordVersion: number,
    now: number,
  ) {
    this.done = new Uint8Array(spec.tasks);
    this.doneRecorded = new Uint8Array(spec.tasks);
    this.pending = new PendingTasks(spec.tasks);
    this.waitingSince = now;
  }

  /** Its tasks run until the job is cancelled; each that ends is replaced. */
  get isService(): boolean {
    return this.spec.kind === 'service';
  }

  /** Replicas of a service that are not running. */
  get missingReplicas(): number {
    return this.isService ? this.spec.tasks - this.runningCount : 0;
  }

  /** Whether replicas of it are not to start on the machine for now. */
  avoids(machine: string, now: number): boolean {
    return (this.avoidedMachines.get(machine)?.until ?? 0) > now;
  }

  /** Its priority as a number; higher goes first. */
  get level(): number {
    return priorityLevels[this.spec.priority];
  }

  /**
   * An attempt under which the task has not been started. Tasks that start one by one share one, which
   * keeps the records of their machines small.
   */
  attemptFor(task: number, next: () => number): number {
    if (this.sharedAttempt === 0 || this.startedInAttempt.has(task)) {
      this.sharedAttempt = next();
      this.startedInAttempt.clear();
    }
    this.startedInAttempt.add(task);
    return this.sharedAttempt;
  }

  /** Every task is done. */
  get isComplete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  /** Tasks that run, those that save their state included. */
  get runningCount(): number {
    let running = 0;
    for (const { state } of this.currentAssignments.values())
      if (state === 'running' || state === 'saving') running++;
    return running;
  }

  /** What its user is told. */
  answer(): JobStatus {
    const running = this.runningCount;
    const answer: JobStatus = {
      id: this.spec.id,
      state: this.terminalState ?? (running > 0 ? 'running' : 'queued'),
      done: this.doneCount,
      running,
      exits: this.exitCounts,
    };
    if (this.blockedReason !== '') answer.blocked = this.blockedReason;
    return answer;
  }
}
