/**
 * How many bytes the tasks of a machine take in its record, which has to fit one value of the state
 * store. Counted as tasks come and go, since placement asks before each start.
 */
import type { Settings } from '../settings/settings.js';
import { adjustCount } from './keyed-counts.js';
import type { ResourceRequest } from './resource-request.js';

/** Of what a record says of a task, beside its job and attempt: its number and a comma. */
const TASK_BYTES = 7;
/** An attempt's number, its time, and what frames them. */
const ATTEMPT_BYTES = 40;
/** What frames a job's part; its quotes are escaped once more in a page. */
const JOB_BYTES = 6;
/** The machine's own part, its key, and what a page adds. */
const HEADER_BYTES = 260;

/** Bytes that tasks of a job may add to a machine's record: once, and each. */
export interface RecordSpace {
  bytesPerJob: number;
  bytesPerTask: number;
}

/** What a machine's record says of a job. */
export interface RecordedJob {
  readonly jobId: string;
  readonly team: string;
  readonly request: ResourceRequest;
  /** Seconds that a task of it needs to save its state. */
  readonly checkpointSaveS: number;
}

/** What a machine's record says of a task. */
export interface RecordedAssignment extends RecordedJob {
  readonly attempt: number;
  /** When it was assigned, on this node's steady clock. */
  readonly assignedAt: number;
}

/** The job's part of a machine's record; the parts of its attempts follow in the same list. */
export function encodeJob({ jobId, team, request, checkpointSaveS }: RecordedJob): unknown[] {
  return [jobId, team, request.cpus, request.gpus, request.memoryGb, checkpointSaveS];
}

function encodedJobBytes(job: RecordedJob): number {
  return JSON.stringify(encodeJob(job)).length + JOB_BYTES;
}

/** What tasks of the job add to a machine's record. */
export function recordSpaceOf(job: RecordedJob): RecordSpace {
  return { bytesPerJob: encodedJobBytes(job) + ATTEMPT_BYTES, bytesPerTask: TASK_BYTES };
}

/** Bytes for tasks in a machine's record, which has to fit a value of the state service. */
export function recordCapacityBytes(settings: Settings): number {
  return settings.maxValueBytes - HEADER_BYTES;
}

/** Starts this close to each other may share a time in the record; it serves estimates alone. */
export function sharedStartMs(settings: Settings): number {
  return settings.heartbeatIntervalMs * 2;
}

/** Assignments of one key share a list of tasks in the record. */
function attemptKeyWithin(assignment: RecordedAssignment, withinMs: number): string {
  const { jobId, attempt, assignedAt } = assignment;
  return `${jobId}@${attempt}@${Math.floor(assignedAt / withinMs)}`;
}

/** How large a machine's record is, kept as its tasks come and go. */
export class MachineRecordSize {
  bytes = 0;
  private readonly jobs = new Map<string, number>();
  private readonly attempts = new Map<string, number>();

  constructor(private readonly settings: Settings) {}

  /** A task has been assigned to the machine. */
  add(assignment: RecordedAssignment): void {
    this.bytes += TASK_BYTES;
    const ofJob = adjustCount(this.jobs, assignment.jobId, 1);
    if (ofJob === 1) this.bytes += encodedJobBytes(assignment);
    const ofAttempt = adjustCount(this.attempts, this.groupOf(assignment), 1);
    if (ofAttempt === 1) this.bytes += ATTEMPT_BYTES;
  }

  /** A task has been taken off the machine's record. */
  remove(assignment: RecordedAssignment): void {
    this.bytes -= TASK_BYTES;
    const ofJob = adjustCount(this.jobs, assignment.jobId, -1);
    if (ofJob === 0) this.bytes -= encodedJobBytes(assignment);
    const ofAttempt = adjustCount(this.attempts, this.groupOf(assignment), -1);
    if (ofAttempt === 0) this.bytes -= ATTEMPT_BYTES;
  }

  private groupOf(assignment: RecordedAssignment): string {
    return attemptKeyWithin(assignment, sharedStartMs(this.settings));
  }
}
