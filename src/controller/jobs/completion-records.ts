/** Which tasks are done, on record: a bit for each task, in records of a fixed number of tasks. */
import type { RecordStore } from '../store/record-store.js';
import type { Job } from '../model/entities.js';

/** Tasks whose completion one record holds. */
const TASKS_PER_RECORD = 8192;
const BITS_PER_BYTE = 8;
const KEY_PREFIX = 'p/';

function recordKey(jobId: string, chunk: number): string {
  return `${KEY_PREFIX}${jobId}/${chunk}`;
}

function chunkOf(task: number): number {
  return Math.floor(task / TASKS_PER_RECORD);
}

/** The record's value: the job's done tasks of the chunk. */
function encodeChunk(job: Job, chunk: number): string {
  const from = chunk * TASKS_PER_RECORD;
  const size = Math.min(TASKS_PER_RECORD, job.spec.tasks - from);
  const bits = Buffer.alloc(Math.ceil(size / BITS_PER_BYTE));
  for (let index = 0; index < size; index++) {
    if (job.done[from + index] !== 1) continue;
    const byte = index >> 3;
    bits[byte] = (bits[byte] ?? 0) | (1 << (index & 7));
  }
  return bits.toString('base64');
}

/** Marks the tasks done that the record's value shows. */
function decodeChunk(job: Job, chunk: number, value: string): void {
  const bits = Buffer.from(value, 'base64');
  const from = chunk * TASKS_PER_RECORD;
  const size = Math.min(TASKS_PER_RECORD, job.spec.tasks - from);
  for (let index = 0; index < size; index++) {
    const task = from + index;
    const set = ((bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
    if (!set || job.done[task] === 1) continue;
    job.done[task] = 1;
    job.doneRecorded[task] = 1;
    job.doneCount++;
    job.doneRecordedCount++;
  }
}

/** Records of done tasks of the leader's jobs. */
export class CompletionRecords {
  /** Tasks done since the last write, by job. */
  private readonly unwritten = new Map<Job, Set<number>>();

  constructor(
    private readonly records: Pick<RecordStore, 'list' | 'has' | 'set'>,
    /** The completion of this task is on record. */
    private readonly onRecorded: (job: Job, task: number) => void,
  ) {}

  /** Takes in what the leaders before have recorded; records of ended jobs go. */
  load(jobs: ReadonlyMap<string, Job>): void {
    for (const { key, value } of this.records.list(KEY_PREFIX)) {
      const [id = '', chunk] = key.slice(KEY_PREFIX.length).split('/');
      const job = jobs.get(id);
      if (job === undefined) this.records.set(key, undefined, 'deferrable');
      else if (typeof value === 'string' && !job.isService) decodeChunk(job, Number(chunk), value);
    }
  }

  /** The task is done; written with the next flush. */
  add(job: Job, task: number): void {
    let tasks = this.unwritten.get(job);
    if (tasks === undefined) {
      tasks = new Set();
      this.unwritten.set(job, tasks);
    }
    tasks.add(task);
  }

  /** The job is complete: its end is written, and no more completions. */
  discard(job: Job): void {
    this.unwritten.delete(job);
  }

  /** The job has ended: its records go. */
  remove(job: Job): void {
    this.discard(job);
    const chunks = Math.ceil(job.spec.tasks / TASKS_PER_RECORD);
    for (let chunk = 0; chunk < chunks; chunk++) {
      const key = recordKey(job.spec.id, chunk);
      if (this.records.has(key)) this.records.set(key, undefined, 'deferrable');
    }
  }

  /** Once a batch: the completions of the batch, one write for each record. */
  flush(): void {
    for (const [job, tasks] of this.unwritten) this.write(job, [...tasks]);
    this.unwritten.clear();
  }

  private write(job: Job, tasks: readonly number[]): void {
    for (const chunk of new Set(tasks.map(chunkOf))) {
      const inChunk = tasks.filter((task) => chunkOf(task) === chunk);
      const key = recordKey(job.spec.id, chunk);
      this.records.set(key, encodeChunk(job, chunk), 'urgent', () =>
        this.markRecorded(job, inChunk),
      );
    }
  }

  private markRecorded(job: Job, tasks: readonly number[]): void {
    for (const task of tasks) {
      if (job.doneRecorded[task] === 1) continue;
      job.doneRecorded[task] = 1;
      job.doneRecordedCount++;
      this.onRecorded(job, task);
    }
  }
}
