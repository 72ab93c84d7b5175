/** Records of machines: who is on them, in the form that the state service keeps. */
import type { Settings } from '../settings/settings.js';
import { isList } from '../wire/cbor.js';
import type { Assignment, Need } from './assignment.js';
import { addToCount } from './counts.js';
import type { Machine } from './machine.js';

/** Of what a record says of a task, beside its job and attempt: its number and a comma. */
const TASK_BYTES = 7;
/** An attempt's number, its time, and what frames them. */
const ATTEMPT_BYTES = 40;
/** What frames a job's part; its quotes are escaped once more in a page. */
const JOB_BYTES = 6;
/** The machine's own part, its key, and what a page adds. */
const HEAD_BYTES = 260;

/** Bytes that tasks of a job may add to a machine's record: once, and each. */
export interface RecordCost {
  fixed: number;
  each: number;
}

/** What a record says of a job. */
type JobPart = Pick<Assignment, 'jobId' | 'team' | 'need' | 'saveS'>;

function writeJobPart({ jobId, team, need, saveS }: JobPart): unknown[] {
  return [jobId, team, need.cpus, need.gpus, need.memoryGb, saveS];
}

function jobBytes(job: JobPart): number {
  return JSON.stringify(writeJobPart(job)).length + JOB_BYTES;
}

/** What tasks of the job add to a machine's record. */
export function recordCost(job: JobPart): RecordCost {
  return { fixed: jobBytes(job) + ATTEMPT_BYTES, each: TASK_BYTES };
}

/** Bytes for tasks in a machine's record, which has to fit a value of the state service. */
export function recordRoom(settings: Settings): number {
  return settings.maxValueBytes - HEAD_BYTES;
}

/** Starts this close to each other may share a time in the record; it serves estimates alone. */
function sharedStartMs(settings: Settings): number {
  return settings.heartbeatIntervalMs * 2;
}

/** Assignments of one key share a list of tasks in the record. */
function attemptGroup(assignment: Assignment, withinMs: number): string {
  const { jobId, attempt, since } = assignment;
  return `${jobId}@${attempt}@${Math.floor(since / withinMs)}`;
}

/** How large a machine's record is, kept as its tasks come and go. */
export class RecordSize {
  bytes = 0;
  private readonly jobs = new Map<string, number>();
  private readonly attempts = new Map<string, number>();

  constructor(private readonly settings: Settings) {}

  /** A task has been assigned to the machine. */
  add(assignment: Assignment): void {
    this.bytes += TASK_BYTES;
    const ofJob = addToCount(this.jobs, assignment.jobId, 1);
    if (ofJob === 1) this.bytes += jobBytes(assignment);
    const ofAttempt = addToCount(this.attempts, this.groupOf(assignment), 1);
    if (ofAttempt === 1) this.bytes += ATTEMPT_BYTES;
  }

  /** A task has been taken off the machine's record. */
  remove(assignment: Assignment): void {
    this.bytes -= TASK_BYTES;
    const ofJob = addToCount(this.jobs, assignment.jobId, -1);
    if (ofJob === 0) this.bytes -= jobBytes(assignment);
    const ofAttempt = addToCount(this.attempts, this.groupOf(assignment), -1);
    if (ofAttempt === 0) this.bytes -= ATTEMPT_BYTES;
  }

  private groupOf(assignment: Assignment): string {
    return attemptGroup(assignment, sharedStartMs(this.settings));
  }
}

/** Tasks of one attempt that started close to each other, as they are written. */
interface AttemptPart {
  attempt: number;
  /** Number of the span of time in which they started. */
  span: number;
  /** The attempt, the time of its first task, and the numbers of its tasks. */
  written: number[];
}

/** Tasks of one job, as they are written. */
interface WrittenJob {
  written: unknown[];
  attempts: AttemptPart[];
}

/**
 * The record: session, type, zone, kind, address, and by job its tasks by attempt and time. It is
 * written whenever a task comes or goes, so it makes no string for a task.
 */
export function writeRecord(
  machine: Machine,
  settings: Settings,
  now: number,
  wall: number,
): unknown {
  const spanMs = sharedStartMs(settings);
  const jobs = new Map<string, WrittenJob>();
  for (const assignment of machine.assignments.values()) {
    let job = jobs.get(assignment.jobId);
    if (job === undefined) {
      job = { written: writeJobPart(assignment), attempts: [] };
      jobs.set(assignment.jobId, job);
    }
    attemptPart(job, assignment, spanMs, now, wall).written.push(assignment.task);
  }
  const { session, typeName, zone, spot, addr } = machine;
  const tasks = [...jobs.values()].map((job) => job.written);
  return [session, typeName, zone, spot ? 1 : 0, addr, ...tasks];
}

/** The part of the job's record that the task belongs to. */
function attemptPart(
  job: WrittenJob,
  { attempt, since }: Assignment,
  spanMs: number,
  now: number,
  wall: number,
): AttemptPart {
  const span = Math.floor(since / spanMs);
  const known = job.attempts.find((part) => part.attempt === attempt && part.span === span);
  if (known !== undefined) return known;
  const startedAt = Math.round(wall - (now - since));
  const part = { attempt, span, written: [attempt, startedAt] };
  job.attempts.push(part);
  job.written.push(part.written);
  return part;
}

/** A task on record, as the leader before has left it. */
export interface RecordedTask {
  jobId: string;
  team: string;
  need: Need;
  saveS: number;
  attempt: number;
  task: number;
  /** Time of day at which it was assigned. */
  at: number;
}

/** A machine's record as it was read. */
export interface MachineRecord {
  session: number;
  type: string;
  zone: string;
  spot: boolean;
  addr: string;
  tasks: RecordedTask[];
}

/** null: not a machine's record. */
export function readRecord(value: unknown, wall: number): MachineRecord | null {
  if (!isList(value)) return null;
  const [session, type, zone, spot, addr, ...jobs] = value;
  return {
    session: Number(session),
    type: String(type),
    zone: String(zone),
    spot: spot === 1,
    addr: String(addr),
    tasks: jobs.filter(isList).flatMap((job) => readJobPart(job, wall)),
  };
}

/** The tasks of one job; those without a time of start count as started now. */
function readJobPart(part: readonly unknown[], wall: number): RecordedTask[] {
  const [jobId, team, cpus, gpus, memoryGb, saveS, ...attempts] = part;
  const need: Need = { cpus: Number(cpus), gpus: Number(gpus), memoryGb: Number(memoryGb) };
  const job = { jobId: String(jobId), team: String(team), need, saveS: Number(saveS) };
  const tasks: RecordedTask[] = [];
  for (const [attempt = 0, at = wall, ...numbers] of attempts.filter(isList)) {
    for (const task of numbers)
      tasks.push({ ...job, attempt: Number(attempt), at: Number(at), task: Number(task) });
  }
  return tasks;
}
