/** Records the end of the leader's jobs, and reads their recorded terminal states. */
import type { Job } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { RecordStore } from '../store/record-store.js';
import type { TerminalState } from '../wire/jobs.js';
import { activeKey, terminalKey, terminalRecord, terminalStateIn } from './job-records.js';

/** Delay in ms before recording or reading a terminal state is tried again. */
const READ_RETRY_MS = 200;
/**
 * Delay in ms before recording or reading a terminal state is tried again while the state store is
 * unavailable.
 */
const READ_RETRY_UNAVAILABLE_MS = 1000;

/** Time-out for reading a terminal record, as a ratio of the leader's lease. */
const READ_TIMEOUT_RATIO = 1 / 4;

/**
 * Records that jobs are done, and reads the terminal states of jobs that another node has ended. A
 * terminal state never changes once reported (invariant 3), so it is never inferred from the
 * removal of an active record. A record may also be removed without a cancellation: a leader that
 * has been replaced, but has not noticed it yet, sees its successor remove the active records of
 * done jobs.
 */
export class JobEndRecorder {
  /** @param onTerminal - called, possibly more than once, when a terminal state has been recorded */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: StateStoreClient,
    private readonly records: Pick<RecordStore, 'transact'>,
    private readonly onTerminal: (job: Job, state: TerminalState) => void,
  ) {}

  /**
   * Replaces the active record of a completed job by its terminal record in one transaction. If a
   * cancellation was recorded first, the job ends as cancelled.
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

  /**
   * Reads the terminal record of a job that another node has ended or may have ended. If the read
   * gives no terminal state, retries after a delay. The retry reads the terminal record again if
   * another writer removed the active record. Otherwise the retry calls `recordDone` again.
   */
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
