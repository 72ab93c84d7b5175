/** The leader's table of active jobs, from the active record to the terminal state. */
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

/** Notifications from the job table to the other modules of the leader. */
export interface JobTableHooks {
  /** A job was added to the table. */
  onJobAdded(job: Job): void;
  /** At least one task was added to those that wait to be placed. */
  onTasksPending(): void;
  /** Recovery found a gang with missing members or members of different attempts. All members must stop. */
  onIncompleteGang(job: Job): void;
  /** The completion of this task has been recorded in the state store. */
  onCompletionRecorded(job: Job, task: number): void;
  /** The job has ended, but its terminal state is not yet known. Its tasks must stop. */
  onRecordRemoved(job: Job): void;
  /** The job's terminal state became known. Called before `onJobTerminated`. */
  onTerminalState(id: string, state: TerminalState): void;
  /** The job was removed from the table. Its tasks must be removed from their machines. */
  onJobTerminated(job: Job): void;
}

/** All active jobs that are known to the leader. */
export class JobTable {
  /** Active jobs by id. */
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

  // ---- adding and recovery

  /**
   * Adds a job from its active record, which was read during recovery or by the watch. A malformed
   * record is logged and ignored. Does nothing if the job was already added.
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
      'job added',
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

  /** Loads the completions that previous leaders have recorded. */
  loadCompletions(): void {
    this.completionRecords.load(this.jobs);
  }

  /**
   * Called after the completions and assignments of previous leaders were loaded. Determines which
   * tasks are pending, and records the end of jobs whose tasks are all done.
   */
  finishRecovery(): void {
    for (const job of this.jobs.values()) {
      job.pending.retain((task) => job.done[task] !== 1 && !job.currentAssignments.has(task));
      if (job.spec.kind === 'gang' && job.currentAssignments.size > 0) this.recoverGang(job);
      if (job.isComplete) this.endRecorder.recordDone(job);
    }
  }

  /**
   * Reports a gang with missing members or members of different attempts, because it has to be
   * stopped. Its tasks become pending together, but only after all members that are still assigned
   * are gone.
   */
  private recoverGang(job: Job): void {
    const assignments = [...job.currentAssignments.values()];
    const attempts = new Set(assignments.map(({ attempt }) => attempt));
    if (job.pending.length > 0 || attempts.size > 1) this.hooks.onIncompleteGang(job);
    job.pending.retain(() => false);
  }

  // ---- progress

  /** Counts an attempt of one of the job's tasks that ended with this cause. */
  countExit(job: Job, cause: ExitCause | 'lost'): void {
    job.exitCounts[cause] = (job.exitCounts[cause] ?? 0) + 1;
  }

  /**
   * Marks a task as done. Called when a heartbeat has reported the completion of the task or of
   * another member of its gang. The worker may be sent the command to clear the task only after the
   * completion has been recorded (invariant 4). Has no effect on replicas of services, which are
   * never done.
   */
  markDone(job: Job, task: number): void {
    if (job.terminalState !== null || job.isService || job.done[task] === 1) return;
    job.done[task] = 1;
    job.doneCount++;
    job.progressChanged = true;
    job.pending.remove(task);
    if (job.isComplete) {
      // The terminal record makes the records of single completions unnecessary.
      this.completionRecords.discard(job);
      this.endRecorder.recordDone(job);
    } else {
      this.completionRecords.add(job, task);
    }
  }

  /** Makes a task pending again, unless it is done, assigned to a machine or already pending. */
  requeue(job: Job, task: number): void {
    if (job.terminalState !== null || job.done[task] === 1) return;
    // A task that is pending twice would be started twice.
    if (job.currentAssignments.has(task) || job.pending.has(task)) return;
    if (job.pending.length === 0) job.waitingSince = this.eventLoop.now();
    job.pending.push(task);
    this.hooks.onTasksPending();
  }

  /** Writes the completions added since the last call. Called once per batch of events. */
  flushCompletions(): void {
    this.completionRecords.flush();
  }

  // ---- end

  /**
   * Handles the removal of a job's active record. Does nothing if the removal was handled before,
   * or if this leader is recording the end of the job itself. In most cases a user has cancelled
   * the job, but a successor of this leader may also have recorded that the job is done.
   */
  handleRecordRemoved(id: string): void {
    const job = this.jobs.get(id);
    if (job?.ending !== null) return;
    job.ending = 'record-removed';
    this.hooks.onRecordRemoved(job);
    this.endRecorder.readTerminalState(job);
  }

  /** Ends a job whose cancellation was recorded by any of the controllers. */
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
