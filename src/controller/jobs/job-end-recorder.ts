/** How the leader's jobs pass from active to terminal on record. */
import type { Job } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { RecordStore } from '../store/record-store.js';
import type { TerminalState } from '../wire/jobs.js';
import { activeKey, terminalKey, terminalRecord, terminalStateIn } from './job-records.js';

/** Waits before an end that could not be read is read again, in milliseconds. */
const READ_RETRY_MS = 200;
const READ_RETRY_UNAVAILABLE_MS = 1000;

/** Time-out of reading an end, as a share of the leader's lease. */
const READ_TIMEOUT_RATIO = 1 / 4;

/**
 * Records that jobs are done, and reads how jobs have ended that others ended. How a job ended is
 * never inferred (invariant 3): a leader that was replaced without knowing it sees its successor's
 * deletions of active records too.
 */
export class JobEndRecorder {
  /** @param onTerminal - a job's terminal state is on record; may be called more than once */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    private readonly records: Pick<RecordStore, 'transact'>,
    private readonly onTerminal: (job: Job, state: TerminalState) => void,
  ) {}

  /**
   * Replaces the active record of a completed job by its terminal one, in one transaction. If a
   * cancellation came first the job is cancelled.
   */
  recordDone(job: Job): void {
    if (job.ending !== null || job.terminalState !== null) return;
    job.ending = 'recording-done';
    const { id } = job.spec;
    const endedAt = Math.round(this.eventLoop.runtime.wallClock());
    this.records.transact(
      [
        { key: activeKey(id), version: job.recordVersion },
        { key: terminalKey(id), version: 0 },
      ],
      [{ delete: activeKey(id) }, { put: terminalKey(id), value: terminalRecord('done', endedAt) }],
      (result) => {
        if (result === 'ok') this.onTerminal(job, 'done');
        else this.readTerminalState(job);
      },
    );
  }

  /** Reads the end of a job whose active record is gone, until it is found. */
  readTerminalState(job: Job): void {
    const timeoutMs = this.settings.leaderLeaseMs * READ_TIMEOUT_RATIO;
    this.client.budget.requestTokens.forceTake();
    this.client.read(terminalKey(job.spec.id), timeoutMs, (result) => {
      if (job.terminalState !== null) return;
      const state = terminalStateIn(result);
      if (state !== null) this.onTerminal(job, state);
      else this.retryLater(job);
    });
  }

  private retryLater(job: Job): void {
    const delayMs = this.client.health.isUnavailable ? READ_RETRY_UNAVAILABLE_MS : READ_RETRY_MS;
    this.eventLoop.after(delayMs, 'find-end', () => {
      if (job.terminalState !== null) return;
      if (job.ending === 'record-removed') return this.readTerminalState(job);
      job.ending = null;
      this.recordDone(job);
    });
  }
}
