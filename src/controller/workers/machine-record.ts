/** Records of machines: who is on them, in the form that the state service keeps. */
import type { Settings } from '../settings/settings.js';
import { isList } from '../wire/cbor.js';
import type { Assignment, ResourceRequest } from './assignment.js';
import { adjustCount } from './keyed-counts.js';
import type { Machine } from './machine.js';

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

/** What a record says of a job. */
type RecordedJob = Pick<Assignment, 'jobId' | 'team' | 'request' | 'checkpointSaveS'>;

function encodeJob({ jobId, team, request, checkpointSaveS }: RecordedJob): unknown[] {
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
function sharedStartMs(settings: Settings): number {
  return settings.heartbeatIntervalMs * 2;
}

/** Assignments of one key share a list of tasks in the record. */
function attemptKeyWithin(assignment: Assignment, withinMs: number): string {
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
  add(assignment: Assignment): void {
    this.bytes += TASK_BYTES;
    const ofJob = adjustCount(this.jobs, assignment.jobId, 1);
    if (ofJob === 1) this.bytes += encodedJobBytes(assignment);
    const ofAttempt = adjustCount(this.attempts, this.groupOf(assignment), 1);
    if (ofAttempt === 1) this.bytes += ATTEMPT_BYTES;
  }

  /** A task has been taken off the machine's record. */
  remove(assignment: Assignment): void {
    this.bytes -= TASK_BYTES;
    const ofJob = adjustCount(this.jobs, assignment.jobId, -1);
    if (ofJob === 0) this.bytes -= encodedJobBytes(assignment);
    const ofAttempt = adjustCount(this.attempts, this.groupOf(assignment), -1);
    if (ofAttempt === 0) this.bytes -= ATTEMPT_BYTES;
  }

  private groupOf(assignment: Assignment): string {
    return attemptKeyWithin(assignment, sharedStartMs(this.settings));
  }
}

/** Tasks of one attempt that started close to each other, as they are written. */
interface EncodedAttempt {
  attempt: number;
  /** Number of the span of time in which they started. */
  span: number;
  /** The attempt, the time of its first task, and the numbers of its tasks. */
  encoded: number[];
}

/** Tasks of one job, as they are written. */
interface EncodedJob {
  encoded: unknown[];
  attempts: EncodedAttempt[];
}

/**
 * The record: session, type, zone, kind, address, and by job its tasks by attempt and time. It is
 * written whenever a task comes or goes, so it makes no string for a task.
 */
export function encodeMachineRecord(
  machine: Machine,
  settings: Settings,
  now: number,
  wallClockNow: number,
): unknown {
  const spanMs = sharedStartMs(settings);
  const jobs = new Map<string, EncodedJob>();
  for (const assignment of machine.assignments.values()) {
    let job = jobs.get(assignment.jobId);
    if (job === undefined) {
      job = { encoded: encodeJob(assignment), attempts: [] };
      jobs.set(assignment.jobId, job);
    }
    encodedAttemptOf(job, assignment, spanMs, now, wallClockNow).encoded.push(assignment.task);
  }
  const { agentEpoch, typeName, zone, spot, addr } = machine;
  const tasks = [...jobs.values()].map((job) => job.encoded);
  return [agentEpoch, typeName, zone, spot ? 1 : 0, addr, ...tasks];
}

/** The part of the job's record that the task belongs to. */
function encodedAttemptOf(
  job: EncodedJob,
  { attempt, assignedAt }: Assignment,
  spanMs: number,
  now: number,
  wallClockNow: number,
): EncodedAttempt {
  const span = Math.floor(assignedAt / spanMs);
  const known = job.attempts.find(
    (attemptEntry) => attemptEntry.attempt === attempt && attemptEntry.span === span,
  );
  if (known !== undefined) return known;
  const startedAt = Math.round(wallClockNow - (now - assignedAt));
  const attemptEntry = { attempt, span, encoded: [attempt, startedAt] };
  job.attempts.push(attemptEntry);
  job.encoded.push(attemptEntry.encoded);
  return attemptEntry;
}

/** A task on record, as the leader before has left it. */
export interface RecordedTask {
  jobId: string;
  team: string;
  request: ResourceRequest;
  checkpointSaveS: number;
  attempt: number;
  task: number;
  /** Time of day at which it was assigned. */
  assignedAtWallClock: number;
}

/** A machine's record as it was read. */
export interface MachineRecord {
  agentEpoch: number;
  type: string;
  zone: string;
  spot: boolean;
  addr: string;
  tasks: RecordedTask[];
}

/** null: not a machine's record. */
export function decodeMachineRecord(value: unknown, wallClockNow: number): MachineRecord | null {
  if (!isList(value)) return null;
  const [session, type, zone, spot, addr, ...jobs] = value;
  return {
    agentEpoch: Number(session),
    type: String(type),
    zone: String(zone),
    spot: spot === 1,
    addr: String(addr),
    tasks: jobs.filter(isList).flatMap((job) => decodeJob(job, wallClockNow)),
  };
}

/** The tasks of one job; those without a time of start count as started now. */
function decodeJob(part: readonly unknown[], wallClockNow: number): RecordedTask[] {
  const [jobId, team, cpus, gpus, memoryGb, checkpointSaveS, ...attempts] = part;
  const request: ResourceRequest = {
    cpus: Number(cpus),
    gpus: Number(gpus),
    memoryGb: Number(memoryGb),
  };
  const job = {
    jobId: String(jobId),
    team: String(team),
    request,
    checkpointSaveS: Number(checkpointSaveS),
  };
  const tasks: RecordedTask[] = [];
  for (const [attempt = 0, at = wallClockNow, ...numbers] of attempts.filter(isList)) {
    for (const task of numbers)
      tasks.push({
        ...job,
        attempt: Number(attempt),
        assignedAtWallClock: Number(at),
        task: Number(task),
      });
  }
  return tasks;
}
