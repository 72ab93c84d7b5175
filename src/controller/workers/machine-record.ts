/** Records of machines: who is on them, in the form that the state service keeps. */
import type { Settings } from '../settings/settings.js';
import { isList } from '../wire/cbor.js';
import type { Assignment, Machine, RecordedTask } from '../model/entities.js';
import { encodeJob, sharedStartMs } from '../model/machine-record-size.js';
import type { ResourceRequest } from '../model/resource-request.js';

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
