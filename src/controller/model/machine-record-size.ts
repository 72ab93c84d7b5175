/**
 * Estimates how many bytes the tasks of a machine take in its record, which has to fit in one value
 * of the state store. The estimate is updated with each added or removed task, because placement
 * needs it before each assignment. All sizes are upper bounds.
 */
import type { Settings } from '../settings/settings.js';
import type { Int } from '../wire/integers.js';
import { adjustCount } from './keyed-counts.js';
import type { ResourceRequest } from './resource-request.js';

/** Bytes that a task takes in the list of its attempt, for its number and a comma. */
const TASK_BYTES = 7;
/**
 * Bytes that an attempt takes without its tasks, for its number, one assignment time, brackets and
 * commas.
 */
const ATTEMPT_BYTES = 40;
/**
 * Bytes that a job takes besides its encoded fields, for brackets, a comma, and escape characters.
 * Quotes in the fields are escaped when the record is stored in a page.
 */
const JOB_BYTES = 6;
/**
 * Bytes that a record takes without tasks, for the machine's own fields, the record's key, and the
 * page's overhead.
 */
const HEADER_BYTES = 260;

/** Maximum number of bytes that tasks of a job add to a machine's record. */
export interface RecordSpace {
  /** Bytes added once, for the job and one attempt. */
  bytesPerJob: number;
  /** Bytes added for each task. */
  bytesPerTask: number;
}

/** The fields of a job that a machine's record contains. */
export interface RecordedJob {
  readonly jobId: string;
  readonly team: string;
  readonly request: ResourceRequest;
  /** Seconds that a task of the job needs to save a checkpoint. */
  readonly checkpointSaveS: number;
}

/** The fields of an assignment that affect the size of a machine's record. */
export interface RecordedAssignment extends RecordedJob {
  readonly attempt: Int;
  /** Time of the assignment on this node's monotonic clock, in ms. */
  readonly assignedAt: number;
}

/**
 * Encodes the fields of a job for a machine's record. The caller appends the job's attempts to the
 * returned list.
 */
export function encodeJob({ jobId, team, request, checkpointSaveS }: RecordedJob): unknown[] {
  return [jobId, team, request.cpus, request.gpus, request.memoryGb, checkpointSaveS];
}

function encodedJobBytes(job: RecordedJob): number {
  return Buffer.byteLength(JSON.stringify(encodeJob(job))) + JOB_BYTES;
}

/** Returns how many bytes tasks of the job add to a machine's record. */
export function recordSpaceOf(job: RecordedJob): RecordSpace {
  return { bytesPerJob: encodedJobBytes(job) + ATTEMPT_BYTES, bytesPerTask: TASK_BYTES };
}

/**
 * Returns the maximum number of bytes that the tasks may take in a machine's record. Up to this
 * size, the record fits in a stored value.
 */
export function recordCapacityBytes(settings: Settings): number {
  return settings.maxValueBytes - HEADER_BYTES;
}

/**
 * Returns the length in ms of a time slot. Tasks of an attempt that were assigned in the same slot
 * share one assignment time in the record. The precision suffices, because the time is only used
 * for estimates.
 */
export function assignmentTimeSlotMs(settings: Settings): number {
  return settings.heartbeatIntervalMs * 2;
}

/** Returns a key that is equal for all assignments that share one list of tasks in the record. */
function attemptGroupKey(assignment: RecordedAssignment, slotMs: number): string {
  const { jobId, attempt, assignedAt } = assignment;
  return `${jobId}@${attempt}@${Math.floor(assignedAt / slotMs)}`;
}

/** Tracks the size of the tasks in a machine's record as tasks are added and removed. */
export class MachineRecordSize {
  /** Upper bound of the bytes that the tasks take; must not exceed `recordCapacityBytes`. */
  bytes = 0;
  private readonly taskCountByJob = new Map<string, number>();
  private readonly taskCountByAttempt = new Map<string, number>();

  constructor(private readonly settings: Settings) {}

  /** Adds the bytes of a task that was assigned to the machine. */
  add(assignment: RecordedAssignment): void {
    this.bytes += TASK_BYTES;
    const tasksOfJob = adjustCount(this.taskCountByJob, assignment.jobId, 1);
    if (tasksOfJob === 1) this.bytes += encodedJobBytes(assignment);
    const tasksOfAttempt = adjustCount(
      this.taskCountByAttempt,
      this.attemptGroupKeyOf(assignment),
      1,
    );
    if (tasksOfAttempt === 1) this.bytes += ATTEMPT_BYTES;
  }

  /** Subtracts the bytes of a task that was removed from the machine's record. */
  remove(assignment: RecordedAssignment): void {
    this.bytes -= TASK_BYTES;
    const tasksOfJob = adjustCount(this.taskCountByJob, assignment.jobId, -1);
    if (tasksOfJob === 0) this.bytes -= encodedJobBytes(assignment);
    const tasksOfAttempt = adjustCount(
      this.taskCountByAttempt,
      this.attemptGroupKeyOf(assignment),
      -1,
    );
    if (tasksOfAttempt === 0) this.bytes -= ATTEMPT_BYTES;
  }

  private attemptGroupKeyOf(assignment: RecordedAssignment): string {
    return attemptGroupKey(assignment, assignmentTimeSlotMs(this.settings));
  }
}
