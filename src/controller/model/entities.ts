/**
 * Jobs, machines, and the assignments that connect them: the state that the leader keeps in memory. The
 * three refer to each other. So that their modules don't, those of jobs and machines leave the type of
 * assignments open, and it is filled in here.
 */
import { type ExitCause, taskName, type TaskState } from '../wire/workers.js';
import { JobBase } from './job.js';
import type { RecordedAssignment, RecordedJob } from './machine-record-size.js';
import { MachineState } from './machine.js';
import { resourceRequestOf } from './resource-request.js';

/** An active job as its leader knows it. */
export class Job extends JobBase<Assignment> {}

/** A machine, its agent's epoch and what is assigned to it. */
export class Machine extends MachineState<Assignment> {}

/**
 * Why an assignment ended: the cause with which the task exited; `lost` if the machine or its agent epoch
 * is gone, or the task disappeared; `unsent` if the start is proven not to have arrived.
 */
export type AssignmentOutcome = ExitCause | 'lost' | 'unsent';

/** A stop that has been or has to be sent to the worker. */
export interface StopRequest {
  /** Seconds that the task has to save a checkpoint. */
  readonly graceS: number;
  /** Time on the steady clock in ms. */
  readonly requestedAt: number;
  /** For the log. */
  readonly reason: string;
  /** It has been sent as a direct command, besides the responses to heartbeats. */
  sentAsDirectCommand: boolean;
}

/**
 * How far an assignment has come.
 * - `planned`: its record is not stored yet, so it must not be started (invariant 4).
 * - `recorded`: it may be started.
 * - `sent`: its start has been sent, or may have been by an earlier leader.
 * - `seen`: a heartbeat has listed it.
 * - `ended`: it is proven to be no longer on the machine (invariant 5).
 */
export type AssignmentPhase = 'planned' | 'recorded' | 'sent' | 'seen' | 'ended';

/**
 * A task assigned to a machine in one of its agent epochs. It counts as being there from the moment its
 * record is on its way to the state store until it is proven gone.
 */
export interface Assignment extends RecordedAssignment {
  /** The task's name at the worker. */
  readonly name: string;
  /** null if the job had ended before this leader's term. */
  readonly job: Job | null;
  readonly task: number;
  readonly machine: Machine;
  readonly agentEpoch: number;
  phase: AssignmentPhase;
  /** State of the task in the last heartbeat that listed it. */
  state: TaskState | null;
  /**
   * Only messages of the worker later than this one can prove that the task is missing: the heartbeat
   * whose response carried the start, or the response to a direct start. null if an earlier leader
   * sent the start.
   */
  startSentSequence: number | bigint | null;
  /** When this leader first saw the task running, on the steady clock in ms. */
  runningAt: number | null;
  /** Number of the last heartbeat that listed it; see `HeartbeatInProgress.heartbeatNumber`. */
  lastHeartbeatNumber: number;
  stop: StopRequest | null;
}

/** The state of an assignment that no heartbeat has listed yet. */
const UNOBSERVED = {
  state: null,
  startSentSequence: null,
  runningAt: null,
  lastHeartbeatNumber: 0,
  stop: null,
} as const;

/** Creates an assignment whose record is not stored yet. */
export function planAssignment(
  job: Job,
  task: number,
  attempt: number,
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

/** A task in a machine's record, as an earlier leader has left it. */
export interface RecordedTask extends RecordedJob {
  attempt: number;
  task: number;
  /** Time of the assignment on the wall clock, in ms. */
  assignedAtWallClock: number;
}

/** Restores an assignment that an earlier leader has recorded: its start may have been sent. */
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

/** Key of an attempt among all attempts of tasks on one machine. */
export function attemptKey(name: string, attempt: number | bigint): string {
  return `${name}@${attempt}`;
}
