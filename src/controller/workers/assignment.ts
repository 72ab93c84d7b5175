import type { Job } from '../jobs/table.js';
import type { TaskState } from '../wire/workers.js';
import type { Machine } from './machine.js';

export interface Need {
  cpus: number;
  gpus: number;
  memoryGb: number;
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
  /** The last report in which it was. */
  reportedIn: number;
  stop: { graceS: number; at: number; reason: string; direct: boolean } | null;
}
