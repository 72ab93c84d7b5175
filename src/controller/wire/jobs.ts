/** Bodies of the users' protocol: submissions and job statuses. */
import { isMap, type Fields } from './cbor.js';
import {
  readAmount,
  readBoolean,
  readOptionalAmount,
  readOptionalTexts,
  readSmallInt,
  readText,
  requireMap,
  WireError,
} from './fields.js';

/**
 * Kind of a job. The tasks of a `service` are replicas, which run until the job is cancelled; a lost replica
 * is replaced.
 */
export type JobKind = 'array' | 'gang' | 'service';
/** Priority class of a job, listed from the highest to the lowest. */
export type Priority = 'production' | 'high' | 'normal' | 'low';
/** State of a job as reported to users. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';
/** State of a job that has ended. A terminal state never changes. */
export type TerminalState = 'done' | 'cancelled';

/** A job as it was submitted. */
export interface JobSpec {
  id: string;
  class: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  /** Resources of one task. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Machine types that the tasks may use; null for all types. */
  types: string[] | null;
  /** The only zone that the tasks may use; null for all zones. */
  zone: string | null;
  /** Whether all tasks must run in the same zone. */
  singleZone: boolean;
  /** Whether the tasks should be spread over several zones. */
  spread: boolean;
  /** Whether the tasks may run on spot machines. */
  spot: boolean;
  /** The submitter's estimate of how long a task runs, in seconds. */
  estimatedRunS: number;
  /** Seconds between two checkpoints of a running task; 0 if tasks save none while they run. */
  checkpointIntervalS: number;
  /** Seconds that a task needs to save a checkpoint when it is stopped; 0 if it saves none. */
  checkpointSaveS: number;
  /** Deadline by which the job should end, in seconds after its submission; null if it has none. */
  deadlineS: number | null;
}

/** Maximum number of tasks of a job. */
export const MAX_TASKS = 100_000;
const JOB_ID = /^req-[0-9A-Za-z._-]{1,64}$/;
/** Maximum length of a name in a submission (class, team, image or zone), in characters. */
const MAX_NAME_LENGTH = 200;

const kindsByName: Record<string, JobKind> = { batch: 'array', gang: 'gang', standing: 'service' };
const prioritiesByName: Record<string, Priority> = {
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

/** Returns true if the string has the form of a job id. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

/** Reads a field whose text must be a key of `valuesByName`; returns the value of that key. */
function readOneOf<Value>(valuesByName: Record<string, Value>, map: Fields, field: string): Value {
  const name = readText(map, field);
  const value = Object.hasOwn(valuesByName, name) ? valuesByName[name] : undefined;
  if (value === undefined) throw new WireError(`${field}: unknown value`);
  return value;
}

function readName(map: Fields, field: string): string {
  const value = readText(map, field);
  if (value.length === 0 || value.length > MAX_NAME_LENGTH)
    throw new WireError(`${field}: length out of range`);
  return value;
}

/**
 * Maximum number of machine types in a submission. Together with `MAX_TYPE_NAME_LENGTH`, it keeps the
 * record of a job far below the largest value that the state store accepts.
 */
const MAX_TYPES = 64;
/** Maximum length of the name of a machine type, in characters. */
const MAX_TYPE_NAME_LENGTH = 64;

function readTypeNames(map: Fields): string[] | null {
  const names = readOptionalTexts(map, 'models');
  if (
    names !== null &&
    (names.length > MAX_TYPES || names.some(({ length }) => length > MAX_TYPE_NAME_LENGTH))
  )
    throw new WireError('models: too many or too long');
  return names;
}

/** Reads the id of a submission whose other fields may be invalid; returns null if the id is not valid. */
export function readJobId(body: unknown): string | null {
  const id = isMap(body) ? body['id'] : null;
  return typeof id === 'string' && isJobId(id) ? id : null;
}

/** Reads a submission. Throws a `WireError` that names the invalid field. */
export function readJobSpec(body: unknown): JobSpec {
  const fields = requireMap(body, 'body');
  const id = readText(fields, 'id');
  if (!isJobId(id)) throw new WireError('id: not a job id');
  const kind = readOneOf(kindsByName, fields, 'shape');
  const estimateS = readAmount(fields, 'expect_s');
  if (estimateS === 0 && kind !== 'service') throw new WireError('expect_s: must not be 0');
  return {
    id,
    class: readName(fields, 'shift'),
    team: readName(fields, 'crew'),
    kind,
    priority: readOneOf(prioritiesByName, fields, 'urgency'),
    tasks: readSmallInt(fields, 'duties', 1, MAX_TASKS),
    cpus: readAmount(fields, 'cores'),
    gpus: readAmount(fields, 'cards'),
    memoryGb: readAmount(fields, 'mem_gb'),
    image: readName(fields, 'recipe'),
    imageGb: readAmount(fields, 'pull_gb'),
    types: readTypeNames(fields),
    zone: fields['hall'] == null ? null : readName(fields, 'hall'),
    singleZone: readBoolean(fields, 'same_place'),
    spread: readBoolean(fields, 'scatter'),
    spot: readBoolean(fields, 'loaners'),
    estimatedRunS: estimateS,
    checkpointIntervalS: readAmount(fields, 'bookmark_s'),
    checkpointSaveS: readAmount(fields, 'stow_s'),
    deadlineS: readOptionalAmount(fields, 'due_s'),
  };
}

/**
 * Encodes a job in the form of a submission. The job's record at the state store has this form too.
 */
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

/** Status of a job as reported to users. Optional fields are absent if this node does not know them. */
export interface JobStatus {
  id: string;
  state: JobState;
  /** Number of completed tasks. */
  done?: number;
  /** Number of running tasks. */
  running?: number;
  /** Number of task exits so far, by cause. */
  exits?: Record<string, number>;
  /** Why tasks of the job are waiting, for example because a gang cannot fill its reservation. */
  blocked?: string;
}

/** Encodes the body of a response with the status of a job. */
export function writeJobStatus(status: JobStatus): Fields {
  const fields: Fields = { id: status.id, status: stateNames[status.state] };
  if (status.done !== undefined) fields['done'] = status.done;
  if (status.running !== undefined) fields['running'] = status.running;
  if (status.exits !== undefined && Object.keys(status.exits).length > 0)
    fields['exits'] = status.exits;
  if (status.blocked !== undefined) fields['blocked'] = status.blocked;
  return fields;
}
