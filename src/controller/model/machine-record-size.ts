/**
 * How many bytes the tasks of a machine take in its record, which has to fit one value of the state
 * store. Counted as tasks come and go, since placement has to know before each start. All figures are
 * upper bounds.
 */
import type { Settings } from '../settings/settings.js';
import { adjustCount } from './keyed-counts.js';
import type { ResourceRequest } from './resource-request.js';

/** A task in the list of its attempt: its number and a comma. */
const TASK_BYTES = 7;
/** An attempt: its number, the time of its first task, brackets and commas. */
const ATTEMPT_BYTES = 40;
/** Brackets and comma around a job; its quotes are escaped once more in a page. */
const JOB_BYTES = 6;
/** The machine itself, the record's key, and what a page adds. */
const HEADER_BYTES = 260;

/** Bytes that tasks of a job add to a machine's record at most. */
export interface RecordSpace {
  /** Once, for the job and its attempt. */
  bytesPerJob: number;
  /** For each task. */
  bytesPerTask: number;
}

/** What a machine's record tells about a job. */
export interface RecordedJob {
  readonly jobId: string;
  readonly team: string;
  readonly request: ResourceRequest;
  /** Seconds that a task of the job needs to save a checkpoint. */
  readonly checkpointSaveS: number;
}

/** What a machine's record tells about a task. */
export interface RecordedAssignment extends RecordedJob {
  readonly attempt: number;
  /** Time of the assignment on this node's steady clock, in ms. */
  readonly assignedAt: number;
}

/** Encodes a job for a machine's record; its encoded attempts follow in the same list. */
export function encodeJob({ jobId, team, request, checkpointSaveS }: RecordedJob): unknown[] {
  return [jobId, team, request.cpus, request.gpus, request.memoryGb, checkpointSaveS];
}

function encodedJobBytes(job: RecordedJob): number {
  return JSON.stringify(encodeJob(job)).length + JOB_BYTES;
}

/** Bytes that tasks of the job add to a machine's record. */
export function recordSpaceOf(job: RecordedJob): RecordSpace {
  return { bytesPerJob: encodedJobBytes(job) + ATTEMPT_BYTES, bytesPerTask: TASK_BYTES };
}

/** Bytes that the tasks in a machine's record may take, so that it fits a value of the state store. */
export function recordCapacityBytes(settings: Settings): number {
  return settings.maxValueBytes - HEADER_BYTES;
}

/** Tasks assigned within this time in ms may share one time in the record, which only serves estimates. */
export function sharedStartMs(settings: Settings): number {
  return settings.heartbeatIntervalMs * 2;
}

/** Assignments with the same key share one list of tasks in the record. */
function attemptGroupKey(assignment: RecordedAssignment, slotMs: number): string {
  const { jobId, attempt, assignedAt } = assignment;
  return `${jobId}@${attempt}@${Math.floor(assignedAt / slotMs)}`;
}

/** The size of the tasks in a machine's record, kept up to date as they come and go. */
export class MachineRecordSize {
  /** Upper bound of the bytes that the tasks take; see `recordCapacityBytes`. */
  bytes = 0;
  private readonly jobs = new Map<string, number>();
  private readonly attempts = new Map<string, number>();

  constructor(private readonly settings: Settings) {}

  /** Counts a task that has been assigned to the machine. */
  add(assignment: RecordedAssignment): void {
    this.bytes += TASK_BYTES;
    const tasksOfJob = adjustCount(this.jobs, assignment.jobId, 1);
    if (tasksOfJob === 1) this.bytes += encodedJobBytes(assignment);
    const tasksOfAttempt = adjustCount(this.attempts, this.attemptGroupKeyOf(assignment), 1);
    if (tasksOfAttempt === 1) this.bytes += ATTEMPT_BYTES;
  }

  /** Uncounts a task that has been removed from the machine's record. */
  remove(assignment: RecordedAssignment): void {
    this.bytes -= TASK_BYTES;
    const tasksOfJob = adjustCount(this.jobs, assignment.jobId, -1);
    if (tasksOfJob === 0) this.bytes -= encodedJobBytes(assignment);
    const tasksOfAttempt = adjustCount(this.attempts, this.attemptGroupKeyOf(assignment), -1);
    if (tasksOfAttempt === 0) this.bytes -= ATTEMPT_BYTES;
  }

  private attemptGroupKeyOf(assignment: RecordedAssignment): string {
    return attemptGroupKey(assignment, sharedStartMs(this.settings));
  }
}
