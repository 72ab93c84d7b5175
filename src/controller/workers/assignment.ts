/** Assignments: tasks given to machines. */
import type { Job } from '../jobs/job-table.js';
import { taskName, type ExitCause, type TaskState } from '../wire/workers.js';
import type { Machine } from './machine.js';
import type { RecordedTask } from './record.js';

/** What one task takes of a machine. */
export interface Need {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Why an assignment ended. `lost`: the machine or its session is gone, or the start never arrived. */
export type Outcome = ExitCause | 'lost' | 'unsent';

/** A stop that the worker has been or is yet to be told of. */
export interface StopRequest {
  readonly graceS: number;
  readonly requestedAt: number;
  readonly reason: string;
  /** It has gone out as a direct command as well. */
  sentDirectly: boolean;
}

/**
 * A task given to a machine's session. It counts as being there from the moment its record is on
 * its way to the state service until it is known to be gone.
 */
export interface Assignment {
  /** The task's name at the worker. */
  readonly name: string;
  readonly jobId: string;
  /** null: the job had ended before this leader took over. */
  readonly job: Job | null;
  readonly team: string;
  readonly task: number;
  readonly attempt: number;
  readonly machine: Machine;
  readonly session: number;
  readonly need: Need;
  readonly saveS: number;
  readonly since: number;
  /** `planned`: not on record yet. `recorded`: may be sent. `sent`: out. `seen`: in a report. */
  phase: 'planned' | 'recorded' | 'sent' | 'seen' | 'ended';
  state: TaskState | null;
  /**
   * Only messages of the worker later than this one can show that the task is missing: the report
   * that the start was the answer to, or the answer to a start sent directly.
   */
  sentSeq: number | bigint | null;
  runningAt: number | null;
  /** Number of the last report that listed it. */
  lastReportNumber: number;
  stop: StopRequest | null;
}

/** The state of an assignment of which no report has told yet. */
const UNREPORTED = {
  state: null,
  sentSeq: null,
  runningAt: null,
  lastReportNumber: 0,
  stop: null,
} as const;

/** An assignment that is not on record yet. */
export function plannedAssignment(
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
    session: machine.session,
    need: { cpus: spec.cpus, gpus: spec.gpus, memoryGb: spec.memoryGb },
    saveS: spec.checkpointSaveS,
    since: now,
    phase: 'planned',
    ...UNREPORTED,
  };
}

/** An assignment that an earlier leader has left on record: its start may have been sent. */
export function restoredAssignment(
  recorded: RecordedTask,
  job: Job | null,
  machine: Machine,
  since: number,
): Assignment {
  const { jobId, team, need, saveS, attempt, task } = recorded;
  return {
    name: taskName(jobId, task),
    jobId,
    job,
    team,
    task,
    attempt,
    machine,
    session: machine.session,
    need,
    saveS,
    since,
    phase: 'sent',
    ...UNREPORTED,
  };
}

/** Tells the attempts of tasks on one machine apart. */
export function attemptKey(name: string, attempt: number | bigint): string {
  return `${name}@${attempt}`;
}
