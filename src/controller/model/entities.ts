/**
 * Jobs, machines, and the assignments of tasks to machines: the state that the leader keeps in
 * memory. The three types refer to each other. To avoid import cycles, the modules of jobs and
 * machines have the assignment type as a type parameter, and this module supplies it.
 */
import type { Int } from '../wire/integers.js';
import { type ExitCause, taskName, type TaskState } from '../wire/workers.js';
import { JobBase } from './job.js';
import type { RecordedAssignment, RecordedJob } from './machine-record-size.js';
import { MachineState } from './machine.js';
import { resourceRequestOf } from './resource-request.js';

/** An active job; see `JobBase`. */
export class Job extends JobBase<Assignment> {}

/** A machine, its worker's agent epoch and its assignments; see `MachineState`. */
export class Machine extends MachineState<Assignment> {}

/**
 * Why an assignment ended: the exit cause of the task; or `lost` if the machine was removed, its
 * agent epoch ended or the task is missing from heartbeats; or `unsent` if the start was never sent
 * or is proven not to have arrived.
 */
export type AssignmentOutcome = ExitCause | 'lost' | 'unsent';

/** A request to stop a task. It is sent to the worker repeatedly until it takes effect. */
export interface StopRequest {
  /** Seconds that the task has to save a checkpoint. */
  readonly graceS: number;
  /** When the stop was requested, on the monotonic clock in ms. */
  readonly requestedAt: number;
  /** Reason of the stop, used only in log lines. */
  readonly reason: string;
  /**
   * Whether the stop has been sent as a direct command. Responses to heartbeats carry the stop too.
   */
  sentAsDirectCommand: boolean;
}

/**
 * Phase in the life cycle of an assignment.
 * - `planned`: the machine's stored record does not list it yet, so it must not be started
 *   (invariant 4).
 * - `recorded`: the stored record lists it, so it may be started.
 * - `sent`: its start has been sent, or may have been sent by an earlier leader.
 * - `seen`: a heartbeat has listed its task.
 * - `ended`: its task is proven to be no longer on the machine (invariant 5).
 */
export type AssignmentPhase = 'planned' | 'recorded' | 'sent' | 'seen' | 'ended';

/**
 * The assignment of a task to a machine in one agent epoch of its worker. The task counts as being
 * on the machine from the creation of the assignment, before the machine's record is written, until
 * it is proven gone.
 */
export interface Assignment extends RecordedAssignment {
  /** Name of the task in messages to and from workers; see `taskName`. */
  readonly name: string;
  /** The job of the task; null if the job had ended before this leader's term. */
  readonly job: Job | null;
  readonly task: number;
  readonly machine: Machine;
  readonly agentEpoch: number;
  phase: AssignmentPhase;
  /**
   * State of the task in the last heartbeat that listed it; null if no heartbeat has listed it
   * since the start was sent.
   */
  state: TaskState | null;
  /**
   * Sequence number that a heartbeat must exceed to prove that the task is missing; null if this
   * leader has not sent the start. After a start in the response to a heartbeat, it is the number
   * of that heartbeat. After a direct start, it is at first the number of the last heartbeat before
   * the call. Once the worker has responded, it is the number in the response.
   */
  startSentSequence: Int | null;
  /**
   * When this leader first saw the task running, on the monotonic clock in ms; null if it has not,
   * or if an earlier leader sent the start.
   */
  runningAt: number | null;
  /**
   * Number of the last heartbeat that listed the task; 0 if none has listed it. All machines'
   * heartbeats in this term are numbered in one sequence.
   */
  lastHeartbeatNumber: number;
  /** The stop that has been requested; null if there is none. */
  stop: StopRequest | null;
}

/** Initial values of the fields that heartbeats and commands change. */
const UNOBSERVED = {
  state: null,
  startSentSequence: null,
  runningAt: null,
  lastHeartbeatNumber: 0,
  stop: null,
} as const;

/**
 * Creates a new assignment in the phase `planned`, which is not in the machine's stored record yet.
 */
export function planAssignment(
  job: Job,
  task: number,
  attempt: Int,
  machine: Machine,
  now: number,
): Assignment {
  const { spec } = job;
  return {
    name: taskName(spec.id, task),
    jobId: spec.id,
    job,
    team: spec.team,
    task,
    attempt,
    machine,
    agentEpoch: machine.agentEpoch,
    request: resourceRequestOf(spec),
    checkpointSaveS: spec.checkpointSaveS,
    assignedAt: now,
    phase: 'planned',
    ...UNOBSERVED,
  };
}

/** A task as listed in the stored record of a machine. */
export interface RecordedTask extends RecordedJob {
  attempt: Int;
  task: number;
  /** Time of the assignment on the wall clock, in ms. */
  assignedAtWallClock: number;
}

/**
 * Creates the assignment of a task that an earlier leader recorded. Its phase is `sent`, because
 * that leader may have sent the start.
 */
export function restoreAssignment(
  recorded: RecordedTask,
  job: Job | null,
  machine: Machine,
  assignedAt: number,
): Assignment {
  const { jobId, team, request, checkpointSaveS, attempt, task } = recorded;
  return {
    name: taskName(jobId, task),
    jobId,
    job,
    team,
    task,
    attempt,
    machine,
    agentEpoch: machine.agentEpoch,
    request,
    checkpointSaveS,
    assignedAt,
    phase: 'sent',
    ...UNOBSERVED,
  };
}

/** Returns a key that identifies one attempt of a task among all attempts on a machine. */
export function attemptKey(name: string, attempt: Int): string {
  return `${name}@${attempt}`;
}
