/** The leader's table of jobs: how they become known, progress and end. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { Job } from '../model/entities.js';
import type { RecordStore } from '../store/record-store.js';
import type { TerminalState } from '../wire/jobs.js';
import type { ExitCause } from '../wire/workers.js';
import { CompletionRecords } from './completion-records.js';
import { JobEndRecorder } from './job-end-recorder.js';
import { readActiveRecord, type ActiveRecord } from './job-records.js';

/** What the table tells the other parts of the leader. */
export interface JobTableHooks {
  /** A job became known to this leader. */
  onJobAdded(job: Job): void;
  /** Tasks wait to be placed that did not before. */
  onTasksPending(): void;
  /** Only some members of the gang were running under the leader before: all have to stop. */
  onIncompleteGang(job: Job): void;
  /** The completion of this task is on record. */
  onCompletionRecorded(job: Job, task: number): void;
  /** The job has ended, it is not known yet how: its tasks have to stop. */
  onRecordRemoved(job: Job): void;
  /** The job's terminal state is known; called before `onJobTerminated`. */
  onTerminalState(id: string, state: TerminalState): void;
  /** The job has left the table: its tasks have to leave their machines. */
  onJobTerminated(job: Job): void;
}

/** The leader's jobs: all that are active. */
export class JobTable {
  /** By id. */
  readonly jobs = new Map<string, Job>();
  private readonly completionRecords: CompletionRecords;
  private readonly endRecorder: JobEndRecorder;

  constructor(
    private readonly eventLoop: EventLoop,
    settings: Settings,
    client: StateStoreClient,
    records: RecordStore,
    private readonly hooks: JobTableHooks,
  ) {
    this.completionRecords = new CompletionRecords(records, (job, task) =>
      hooks.onCompletionRecorded(job, task),
    );
    this.endRecorder = new JobEndRecorder(eventLoop, settings, client, records, (job, state) =>
      this.terminate(job, state),
    );
  }

  // ---- becoming known

  /**
   * Adds a job by its active record, which was read during recovery or seen by the watch. A
   * malformed record is logged and left out.
   */
  add(id: string, value: unknown, version: number): void {
    if (this.jobs.has(id)) return;
    const job = this.readJob(id, value, version);
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

  private readJob(id: string, value: unknown, version: number): Job | null {
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

  /** Takes in the completions that the leaders before have recorded. */
  loadCompletions(): void {
    this.completionRecords.load(this.jobs);
  }

  /**
   * Called once completions and assignments of the leaders before are loaded: finds out which tasks
   * are left to place, and ends jobs that only lack their terminal record.
   */
  finishRecovery(): void {
    for (const job of this.jobs.values()) {
      job.pending.retain((task) => job.done[task] !== 1 && !job.currentAssignments.has(task));
      if (job.spec.kind === 'gang' && job.currentAssignments.size > 0) this.recoverGang(job);
      if (job.isComplete) this.endRecorder.recordDone(job);
    }
  }

  /** A gang of which only some members are left starts again as a whole once those are gone. */
  private recoverGang(job: Job): void {
    const assignments = [...job.currentAssignments.values()];
    const attempts = new Set(assignments.map(({ attempt }) => attempt));
    if (job.pending.length > 0 || attempts.size > 1) this.hooks.onIncompleteGang(job);
    job.pending.retain(() => false);
  }

  // ---- progress

  /** Counts an attempt of one of the job's tasks that has ended for this cause. */
  countExit(job: Job, cause: ExitCause | 'lost'): void {
    job.exitCounts[cause] = (job.exitCounts[cause] ?? 0) + 1;
  }

  /**
   * Notes that a heartbeat shows the task as done. The worker may be told to clear it only once
   * that is on record (invariant 4). Has no effect for replicas of services, which are never done.
   */
  markDone(job: Job, task: number): void {
    if (job.terminalState !== null || job.isService || job.done[task] === 1) return;
    job.done[task] = 1;
    job.doneCount++;
    job.progressChanged = true;
    job.pending.remove(task);
    if (job.isComplete) {
      // The terminal record tells all.
      this.completionRecords.discard(job);
      this.endRecorder.recordDone(job);
    } else {
      this.completionRecords.add(job, task);
    }
  }

  /** Has a task placed again that is on no machine, unless it is done or pending already. */
  requeue(job: Job, task: number): void {
    if (job.terminalState !== null || job.done[task] === 1) return;
    // Pending twice would be running twice.
    if (job.currentAssignments.has(task) || job.pending.has(task)) return;
    if (job.pending.length === 0) job.waitingSince = this.eventLoop.now();
    job.pending.push(task);
    this.hooks.onTasksPending();
  }

  /** Writes the completions noted since the last call; called once a batch of events. */
  flushCompletions(): void {
    this.completionRecords.flush();
  }

  // ---- end

  /**
   * The watch has seen the job's active record go, and this leader did not remove it. Most likely a
   * user has cancelled the job, but a successor of this leader may have finished it.
   */
  handleRecordRemoved(id: string): void {
    const job = this.jobs.get(id);
    if (job?.ending !== null) return;
    job.ending = 'record-removed';
    this.hooks.onRecordRemoved(job);
    this.endRecorder.readTerminalState(job);
  }

  /** A node has confirmed that the job was cancelled. */
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
    this.completionRecords.remove(job);
    this.eventLoop.log.info({ job: job.spec.id, state, exits: job.exitCounts }, 'job ended');
    this.hooks.onTerminalState(job.spec.id, state);
    this.hooks.onJobTerminated(job);
  }
}
