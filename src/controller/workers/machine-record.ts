/**
 * Encodes and decodes the two records of a machine: one holds the machine and its assignments, the
 * other its cached images. Both are lists in a fixed format, because leaders that run other
 * versions of the program read them.
 */
import type { Assignment, Machine, RecordedTask } from '../model/entities.js';
import { encodeJob, assignmentTimeSlotMs } from '../model/machine-record-size.js';
import type { ResourceRequest } from '../model/resource-request.js';
import type { Settings } from '../settings/settings.js';
import { isList } from '../wire/cbor.js';
import { type Int, toInt } from '../wire/integers.js';
import type { MachineDescription } from './machine-registry.js';

/** An attempt number as `encodeAttempt` writes it if JSON would round it. */
const HEXADECIMAL = /^0x[0-9a-f]{1,16}$/;

/** The encoded tasks of one attempt that were assigned in the same time slot. */
interface EncodedAttempt {
  readonly attempt: Int;
  /** Number of the time slot in which the tasks were assigned; see `assignmentTimeSlotMs`. */
  readonly timeSlot: number;
  /** The encoded attempt number, the assignment time of the first task, and the task numbers. */
  readonly encoded: unknown[];
}

/** The encoded tasks of one job. */
interface EncodedJob {
  /** The job's fields as `encodeJob` returns them, followed by the encoded attempts. */
  readonly encoded: unknown[];
  readonly attempts: EncodedAttempt[];
}

/**
 * Encodes the machine's record: agent epoch, type, zone, 1 for a spot machine or else 0, address,
 * and for each job its tasks, grouped by attempt and time of assignment. Times are wall-clock
 * milliseconds, because the monotonic clocks of controllers cannot be compared. The record is
 * encoded each time a task is added or removed, so this function builds no string per task.
 */
export function encodeMachineRecord(
  machine: Machine,
  settings: Settings,
  now: number,
  wallClockNow: number,
): unknown[] {
  const slotMs = assignmentTimeSlotMs(settings);
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

/** Returns the encoded attempt that the assignment belongs to, and adds it if it does not exist. */
function encodedAttemptOf(
  job: EncodedJob,
  { attempt, assignedAt }: Assignment,
  slotMs: number,
  now: number,
  wallClockNow: number,
): EncodedAttempt {
  const timeSlot = Math.floor(assignedAt / slotMs);
  const existing = job.attempts.find(
    (entry) => entry.attempt === attempt && entry.timeSlot === timeSlot,
  );
  if (existing !== undefined) return existing;
  const assignedAtWallClock = Math.round(wallClockNow - (now - assignedAt));
  const entry = { attempt, timeSlot, encoded: [encodeAttempt(attempt), assignedAtWallClock] };
  job.attempts.push(entry);
  job.encoded.push(entry.encoded);
  return entry;
}

/**
 * Encodes an attempt number. Numbers that JSON would round are hexadecimal texts. Older versions read those with
 * `Number`, as rounded as they read numbers of that size anyway.
 */
function encodeAttempt(attempt: Int): number | string {
  return typeof attempt === 'number' ? attempt : `0x${attempt.toString(16)}`;
}

/** Decodes an attempt number. Older versions wrote all of them as numbers, rounded from 2^53 on. */
function decodeAttempt(encoded: unknown): Int {
  if (typeof encoded === 'string' && HEXADECIMAL.test(encoded)) return toInt(BigInt(encoded));
  const attempt = Number(encoded);
  return Number.isInteger(attempt) && attempt > 0 ? toInt(BigInt(attempt)) : 0;
}

/** A decoded machine record. */
export interface MachineRecord extends MachineDescription {
  agentEpoch: number;
  tasks: RecordedTask[];
}

/** Decodes a machine's record. Tasks without an assignment time are treated as assigned now. */
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

/** Decodes the tasks of one job in a machine's record. */
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
        attempt: decodeAttempt(attempt),
        assignedAtWallClock: Number(assignedAt),
        task: Number(task),
      });
  }
  return tasks;
}

/**
 * Encodes the images cached on a machine as a flat list: each name is followed by its size in GB.
 */
export function encodeImages(images: ReadonlyMap<string, number>): unknown[] {
  return [...images].flat();
}

/** Decodes the images cached on a machine into pairs of name and size in GB. */
export function decodeImages(record: readonly unknown[]): [image: string, sizeGb: number][] {
  const images: [string, number][] = [];
  for (let i = 0; i + 1 < record.length; i += 2)
    images.push([String(record[i]), Number(record[i + 1])]);
  return images;
}
