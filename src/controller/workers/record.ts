import type { Settings } from '../settings/settings.js';
import { isList } from '../wire/cbor.js';
import type { Assignment, Need } from './assignment.js';
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

type Named = Pick<Assignment, 'jobId' | 'team' | 'need' | 'saveS'>;

function jobPart(a: Named): unknown[] {
  const { cpus, gpus, memoryGb } = a.need;
  return [a.jobId, a.team, cpus, gpus, memoryGb, a.saveS];
}

function jobBytes(a: Named): number {
  return JSON.stringify(jobPart(a)).length + JOB_BYTES;
}

export function recordCost(a: Named): RecordCost {
  return { fixed: jobBytes(a) + ATTEMPT_BYTES, each: TASK_BYTES };
}

/** Bytes for tasks in a machine's record, which has to fit a value of the state service. */
export function recordRoom(settings: Settings): number {
  return settings.valueBytes - HEAD_BYTES;
}

/** Starts this close to each other may share a time in the record; it serves estimates alone. */
function together(settings: Settings): number {
  return settings.reportMs * 2;
}

function attemptName(a: Assignment, withinMs: number): string {
  return `${a.jobId}@${a.attempt}@${Math.floor(a.since / withinMs)}`;
}

/** How large a machine's record is, kept as its tasks come and go. */
export class RecordSize {
  bytes = 0;
  private readonly jobs = new Map<string, number>();
  private readonly attempts = new Map<string, number>();

  constructor(private readonly settings: Settings) {}

  add(a: Assignment): void {
    this.bytes += TASK_BYTES;
    if (count(this.jobs, a.jobId, 1) === 1) this.bytes += jobBytes(a);
    if (count(this.attempts, attemptName(a, together(this.settings)), 1) === 1)
      this.bytes += ATTEMPT_BYTES;
  }

  remove(a: Assignment): void {
    this.bytes -= TASK_BYTES;
    if (count(this.jobs, a.jobId, -1) === 0) this.bytes -= jobBytes(a);
    if (count(this.attempts, attemptName(a, together(this.settings)), -1) === 0)
      this.bytes -= ATTEMPT_BYTES;
  }
}

function count(counts: Map<string, number>, key: string, by: number): number {
  const n = (counts.get(key) ?? 0) + by;
  if (n === 0) counts.delete(key);
  else counts.set(key, n);
  return n;
}

/** Tasks of one attempt that started close to each other, as they are written. */
interface AttemptPart {
  attempt: number;
  /** Number of the span of time in which they started. */
  span: number;
  /** The attempt, the time of its first task, and the numbers of its tasks. */
  written: number[];
}

interface JobPart {
  written: unknown[];
  attempts: AttemptPart[];
}

/**
 * The record: session, type, zone, kind, address, and by job its tasks by attempt and time. It is
 * written whenever a task comes or goes, so it makes no string for a task.
 */
export function writeRecord(m: Machine, settings: Settings, now: number, wall: number): unknown {
  const spanMs = together(settings);
  const jobs = new Map<string, JobPart>();
  for (const a of m.assignments.values()) {
    let job = jobs.get(a.jobId);
    if (job === undefined) {
      job = { written: jobPart(a), attempts: [] };
      jobs.set(a.jobId, job);
    }
    const span = Math.floor(a.since / spanMs);
    let part = job.attempts.find((p) => p.attempt === a.attempt && p.span === span);
    if (part === undefined) {
      const at = Math.round(wall - (now - a.since));
      part = { attempt: a.attempt, span, written: [a.attempt, at] };
      job.attempts.push(part);
      job.written.push(part.written);
    }
    part.written.push(a.task);
  }
  const tasks = [...jobs.values()].map((job) => job.written);
  return [m.session, m.typeName, m.zone, m.spot ? 1 : 0, m.addr, ...tasks];
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
  const tasks: RecordedTask[] = [];
  for (const part of jobs.filter(isList)) {
    const [jobId, team, cpus, gpus, memoryGb, saveS, ...attempts] = part;
    const need: Need = { cpus: Number(cpus), gpus: Number(gpus), memoryGb: Number(memoryGb) };
    const job = { jobId: String(jobId), team: String(team), need, saveS: Number(saveS) };
    for (const [attempt = 0, at = wall, ...numbers] of attempts.filter(isList))
      for (const task of numbers)
        tasks.push({ ...job, attempt: Number(attempt), at: Number(at), task: Number(task) });
  }
  return {
    ...{ session: Number(session), type: String(type), zone: String(zone) },
    ...{ spot: spot === 1, addr: String(addr), tasks },
  };
}
