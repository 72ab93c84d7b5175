/**
 * The stored forms of a machine's two records: one of the machine and its assignments, one of its
 * cached images. Both are lists whose form is fixed, since leaders of other versions read them.
 */
import type { Assignment, Machine, RecordedTask } from '../model/entities.js';
import { encodeJob, sharedStartMs } from '../model/machine-record-size.js';
import type { ResourceRequest } from '../model/resource-request.js';
import type { Settings } from '../settings/settings.js';
import { isList } from '../wire/cbor.js';
import type { MachineDescription } from './machine-registry.js';

/** The encoded tasks of one attempt that were assigned within one span of time. */
interface EncodedAttempt {
  readonly attempt: number;
  /** Number of the span of time in which they were assigned. */
  readonly span: number;
  /** The attempt, the time of its first task, and the numbers of its tasks. */
  readonly encoded: number[];
}

/** The encoded tasks of one job. */
interface EncodedJob {
  /** The job's part of the record; the encoded attempts follow in the same list. */
  readonly encoded: unknown[];
  readonly attempts: EncodedAttempt[];
}

/**
 * Encodes the machine's record: agent epoch, type, zone, 1 for a spot machine, address, and for each job
 * its tasks by attempt and time of assignment. Times are milliseconds of the wall clock, which other
 * controllers share. Encoded whenever a task comes or goes, so it builds no string per task.
 */
export function encodeMachineRecord(
  machine: Machine,
  settings: Settings,
  now: number,
  wallClockNow: number,
): unknown[] {
  const slotMs = sharedStartMs(settings);
  const jobs = new Map<string, EncodedJob>();
  for (const assignment of machine.assignments.values()) {
    let job = jobs.get(assignment.jobId);
    if (job === undefined) {
      job = { encoded: encodeJob(assignment), attempts: [] };
      jobs.set(assignment.jobId, job);
    }
    encodedAttemptOf(job, assignment, slotMs, now, wallClockNow).encoded.push(assignment.task);
  }
  const { agentEpoch, typeName, zone, spot, addr } = machine;
  const tasks = [...jobs.values()].map((job) => job.encoded);
  return [agentEpoch, typeName, zone, spot ? 1 : 0, addr, ...tasks];
}

/** The encoded attempt that the task belongs to; it is added if it is not there. */
function encodedAttemptOf(
  job: EncodedJob,
  { attempt, assignedAt }: Assignment,
  slotMs: number,
  now: number,
  wallClockNow: number,
): EncodedAttempt {
  const timeSlot = Math.floor(assignedAt / slotMs);
  const existing = job.attempts.find(
    (entry) => entry.attempt === attempt && entry.span === timeSlot,
  );
  if (existing !== undefined) return existing;
  const assignedAtWallClock = Math.round(wallClockNow - (now - assignedAt));
  const entry = { attempt, span: timeSlot, encoded: [attempt, assignedAtWallClock] };
  job.attempts.push(entry);
  job.encoded.push(entry.encoded);
  return entry;
}

/** A decoded machine record. */
export interface MachineRecord extends MachineDescription {
  agentEpoch: number;
  tasks: RecordedTask[];
}

/** Decodes a machine's record; tasks without a time count as assigned now. */
export function decodeMachineRecord(
  record: readonly unknown[],
  wallClockNow: number,
): MachineRecord {
  const [agentEpoch, type, zone, spot, addr, ...jobs] = record;
  return {
    agentEpoch: Number(agentEpoch),
    type: String(type),
    zone: String(zone),
    spot: spot === 1,
    addr: String(addr),
    tasks: jobs.filter(isList).flatMap((job) => decodeJob(job, wallClockNow)),
  };
}

/** Decodes the tasks of one job. */
function decodeJob(encoded: readonly unknown[], wallClockNow: number): RecordedTask[] {
  const [jobId, team, cpus, gpus, memoryGb, checkpointSaveS, ...attempts] = encoded;
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
  for (const [attempt = 0, assignedAt = wallClockNow, ...numbers] of attempts.filter(isList)) {
    for (const task of numbers)
      tasks.push({
        ...job,
        attempt: Number(attempt),
        assignedAtWallClock: Number(assignedAt),
        task: Number(task),
      });
  }
  return tasks;
}

/** Encodes the images cached on a machine: each name followed by its size in GB. */
export function encodeImages(images: ReadonlyMap<string, number>): unknown[] {
  return [...images].flat();
}

/** Decodes the images cached on a machine, as names and sizes in GB. */
export function decodeImages(record: readonly unknown[]): [image: string, sizeGb: number][] {
  const images: [string, number][] = [];
  for (let i = 0; i + 1 < record.length; i += 2)
    images.push([String(record[i]), Number(record[i + 1])]);
  return images;
}
