/** The leader's table of jobs: how they become known, are done and end. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { RecordStore } from '../store/record-store.js';
import { isMap } from '../wire/cbor.js';
import { readJobSpec, type TerminalState, type JobSpec } from '../wire/jobs.js';
import type { ExitCause } from '../wire/workers.js';
import { Completions } from './completions.js';
import { finalKey, finalRecord, liveKey, readFinal } from './job-records.js';
import { Job } from './job.js';

export { Job, levels, type GangReservation } from './job.js';
export { Pending } from './pending.js';

/** What the table tells the other parts of the leader. */
export interface TableHooks {
  /** The leader before has left only parts of a gang. */
  torn(job: Job): void;
  /** The job has ended somehow: nothing of it should run. */
  vanished(job: Job): void;
  /** The job has ended: its tasks must go from their machines. */
  closed(job: Job): void;
  /** A job became known to this leader. */
  added(job: Job): void;
  /** Something became placeable. */
  changed(): void;
  /** Completion of this task is on record. */
  recorded(job: Job, task: number): void;
  /** A job's end is known. */
  ended(id: string, state: TerminalState): void;
}

/** Waits before an end that could not be read is looked for again. */
const FIND_END_RETRY_MS = 200;
const FIND_END_RETRY_DOWN_MS = 1000;

/** The leader's jobs: all that have not ended. */
export class JobTable {
  readonly jobs = new Map<string, Job>();
  private readonly completions: Completions;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    private readonly records: RecordStore,
    private readonly hooks: TableHooks,
  ) {
    this.completions = new Completions(records, (job, task) => hooks.recorded(job, task));
  }

  /** A live record, read at takeover or seen in the watch. */
  add(id: string, value: unknown, version: number): void {
    if (this.jobs.has(id)) return;
    const job = this.read(id, value, version);
    if (job === null) return;
    this.jobs.set(id, job);
    this.hooks.added(job);
    const { class: className, team, tasks, image, imageGb } = job.spec;
    this.eventLoop.log.debug(
      { job: id, class: className, team, tasks, image, gb: imageGb },
      'job known',
    );
    this.hooks.changed();
  }

  private read(id: string, value: unknown, version: number): Job | null {
    const spec = this.readSpec(id, value);
    if (spec === null || !isMap(value)) return null;
    const now = this.eventLoop.now();
    const wall = this.eventLoop.runtime.wallClock();
    const acceptedAt = typeof value['at'] === 'number' ? value['at'] : wall;
    return new Job(spec, now - Math.max(0, wall - acceptedAt), version, now);
  }

  private readSpec(id: string, value: unknown): JobSpec | null {
    try {
      if (!isMap(value)) throw new Error('not a map');
      return readJobSpec(value['job']);
    } catch (err) {
      this.eventLoop.log.error({ job: id, err }, 'unreadable job record');
      return null;
    }
  }

  /** What the leaders before have recorded as done, read at takeover. */
  load(): void {
    this.completions.load(this.jobs);
  }

  /** After all has been read: what is left to place, and jobs that only lack their end. */
  settle(): void {
    for (const job of this.jobs.values()) {
      job.pending.keep((task) => job.done[task] !== 1 && !job.assigned.has(task));
      // A gang of which some parts are still about starts again as a whole once they are gone.
      if (job.spec.kind === 'gang' && job.assigned.size > 0) {
        const attempts = new Set(
          [...job.assigned.values()].map((assignment) => assignment.attempt),
        );
        if (job.pending.length > 0 || attempts.size > 1) this.hooks.torn(job);
        job.pending.keep(() => false);
      }
      if (job.complete) this.finish(job);
    }
  }

  /**
   * The live record is gone and this leader did not remove it. Most likely its user has cancelled
   * it; but a leader that has been replaced without knowing it yet sees the same when its successor
   * finishes the job. So the tasks are stopped, and how the job ended is read, never guessed.
   */
  removed(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.ending) return;
    job.ending = true;
    job.vanished = true;
    this.hooks.vanished(job);
    this.findEnd(job);
  }

  /** The job is known to have been cancelled. */
  cancelled(id: string): void {
    const job = this.jobs.get(id);
    if (job !== undefined) this.close(job, 'cancelled');
  }

  private close(job: Job, state: TerminalState): void {
    if (job.closed !== null) return;
    job.closed = state;
    job.pending.keep(() => false);
    job.reservation = null;
    this.jobs.delete(job.spec.id);
    this.completions.remove(job);
    this.eventLoop.log.info({ job: job.spec.id, state, exits: job.exits }, 'job ended');
    this.hooks.ended(job.spec.id, state);
    this.hooks.closed(job);
  }

  /** An attempt of one of its tasks has ended so. */
  countExit(job: Job, cause: ExitCause | 'lost'): void {
    job.exits[cause] = (job.exits[cause] ?? 0) + 1;
  }

  /** A report shows the task done. It may be cleared once that is on record. */
  markDone(job: Job, task: number): void {
    if (job.closed !== null || job.standing || job.done[task] === 1) return;
    job.done[task] = 1;
    job.doneCount++;
    job.changed = true;
    job.pending.drop(task);
    if (job.complete) {
      this.completions.drop(job);
      this.finish(job);
      return;
    }
    this.completions.add(job, task);
  }

  /** The task is on no machine and not done. */
  putBack(job: Job, task: number): void {
    if (job.closed !== null || job.done[task] === 1) return;
    // Twice in the list would be twice on machines.
    if (job.assigned.has(task) || job.pending.has(task)) return;
    if (job.pending.length === 0) job.waitingSince = this.eventLoop.now();
    job.pending.push(task);
    this.hooks.changed();
  }

  /** Once a batch: writes the completions of the batch. */
  flush(): void {
    this.completions.flush();
  }

  /** Replaces the live record by the final one, in one step, unless a cancellation came first. */
  private finish(job: Job): void {
    if (job.ending || job.closed !== null) return;
    job.ending = true;
    const { id } = job.spec;
    this.records.transact(
      [
        { key: liveKey(id), version: job.version },
        { key: finalKey(id), version: 0 },
      ],
      [
        { delete: liveKey(id) },
        {
          put: finalKey(id),
          value: finalRecord('done', Math.round(this.eventLoop.runtime.wallClock())),
        },
      ],
      (result) => {
        if (result === 'ok') this.close(job, 'done');
        else this.findEnd(job);
      },
    );
  }

  private findEnd(job: Job): void {
    this.client.requestTokens.forceTake();
    this.client.read(finalKey(job.spec.id), this.settings.leaderLeaseMs / 4, (got) => {
      if (job.closed !== null) return;
      const state = got.kind === 'ok' && got.value !== null ? readFinal(got.value.value) : null;
      if (state !== null) this.close(job, state);
      else this.findEndLater(job);
    });
  }

  private findEndLater(job: Job): void {
    const delayMs = this.client.isUnavailable ? FIND_END_RETRY_DOWN_MS : FIND_END_RETRY_MS;
    this.eventLoop.after(delayMs, 'find-end', () => {
      if (job.closed !== null) return;
      if (job.vanished) return this.findEnd(job);
      job.ending = false;
      this.finish(job);
    });
  }
}
