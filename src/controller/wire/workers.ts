/** Bodies of the workers' protocol: heartbeats, their responses with commands, and direct commands. */
import { isMap, type Fields } from './cbor.js';
import {
  readInt,
  readList,
  readOptionalAmount,
  readOptionalBoolean,
  readSmallInt,
  readText,
  requireMap,
  WireError,
} from './fields.js';
import type { Int } from './integers.js';
import { MAX_TASKS } from './jobs.js';

/** State of a task on its machine. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** Why a task has exited. Responses to users use the same names. */
export type ExitCause =
  | 'done'
  | 'stopped'
  | 'peers'
  | 'alone'
  | 'error'
  | 'no_room'
  | 'busy'
  | 'unknown'
  /** A cause that this version does not know. It is treated like the cause `unknown`. */
  | 'other';

/** State of one task in a heartbeat. */
export interface TaskStatus {
  /** Job id and task number, separated by a slash; see `parseTaskName`. */
  name: string;
  attempt: Int;
  state: TaskState;
  /** Why the task has exited; null if it has not exited. */
  cause: ExitCause | null;
  /** Whether the task has exited and saved a checkpoint. */
  checkpointSaved: boolean;
}

/** A heartbeat: the state of a worker and of its tasks. */
export interface Heartbeat {
  /** Id of the machine. */
  machine: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Epoch of the worker's agent. Once it has advanced, tasks of earlier epochs are gone (invariant 5). */
  agentEpoch: number;
  /** Number of the heartbeat, which increases with each heartbeat of the same epoch. */
  sequence: Int;
  /** The highest fencing token that the worker has seen. The worker refuses lower tokens (invariant 6). */
  fencingToken: Int;
  /** Seconds until the spot machine is interrupted; null if no interruption notice was given. */
  spotNoticeS: number | null;
  tasks: TaskStatus[];
}

/**
 * A command to a worker about the task `name`. After `stop` the task has `graceS` seconds to save a
 * checkpoint. `forget` removes an exited task from the worker.
 */
export type WorkerCommand =
  | { op: 'start' | 'forget'; name: string; attempt: Int }
  | { op: 'stop'; name: string; attempt: Int; graceS: number };

const taskStates = new Map<string, TaskState>([
  ['pulling', 'fetching'],
  ['waiting', 'waiting'],
  ['running', 'running'],
  ['flushing', 'saving'],
  ['exited', 'exited'],
]);
const exitCauses = new Map<string, ExitCause>([
  ['done', 'done'],
  ['stopped', 'stopped'],
  ['peers', 'peers'],
  ['alone', 'alone'],
  ['error', 'error'],
  ['no_room', 'no_room'],
  ['in_use', 'busy'],
  ['unknown', 'unknown'],
]);
const commandVerbs = { start: 'run', stop: 'stop', forget: 'clear' } as const;

/** Returns the name of a task in the workers' protocol. */
export function taskName(job: string, task: number): string {
  return `${job}/${task}`;
}

/** Splits a task's name into job id and task number. Throws a `WireError` if it is not a task's name. */
export function parseTaskName(name: string): { job: string; task: number } {
  const slashIndex = name.lastIndexOf('/');
  const digits = name.slice(slashIndex + 1);
  if (slashIndex <= 0 || !/^\d{1,6}$/.test(digits)) throw new WireError('duty: not a task');
  const task = Number(digits);
  if (task >= MAX_TASKS) throw new WireError('duty: not a task');
  return { job: name.slice(0, slashIndex), task };
}

/** Reads a heartbeat. */
export function readHeartbeat(body: unknown): Heartbeat {
  const fields = requireMap(body, 'report');
  return {
    machine: readText(fields, 'kiln'),
    addr: readText(fields, 'address'),
    type: readText(fields, 'model'),
    zone: readText(fields, 'hall'),
    spot: readOptionalBoolean(fields, 'loaners'),
    agentEpoch: readSmallInt(fields, 'tenure', 0, Number.MAX_SAFE_INTEGER),
    sequence: readInt(fields, 'tally'),
    fencingToken: readInt(fields, 'baton'),
    spotNoticeS: readOptionalAmount(fields, 'recall_s'),
    tasks: readList(fields, 'duties').map(readTaskStatus),
  };
}

function readTaskStatus(item: unknown): TaskStatus {
  if (!isMap(item)) throw new WireError('duties: expected maps');
  const state = taskStates.get(readText(item, 'status'));
  if (state === undefined) throw new WireError('status: unknown task state');
  return {
    name: readText(item, 'duty'),
    attempt: readInt(item, 'try'),
    state,
    cause: state === 'exited' ? (exitCauses.get(readText(item, 'cause')) ?? 'other') : null,
    checkpointSaved: state === 'exited' && readOptionalBoolean(item, 'saved'),
  };
}

function writeCommand(command: WorkerCommand): Fields {
  const fields: Fields = {
    verb: commandVerbs[command.op],
    duty: command.name,
    try: command.attempt,
  };
  if (command.op === 'stop') fields['leeway_s'] = command.graceS;
  return fields;
}

/** Encodes the response to a heartbeat. */
export function writeHeartbeatResponse(fencingToken: Int, commands: WorkerCommand[]): Fields {
  return { baton: fencingToken, orders: commands.map(writeCommand) };
}

/**
 * Encodes commands that are sent to a worker without waiting for its next heartbeat. The worker accepts only
 * fencing tokens that are not lower than the highest that it has seen (invariant 6).
 */
export function writeDirectCommands(
  fencingToken: Int,
  agentEpoch: number,
  commands: WorkerCommand[],
): Fields {
  return { baton: fencingToken, tenure: agentEpoch, orders: commands.map(writeCommand) };
}
