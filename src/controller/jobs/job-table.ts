/** The leader's table of jobs: how they become known, are done and end. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { RecordStore } from '../store/record-store.js';
import type { TerminalState } from '../wire/jobs.js';
import type { ExitCause } from '../wire/workers.js';
import { CompletionRecords } from './completion-records.js';
import {
  activeKey,
  readActiveRecord,
  terminalKey,
  terminalRecord,
  terminalStateIn,
  type ActiveRecord,
} from './job-records.js';
import { Job } from '../model/entities.js';

/** What the table tells the other parts of the leader. */
export interface JobTableHooks {
  /** The leader before has left only parts of a gang. */
  onIncompleteGang(job: Job): void;
  /** The job has ended somehow: nothing of it should run. */
  onRecordRemoved(job: Job): void;
  /** The job has ended: its tasks must go from their machines. */
  onJobTerminated(job: Job): void;
  /** A job became known to this leader. */
  onJobAdded(job: Job): void;
  /** Something became placeable. */
  onTasksPending(): void;
  /** Completion of this task is on record. */
  onCompletionRecorded(job: Job, task: number): void;
  /** A job's end is known. */
  onTerminalState(id: string, state: TerminalState): void;
}

/** Waits before an end that could not be read is looked for again. */
const FIND_END_RETRY_MS = 200;
const FIND_END_RETRY_DOWN_MS = 1000;

/** The leader's jobs: all that have not ended. */
export class JobTable {
  readonly jobs = new Map<string, Job>();
  private readonly completions: CompletionRecords;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    private readonly records: RecordStore,
    private readonly hooks: JobTableHooks,
  ) {
    this.completions = new CompletionRecords(records, (job, task) =>
      hooks.onCompletionRecorded(job, task),
    );
  }

  /** A live record, read at takeover or seen in the watch. */
  add(id: string, value: unknown, version: number): void {
    if (this.jobs.has(id)) return;
    const job = this.readRecord(id, value, version);
    if (job === null) return;
    this.jobs.set(id, job);
    this.hooks.onJobAdded(job);
    const { class: className, team, tasks, image, imageGb } = job.spec;
    this.eventLoop.log.debug(
      { job: id, class: className, team, tasks, image, gb: imageGb },
      'job known',
    );
    this.hooks.onTasksPending();
  }

  private readRecord(id: string, value: unknown, version: number): Job | null {
    let record: ActiveRecord;
    try {
      record = readActiveRecord(value);
    } catch (err) {
      this.eventLoop.log.error({ job: id, err }, 'malformed job record');
      return null;
    }
    const now = this.eventLoop.now();
    const wallClock = this.eventLoop.runtime.wallClock();
    const ageMs = Math.max(0, wallClock - (record.acceptedAt ?? wallClock));
    return new Job(record.spec, now - ageMs, version, now);
  }

  /** What the leaders before have recorded as done, read at takeover. */
  loadCompletions(): void {
    this.completions.load(this.jobs);
  }

  /** After all has been read: what is left to place, and jobs that only lack their end. */
  finishRecovery(): void {
    for (const job of this.jobs.values()) {
      job.pending.retain((task) => job.done[task] !== 1 && !job.currentAssignments.has(task));
      // A gang of which some parts are still about starts again as a whole once they are gone.
      if (job.spec.kind === 'gang' && job.currentAssignments.size > 0) {
        const attempts = new Set(
          [...job.currentAssignments.values()].map((assignment) => assignment.attempt),
        );
        if (job.pending.length > 0 || attempts.size > 1) this.hooks.onIncompleteGang(job);
        job.pending.retain(() => false);
      }
      if (job.isComplete) this.writeEnd(job);
    }
  }

  /**
   * The live record is gone and this leader did not remove it. Most likely its user has cancelled
   * it; but a leader that has been replaced without knowing it yet sees the same when its successor
   * finishes the job. So the tasks are stopped, and how the job ended is read, never guessed.
   */
  handleRecordRemoved(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.endPending) return;
    job.endPending = true;
    job.recordRemoved = true;
    this.hooks.onRecordRemoved(job);
    this.readEnd(job);
  }

  /** The job is known to have been cancelled. */
  markCancelled(id: string): void {
    const job = this.jobs.get(id);
    if (job !== undefined) this.terminate(job, 'cancelled');
  }

  private terminate(job: Job, state: TerminalState): void {
    if (job.terminalState !== null) return;
    job.terminalState = state;
    job.pending.retain(() => false);
    job.reservation = null;
    this.jobs.delete(job.spec.id);
    this.completions.remove(job);
    this.eventLoop.log.info({ job: job.spec.id, state, exits: job.exitCounts }, 'job ended');
    this.hooks.onTerminalState(job.spec.id, state);
    this.hooks.onJobTerminated(job);
  }

  /** An attempt of one of its tasks has ended so. */
  countExit(job: Job, cause: ExitCause | 'lost'): void {
    job.exitCounts[cause] = (job.exitCounts[cause] ?? 0) + 1;
  }

  /** A report shows the task done. It may be cleared once that is on record. */
  markDone(job: Job, task: number): void {
    if (job.terminalState !== null || job.isService || job.done[task] === 1) return;
    job.done[task] = 1;
    job.doneCount++;
    job.progressChanged = true;
    job.pending.remove(task);
    if (job.isComplete) {
      this.completions.discard(job);
      this.writeEnd(job);
      return;
    }
    this.completions.add(job, task);
  }

  /** The task is on no machine and not done. */
  putBack(job: Job, task: number): void {
    if (job.terminalState !== null || job.done[task] === 1) return;
    // Twice in the list would be twice on machines.
    if (job.currentAssignments.has(task) || job.pending.has(task)) return;
    if (job.pending.length === 0) job.waitingSince = this.eventLoop.now();
    job.pending.push(task);
    this.hooks.onTasksPending();
  }

  /** Once a batch: writes the completions of the batch. */
  flushCompletions(): void {
    this.completions.flush();
  }

  /** Replaces the live record by the final one, in one step, unless a cancellation came first. */
  private writeEnd(job: Job): void {
    if (job.endPending || job.terminalState !== null) return;
    job.endPending = true;
    const { id } = job.spec;
    this.records.transact(
      [
        { key: activeKey(id), version: job.recordVersion },
        { key: terminalKey(id), version: 0 },
      ],
      [
        { delete: activeKey(id) },
        {
          put: terminalKey(id),
          value: terminalRecord('done', Math.round(this.eventLoop.runtime.wallClock())),
        },
      ],
      (result) => {
        if (result === 'ok') this.terminate(job, 'done');
        else this.readEnd(job);
      },
    );
  }

  private readEnd(job: Job): void {
    this.client.budget.requestTokens.forceTake();
    this.client.read(terminalKey(job.spec.id), this.settings.leaderLeaseMs / 4, (got) => {
      if (job.terminalState !== null) return;
      const state = terminalStateIn(got);
      if (state !== null) this.terminate(job, state);
      else this.retryEndLater(job);
    });
  }

  private retryEndLater(job: Job): void {
    const delayMs = this.client.health.isUnavailable ? FIND_END_RETRY_DOWN_MS : FIND_END_RETRY_MS;
    this.eventLoop.after(delayMs, 'find-end', () => {
      if (job.terminalState !== null) return;
      if (job.recordRemoved) return this.readEnd(job);
      job.endPending = false;
      this.writeEnd(job);
    });
  }
}
