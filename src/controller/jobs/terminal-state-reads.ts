/** Reads of the terminal records of jobs, which wait their turn when request tokens are scarce. */
import { tokenReserve } from '../store/rate-budget.js';
import type { TerminalState } from '../wire/jobs.js';
import { CALL_TIMEOUT_MS, type FrontendContext } from './frontend-context.js';
import { terminalKey, terminalStateIn } from './job-records.js';

/**
 * Reads that wait take at most this share of the node's requests, so that they hold up neither other queries nor
 * each other.
 */
const QUEUED_READS_SHARE = 0.5;
/** Largest number of jobs whose terminal records wait to be read. Users can ask about any number of jobs. */
const MAX_QUEUED_JOBS = 5000;
/** Shortest delay before the next attempt to take a token, in milliseconds. */
const MIN_TIMER_MS = 5;
const MS_PER_S = 1000;

/** Receives the terminal state of a job, or null if it could not be read in time. Called once. */
export type TerminalStateCallback = (state: TerminalState | null) => void;

/** A caller that waits for a read, and the timer after which it waits no longer. */
interface Waiter {
  done: TerminalStateCallback;
  settled: boolean;
}

/**
 * Reads terminal records, at once if a token is available. Otherwise the jobs wait in a queue. A job stays in the
 * queue when its callers have stopped waiting, so that each job that users ask about is read in its turn.
 */
export class TerminalStateReads {
  /** The waiting jobs in the order of the first question, with their callers. */
  private readonly queue = new Map<string, Waiter[]>();
  private nextReadAt = -Infinity;
  private timerRunning = false;

  constructor(
    private readonly context: Pick<FrontendContext, 'eventLoop' | 'client' | 'jobStates'>,
  ) {}

  /** Reads the terminal state of a job that has ended. */
  read(id: string, done: TerminalStateCallback): void {
    if (this.queue.size === 0 && this.tryTakeToken()) return this.send(id, done);
    const waiters = this.queue.get(id);
    if (waiters === undefined && this.queue.size >= MAX_QUEUED_JOBS) return done(null);
    const waiter: Waiter = { done, settled: false };
    if (waiters === undefined) this.queue.set(id, [waiter]);
    else waiters.push(waiter);
    this.context.eventLoop.after(CALL_TIMEOUT_MS, 'terminal-state-timeout', () => {
      settle(waiter, null);
    });
    this.serveLater();
  }

  private tryTakeToken(): boolean {
    return this.context.client.budget.requestTokens.tryTake(1, tokenReserve.reads);
  }

  private send(id: string, done: TerminalStateCallback): void {
    const { client, jobStates } = this.context;
    client.read(terminalKey(id), CALL_TIMEOUT_MS, (result) => {
      const state = terminalStateIn(result);
      if (state !== null) jobStates.markTerminal(id, state);
      done(state);
    });
  }

  private serveLater(): void {
    if (this.timerRunning || this.queue.size === 0) return;
    this.timerRunning = true;
    const { eventLoop, client } = this.context;
    const tokenWaitMs = client.budget.requestTokens.waitMs(1, tokenReserve.reads);
    const delayMs = Math.max(MIN_TIMER_MS, tokenWaitMs, this.nextReadAt - eventLoop.now());
    eventLoop.after(delayMs, 'terminal-state-reads', () => {
      this.timerRunning = false;
      this.serve();
      this.serveLater();
    });
  }

  private serve(): void {
    for (const [id, waiters] of this.queue) {
      const settleAll = (state: TerminalState | null): void => {
        for (const waiter of waiters) settle(waiter, state);
      };
      const knownState = this.context.jobStates.terminalState(id);
      if (knownState === undefined && !this.tryBeginQueuedRead()) return;
      this.queue.delete(id);
      if (knownState === undefined) this.send(id, settleAll);
      else settleAll(knownState);
    }
  }

  /** Takes a token if the share of the reads that wait allows it. */
  private tryBeginQueuedRead(): boolean {
    const { eventLoop, client } = this.context;
    const now = eventLoop.now();
    if (now < this.nextReadAt || !this.tryTakeToken()) return false;
    const intervalMs = MS_PER_S / (client.budget.requestTokens.perSecond * QUEUED_READS_SHARE);
    // A timer that fires late does not lower the rate, but time without reads is not made up for.
    this.nextReadAt = Math.max(this.nextReadAt, now - intervalMs) + intervalMs;
    return true;
  }
}

function settle(waiter: Waiter, state: TerminalState | null): void {
  if (waiter.settled) return;
  waiter.settled = true;
  waiter.done(state);
}
