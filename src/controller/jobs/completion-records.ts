/** Stored records of completed tasks: a bit for each, in records of a fixed number of tasks. */
import type { RecordStore } from '../store/record-store.js';
import type { Job } from '../model/entities.js';

/** Tasks whose bits one record holds. */
const TASKS_PER_RECORD = 8192;
const BITS_PER_BYTE = 8;
const KEY_PREFIX = 'p/';

function recordKey(jobId: string, chunk: number): string {
  return `${KEY_PREFIX}${jobId}/${chunk}`;
}

function chunkOf(task: number): number {
  return Math.floor(task / TASKS_PER_RECORD);
}

/** The value of a chunk's record: its bits, lowest task first, in base64. */
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

/** Marks the tasks as done whose bits are set in the value of a chunk's record. */
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
 * Records of completed tasks of the leader's jobs. A worker is told to clear a completed task only
 * once that is on record (invariant 4).
 */
export class CompletionRecords {
  /** Tasks completed since the last flush, by job. */
  private readonly unwritten = new Map<Job, Set<number>>();

  /** @param onRecorded - the completion of this task is on record; called once for each */
  constructor(
    private readonly records: Pick<RecordStore, 'list' | 'has' | 'set'>,
    private readonly onRecorded: (job: Job, task: number) => void,
  ) {}

  /** Marks what the leaders before have recorded, and removes records of jobs that have ended. */
  load(jobs: ReadonlyMap<string, Job>): void {
    for (const { key, value } of this.records.list(KEY_PREFIX)) {
      const [id = '', chunkText] = key.slice(KEY_PREFIX.length).split('/');
      const job = jobs.get(id);
      if (job === undefined) this.records.set(key, undefined, 'deferrable');
      else if (typeof value === 'string' && !job.isService)
        decodeChunk(job, Number(chunkText), value);
    }
  }

  /** Notes a completed task, to be written with the next flush. */
  add(job: Job, task: number): void {
    let tasks = this.unwritten.get(job);
    if (tasks === undefined) {
      tasks = new Set();
      this.unwritten.set(job, tasks);
    }
    tasks.add(task);
  }

  /** Drops what is not written of the job: its terminal record is being written, which tells all. */
  discard(job: Job): void {
    this.unwritten.delete(job);
  }

  /** Removes the records of a job that has ended. */
  remove(job: Job): void {
    this.discard(job);
    const chunks = Math.ceil(job.spec.tasks / TASKS_PER_RECORD);
    for (let chunk = 0; chunk < chunks; chunk++) {
      const key = recordKey(job.spec.id, chunk);
      if (this.records.has(key)) this.records.set(key, undefined, 'deferrable');
    }
  }

  /** Writes what was noted since the last flush, one write for each record. */
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
