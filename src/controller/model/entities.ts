/**
 * Jobs, machines, and the assignments that connect them: the records that the leader keeps in memory.
 * The three refer to each other. So that their modules don't, those of jobs and machines leave the type
 * of assignments open, and it is filled in here.
 */
import { taskName, type ExitCause, type TaskState } from '../wire/workers.js';
import { JobBase } from './job.js';
import type { RecordedAssignment, RecordedJob } from './machine-record-size.js';
import { MachineState } from './machine.js';
import { resourceRequestOf } from './resource-request.js';

/** An active job as its leader knows it. */
export class Job extends JobBase<Assignment> {}

/** A machine, its agent's epoch and what is assigned to it. */
export class Machine extends MachineState<Assignment> {}

/** Why an assignment ended. `lost`: the machine or its session is gone, or the start never arrived. */
export type AssignmentOutcome = ExitCause | 'lost' | 'unsent';

/** A stop that the worker has been or is yet to be told of. */
export interface StopRequest {
  readonly graceS: number;
  readonly requestedAt: number;
  readonly reason: string;
  /** It has gone out as a direct command as well. */
  sentAsDirectCommand: boolean;
}

/**
 * A task given to a machine's session. It counts as being there from the moment its record is on
 * its way to the state service until it is known to be gone.
 */
export interface Assignment extends RecordedAssignment {
  /** The task's name at the worker. */
  readonly name: string;
  /** null: the job had ended before this leader took over. */
  readonly job: Job | null;
  readonly task: number;
  readonly machine: Machine;
  readonly agentEpoch: number;
  /** `planned`: not on record yet. `recorded`: may be sent. `sent`: out. `seen`: in a report. */
  phase: 'planned' | 'recorded' | 'sent' | 'seen' | 'ended';
  state: TaskState | null;
  /**
   * Only messages of the worker later than this one can show that the task is missing: the report
   * that the start was the answer to, or the answer to a start sent directly.
   */
  startSentSequence: number | bigint | null;
  runningAt: number | null;
  /** Number of the last report that listed it. */
  lastHeartbeatNumber: number;
  stop: StopRequest | null;
}

/** The state of an assignment of which no report has told yet. */
const UNOBSERVED = {
  state: null,
  startSentSequence: null,
  runningAt: null,
  lastHeartbeatNumber: 0,
  stop: null,
} as const;

/** An assignment that is not on record yet. */
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

/** A task on record, as the leader before has left it. */
export interface RecordedTask extends RecordedJob {
  attempt: number;
  task: number;
  /** Time of day at which it was assigned. */
  assignedAtWallClock: number;
}

/** An assignment that an earlier leader has left on record: its start may have been sent. */
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

/** Tells the attempts of tasks on one machine apart. */
export function attemptKey(name: string, attempt: number | bigint): string {
  return `${name}@${attempt}`;
}
