/** The workers' protocol: reports, orders and direct commands. */
import {
  amountOrNull,
  flagOrFalse,
  int,
  isMap,
  list,
  smallInt,
  text,
  WireError,
  type Fields,
  type Int,
} from './cbor.js';
import { MAX_TASKS } from './jobs.js';

/** State of a task on its machine. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** Why a task has exited. */
export type ExitCause =
  | 'done'
  | 'stopped'
  | 'peers'
  | 'alone'
  | 'error'
  | 'no_room'
  | 'busy'
  | 'unknown'
  /** A cause of a later version of the protocol; treated like an unexplained exit. */
  | 'other';

/** What a worker tells of one task. */
export interface TaskStatus {
  /** `job/number`, as `splitTask` takes it apart. */
  name: string;
  attempt: Int;
  state: TaskState;
  cause: ExitCause | null;
  checkpointSaved: boolean;
}

/** What a worker tells of itself and its tasks. */
export interface Heartbeat {
  machine: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: Int;
  fencingToken: Int;
  spotNoticeS: number | null;
  tasks: TaskStatus[];
}

/** What a worker is to do with a task. */
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

/** The name of a task among the workers. */
export function taskName(job: string, task: number): string {
  return `${job}/${task}`;
}

/** Throws on what is no task's name. */
export function parseTaskName(name: string): { job: string; task: number } {
  const slash = name.lastIndexOf('/');
  const digits = name.slice(slash + 1);
  if (slash <= 0 || !/^\d{1,6}$/.test(digits)) throw new WireError('duty: not a task');
  const task = Number(digits);
  if (task >= MAX_TASKS) throw new WireError('duty: not a task');
  return { job: name.slice(0, slash), task };
}

/** Reads a worker's report. */
export function readHeartbeat(body: unknown): Heartbeat {
  if (!isMap(body)) throw new WireError('report: expected a map');
  return {
    machine: text(body, 'kiln'),
    addr: text(body, 'address'),
    type: text(body, 'model'),
    zone: text(body, 'hall'),
    spot: flagOrFalse(body, 'loaners'),
    agentEpoch: smallInt(body, 'tenure', 0, Number.MAX_SAFE_INTEGER),
    sequence: int(body, 'tally'),
    fencingToken: int(body, 'baton'),
    spotNoticeS: amountOrNull(body, 'recall_s'),
    tasks: list(body, 'duties').map(readTaskStatus),
  };
}

function readTaskStatus(item: unknown): TaskStatus {
  if (!isMap(item)) throw new WireError('duties: expected maps');
  const state = taskStates.get(text(item, 'status'));
  if (state === undefined) throw new WireError('status: unknown task state');
  return {
    name: text(item, 'duty'),
    attempt: int(item, 'try'),
    state,
    cause: state === 'exited' ? (exitCauses.get(text(item, 'cause')) ?? 'other') : null,
    checkpointSaved: state === 'exited' && flagOrFalse(item, 'saved'),
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

/** The answer to a report. */
export function writeHeartbeatResponse(fencingToken: number, orders: WorkerCommand[]): Fields {
  return { baton: fencingToken, orders: orders.map(writeCommand) };
}

/** A command that is sent to a worker without a report. */
export function writeDirectCommands(
  fencingToken: number,
  agentEpoch: number,
  orders: WorkerCommand[],
): Fields {
  return { baton: fencingToken, tenure: agentEpoch, orders: orders.map(writeCommand) };
}
