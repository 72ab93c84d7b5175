/** The workers' protocol: heartbeats, the commands in their responses, and direct commands. */
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
  type Int,
} from './fields.js';
import { MAX_TASKS } from './jobs.js';

/** State of a task on its machine. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** Why a task has exited. The names are also those in responses to users. */
export type ExitCause =
  | 'done'
  | 'stopped'
  | 'peers'
  | 'alone'
  | 'error'
  | 'no_room'
  | 'busy'
  | 'unknown'
  /** A cause that this version does not know; treated like an unexplained exit. */
  | 'other';

/** State of one task in a heartbeat. */
export interface TaskStatus {
  /** `job/number`; see `parseTaskName`. */
  name: string;
  attempt: Int;
  state: TaskState;
  /** `null` until the task has exited. */
  cause: ExitCause | null;
  /** The task has exited and saved a checkpoint. */
  checkpointSaved: boolean;
}

/** A heartbeat: what a worker tells of itself and its tasks. */
export interface Heartbeat {
  /** Id of the machine. */
  machine: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Epoch of the worker's agent: once it has advanced, tasks of earlier epochs are gone (invariant 5). */
  agentEpoch: number;
  /** Increases with each heartbeat of the epoch. */
  sequence: Int;
  /** The highest fencing token that the worker has seen (invariant 6). */
  fencingToken: Int;
  /** Time until the spot machine is interrupted, `null` without a notice. */
  spotNoticeS: number | null;
  tasks: TaskStatus[];
}

/** What a worker is to do with a task. `name` is the task's name. */
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

/** The name of a task towards the workers. */
export function taskName(job: string, task: number): string {
  return `${job}/${task}`;
}

/** The job and number in a task's name. Throws a `WireError` on any other text. */
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

/** The response to a heartbeat. */
export function writeHeartbeatResponse(fencingToken: number, commands: WorkerCommand[]): Fields {
  return { baton: fencingToken, orders: commands.map(writeCommand) };
}

/** Commands that are sent to a worker without waiting for its heartbeat (invariant 6). */
export function writeDirectCommands(
  fencingToken: number,
  agentEpoch: number,
  commands: WorkerCommand[],
): Fields {
  return { baton: fencingToken, tenure: agentEpoch, orders: commands.map(writeCommand) };
}
