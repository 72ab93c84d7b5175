/** The users' protocol: submissions and answers about jobs. */
import {
  amount,
  amountOrNull,
  flag,
  isMap,
  smallInt,
  text,
  textsOrNull,
  WireError,
  type Fields,
} from './cbor.js';

/** `service`: tasks that run until their job is cancelled; each is replaced when it is lost. */
export type JobKind = 'array' | 'gang' | 'service';
/** How urgent a job is, the most urgent first. */
export type Priority = 'production' | 'high' | 'normal' | 'low';
/** What a user is told of a job. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';
/** How a job has ended. */
export type TerminalState = 'done' | 'cancelled';

/** What a user asks for, in the field's terms. */
export interface JobSpec {
  id: string;
  class: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  types: string[] | null;
  zone: string | null;
  singleZone: boolean;
  spread: boolean;
  spot: boolean;
  estimatedRunS: number;
  checkpointIntervalS: number;
  checkpointSaveS: number;
  deadlineS: number | null;
}

/** Most tasks of a job. */
export const MAX_TASKS = 100_000;
const ID = /^req-[0-9A-Za-z._-]{1,64}$/;
const NAME_MAX = 200;

const kinds: Record<string, JobKind> = { batch: 'array', gang: 'gang', standing: 'service' };
const priorities: Record<string, Priority> = {
  critical: 'production',
  high: 'high',
  normal: 'normal',
  best_effort: 'low',
};
const kindNames: Record<JobKind, string> = { array: 'batch', gang: 'gang', service: 'standing' };
const priorityNames: Record<Priority, string> = {
  production: 'critical',
  high: 'high',
  normal: 'normal',
  low: 'best_effort',
};
const stateNames: Record<JobState, string> = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

/** Whether a text is a job's id. */
export function isJobId(id: string): boolean {
  return ID.test(id);
}

function oneOf<Value>(table: Record<string, Value>, map: Fields, name: string): Value {
  const word = text(map, name);
  const found = Object.hasOwn(table, word) ? table[word] : undefined;
  if (found === undefined) throw new WireError(`${name}: unknown value`);
  return found;
}

function name(map: Fields, field: string): string {
  const value = text(map, field);
  if (value.length === 0 || value.length > NAME_MAX)
    throw new WireError(`${field}: length out of range`);
  return value;
}

/** Bounds that keep a job's record well below the size of a value at the state service. */
const TYPES_MAX = 64;
const TYPE_NAME_MAX = 64;

function typeNames(map: Fields): string[] | null {
  const names = textsOrNull(map, 'models');
  if (
    names !== null &&
    (names.length > TYPES_MAX || names.some(({ length }) => length > TYPE_NAME_MAX))
  )
    throw new WireError('models: too many or too long');
  return names;
}

/** The id that a submission names, whatever else is wrong with it. */
export function readJobId(body: unknown): string | null {
  const id = isMap(body) ? body['id'] : null;
  return typeof id === 'string' && isJobId(id) ? id : null;
}

/** Reads a submission; throws a WireError that names the field at fault. */
export function readJobSpec(body: unknown): JobSpec {
  if (!isMap(body)) throw new WireError('body: expected a map');
  const id = text(body, 'id');
  if (!isJobId(id)) throw new WireError('id: not a job id');
  const kind = oneOf(kinds, body, 'shape');
  const estimateS = amount(body, 'expect_s');
  if (estimateS === 0 && kind !== 'service') throw new WireError('expect_s: must not be 0');
  return {
    id,
    class: name(body, 'shift'),
    team: name(body, 'crew'),
    kind,
    priority: oneOf(priorities, body, 'urgency'),
    tasks: smallInt(body, 'duties', 1, MAX_TASKS),
    cpus: amount(body, 'cores'),
    gpus: amount(body, 'cards'),
    memoryGb: amount(body, 'mem_gb'),
    image: name(body, 'recipe'),
    imageGb: amount(body, 'pull_gb'),
    types: typeNames(body),
    zone: body['hall'] == null ? null : name(body, 'hall'),
    singleZone: flag(body, 'same_place'),
    spread: flag(body, 'scatter'),
    spot: flag(body, 'loaners'),
    estimatedRunS: estimateS,
    checkpointIntervalS: amount(body, 'bookmark_s'),
    checkpointSaveS: amount(body, 'stow_s'),
    deadlineS: amountOrNull(body, 'due_s'),
  };
}

/** A job in the form of a submission. */
export function writeJobSpec(spec: JobSpec): Fields {
  return {
    id: spec.id,
    shift: spec.class,
    crew: spec.team,
    shape: kindNames[spec.kind],
    urgency: priorityNames[spec.priority],
    duties: spec.tasks,
    cores: spec.cpus,
    cards: spec.gpus,
    mem_gb: spec.memoryGb,
    recipe: spec.image,
    pull_gb: spec.imageGb,
    models: spec.types,
    hall: spec.zone,
    same_place: spec.singleZone,
    scatter: spec.spread,
    loaners: spec.spot,
    expect_s: spec.estimatedRunS,
    bookmark_s: spec.checkpointIntervalS,
    stow_s: spec.checkpointSaveS,
    due_s: spec.deadlineS,
  };
}

/** What is told of a job. */
export interface JobStatus {
  id: string;
  state: JobState;
  done?: number;
  running?: number;
  /** Exits so far by cause. */
  exits?: Record<string, number>;
  /** Why a gang has not been able to fill its hold. */
  blocked?: string;
}

/** The body of an answer about a job. */
export function writeJobStatus(answer: JobStatus): Fields {
  const out: Fields = { id: answer.id, status: stateNames[answer.state] };
  if (answer.done !== undefined) out['done'] = answer.done;
  if (answer.running !== undefined) out['running'] = answer.running;
  if (answer.exits !== undefined && Object.keys(answer.exits).length > 0)
    out['exits'] = answer.exits;
  if (answer.blocked !== undefined) out['blocked'] = answer.blocked;
  return out;
}
