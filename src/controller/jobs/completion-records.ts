/** Stored records of completed tasks: bitmaps that each cover a fixed number of a job's tasks. */
import type { RecordStore } from '../store/record-store.js';
import type { Job } from '../model/entities.js';

/** Number of tasks covered by one record. The tasks covered by one record are called a chunk. */
const TASKS_PER_RECORD = 8192;
const BITS_PER_BYTE = 8;
const KEY_PREFIX = 'p/';

function recordKey(jobId: string, chunk: number): string {
  return `${KEY_PREFIX}${jobId}/${chunk}`;
}

function chunkOf(task: number): number {
  return Math.floor(task / TASKS_PER_RECORD);
}

/** Encodes a chunk's record: one bit per task, lowest task first, in base64. */
function encodeChunk(job: Job, chunk: number): string {
  const firstTask = chunk * TASKS_PER_RECORD;
  const size = Math.min(TASKS_PER_RECORD, job.spec.tasks - firstTask);
  const bits = Buffer.alloc(Math.ceil(size / BITS_PER_BYTE));
  for (let index = 0; index < size; index++) {
    if (job.done[firstTask + index] !== 1) continue;
    const byte = index >> 3;
    bits[byte] = (bits[byte] ?? 0) | (1 << (index & 7));
  }
  return bits.toString('base64');
}

/** Marks as done the tasks whose bits are set in the chunk's record. */
function decodeChunk(job: Job, chunk: number, value: string): void {
  const bits = Buffer.from(value, 'base64');
  const firstTask = chunk * TASKS_PER_RECORD;
  const size = Math.min(TASKS_PER_RECORD, job.spec.tasks - firstTask);
  for (let index = 0; index < size; index++) {
    const task = firstTask + index;
    const isSet = ((bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
    if (!isSet || job.done[task] === 1) continue;
    job.done[task] = 1;
    job.doneRecorded[task] = 1;
    job.doneCount++;
    job.doneRecordedCount++;
  }
}

/**
 * Records which tasks of the leader's jobs are completed. A worker is sent the command to clear a
 * completed task only after the completion has been recorded (invariant 4).
 */
export class CompletionRecords {
  /** Tasks that were completed since the last flush, by job. */
  private readonly unwritten = new Map<Job, Set<number>>();

  /** @param onRecorded - called once per task when its completion has been recorded */
  constructor(
    private readonly records: Pick<RecordStore, 'list' | 'has' | 'set'>,
    private readonly onRecorded: (job: Job, task: number) => void,
  ) {}

  /**
   * Marks as done the tasks whose completion previous leaders have recorded, and removes the
   * records of jobs that are no longer active.
   *
   * @param jobs - all active jobs by id
   */
  load(jobs: ReadonlyMap<string, Job>): void {
    for (const { key, value } of this.records.list(KEY_PREFIX)) {
      const [id = '', chunkText] = key.slice(KEY_PREFIX.length).split('/');
      const job = jobs.get(id);
      if (job === undefined) this.records.set(key, undefined, 'deferrable');
      else if (typeof value === 'string' && !job.isService)
        decodeChunk(job, Number(chunkText), value);
    }
  }

  /** Adds a completed task, which is written with the next flush. */
  add(job: Job, task: number): void {
    let tasks = this.unwritten.get(job);
    if (tasks === undefined) {
      tasks = new Set();
      this.unwritten.set(job, tasks);
    }
    tasks.add(task);
  }

  /**
   * Drops the job's unwritten completions. Called when the job's terminal record is written, which
   * makes them unnecessary.
   */
  discard(job: Job): void {
    this.unwritten.delete(job);
  }

  /** Removes the completion records of a job that has ended. */
  remove(job: Job): void {
    this.discard(job);
    const chunks = Math.ceil(job.spec.tasks / TASKS_PER_RECORD);
    for (let chunk = 0; chunk < chunks; chunk++) {
      const key = recordKey(job.spec.id, chunk);
      if (this.records.has(key)) this.records.set(key, undefined, 'deferrable');
    }
  }

  /** Writes the completions added since the last flush, with one write per record. */
  flush(): void {
    for (const [job, tasks] of this.unwritten) this.write(job, [...tasks]);
    this.unwritten.clear();
  }

  private write(job: Job, tasks: readonly number[]): void {
    for (const chunk of new Set(tasks.map(chunkOf))) {
      const chunkTasks = tasks.filter((task) => chunkOf(task) === chunk);
      const key = recordKey(job.spec.id, chunk);
      this.records.set(key, encodeChunk(job, chunk), 'urgent', () =>
        this.markRecorded(job, chunkTasks),
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
