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
export type Cause =
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
export interface TaskReport {
  /** `job/number`, as `splitTask` takes it apart. */
  name: string;
  attempt: Int;
  state: TaskState;
  cause: Cause | null;
  saved: boolean;
}

/** What a worker tells of itself and its tasks. */
export interface Report {
  machine: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: Int;
  token: Int;
  noticeS: number | null;
  tasks: TaskReport[];
}

/** What a worker is to do with a task. */
export type Order =
  | { op: 'start' | 'forget'; name: string; attempt: Int }
  | { op: 'stop'; name: string; attempt: Int; graceS: number };

const states = new Map<string, TaskState>([
  ['pulling', 'fetching'],
  ['waiting', 'waiting'],
  ['running', 'running'],
  ['flushing', 'saving'],
  ['exited', 'exited'],
]);
const causes = new Map<string, Cause>([
  ['done', 'done'],
  ['stopped', 'stopped'],
  ['peers', 'peers'],
  ['alone', 'alone'],
  ['error', 'error'],
  ['no_room', 'no_room'],
  ['in_use', 'busy'],
  ['unknown', 'unknown'],
]);
const verbs = { start: 'run', stop: 'stop', forget: 'clear' } as const;

/** The name of a task among the workers. */
export function taskName(job: string, task: number): string {
  return `${job}/${task}`;
}

/** Throws on what is no task's name. */
export function splitTask(name: string): { job: string; task: number } {
  const slash = name.lastIndexOf('/');
  const digits = name.slice(slash + 1);
  if (slash <= 0 || !/^\d{1,6}$/.test(digits)) throw new WireError('duty: not a task');
  const task = Number(digits);
  if (task >= MAX_TASKS) throw new WireError('duty: not a task');
  return { job: name.slice(0, slash), task };
}

/** Reads a worker's report. */
export function readReport(body: unknown): Report {
  if (!isMap(body)) throw new WireError('report: expected a map');
  return {
    machine: text(body, 'kiln'),
    addr: text(body, 'address'),
    type: text(body, 'model'),
    zone: text(body, 'hall'),
    spot: flagOrFalse(body, 'loaners'),
    session: smallInt(body, 'tenure', 0, Number.MAX_SAFE_INTEGER),
    seq: int(body, 'tally'),
    token: int(body, 'baton'),
    noticeS: amountOrNull(body, 'recall_s'),
    tasks: list(body, 'duties').map(readTask),
  };
}

function readTask(item: unknown): TaskReport {
  if (!isMap(item)) throw new WireError('duties: expected maps');
  const state = states.get(text(item, 'status'));
  if (state === undefined) throw new WireError('status: unknown task state');
  return {
    name: text(item, 'duty'),
    attempt: int(item, 'try'),
    state,
    cause: state === 'exited' ? (causes.get(text(item, 'cause')) ?? 'other') : null,
    saved: state === 'exited' && flagOrFalse(item, 'saved'),
  };
}

function writeOrder(order: Order): Fields {
  const fields: Fields = { verb: verbs[order.op], duty: order.name, try: order.attempt };
  if (order.op === 'stop') fields['leeway_s'] = order.graceS;
  return fields;
}

/** The answer to a report. */
export function writeOrders(token: number, orders: Order[]): Fields {
  return { baton: token, orders: orders.map(writeOrder) };
}

/** A command that is sent to a worker without a report. */
export function writeDirect(token: number, session: number, orders: Order[]): Fields {
  return { baton: token, tenure: session, orders: orders.map(writeOrder) };
}
