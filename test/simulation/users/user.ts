/** A simulated user with one job. */
import type { Timer } from '../../../src/controller/runtime/runtime.js';
import { writeJobSpec, type JobSpec } from '../../../src/controller/wire/jobs.js';
import type { RuleChecker } from '../rules/rule-checker.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';

/**
 * Sends a request to the controller on `host`, by default a random one. `done` receives status 0 if
 * no response arrives.
 */
export type RequestSender = (
  method: 'GET' | 'POST',
  path: string,
  body: unknown,
  done: (status: number, state: string) => void,
  host?: string,
) => void;

type Action = 'submit' | 'poll' | 'cancel';

/** Probability that a user submits an accepted job again instead of polling it. */
const RETRY_CHANCE = 0.1;
/** Time from a response to the next request while an action on an accepted job is pending, in ms. */
const PENDING_ACTION_PAUSE_MS = 1000;
/** Time from a response to the next request while the job is not accepted, in milliseconds. */
const UNACCEPTED_PAUSE_MS = 1200;
/** Time from a response to the next request while the job is active, in milliseconds. */
const POLL_PAUSE_MS = 4000;
/** Range of the time from a response to the next request once the job has ended, in milliseconds. */
const TERMINAL_PAUSE_MS = { least: 10_000, most: 40_000 };

/** A user who submits and polls one job, and may cancel it. At most one request is in flight. */
export class User {
  private accepted = false;
  private requestInFlight = false;
  private nextRequest: Timer | null = null;
  /** The requested action, which is taken once the job is accepted; null if there is none. */
  private pendingAction: 'cancel' | 'submit' | null = null;
  /** The host of the controller that cancellations are sent to; undefined for a random host. */
  private cancelHost: string | undefined;
  private readonly body: unknown;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    private readonly checker: RuleChecker,
    private readonly sendRequest: RequestSender,
    private readonly spec: JobSpec,
    cancelAfterMs: number | null,
  ) {
    this.body = writeJobSpec(spec);
    checker.jobSubmitted(spec);
    if (cancelAfterMs !== null) clock.after(cancelAfterMs, () => this.cancel());
    this.sendNextRequest();
  }

  /**
   * Cancels the job, through the controller on `host` if one is given. The request is repeated
   * until it succeeds.
   */
  cancel(host?: string): void {
    this.cancelHost = host;
    this.requestAction('cancel');
  }

  /** Sends the next request now if the job is accepted and no request is in flight. */
  pollNow(): void {
    if (this.accepted) this.sendNextRequestNow();
  }

  /** Submits the job again. */
  resubmit(): void {
    this.requestAction('submit');
  }

  private requestAction(action: 'cancel' | 'submit'): void {
    if (this.pendingAction !== 'cancel') this.pendingAction = action;
    if (this.accepted) this.sendNextRequestNow();
  }

  private sendNextRequestNow(): void {
    if (this.requestInFlight) return;
    this.nextRequest?.cancel();
    this.sendNextRequest();
  }

  private sendNextRequest(): void {
    const { id } = this.spec;
    const action = this.nextAction();
    if (action === 'cancel') this.checker.cancelRequested(id);
    if (action === 'submit' && this.pendingAction === 'submit') this.pendingAction = null;
    const stateWhenSent = this.checker.visibleState(id);
    this.requestInFlight = true;
    this.send(action, (status, state) => {
      this.requestInFlight = false;
      this.checker.responseReceived(id, status, state, action === 'submit', stateWhenSent);
      this.recordResponse(action, status);
      this.nextRequest = this.clock.after(this.pauseMs(state), () => this.sendNextRequest());
    });
  }

  private nextAction(): Action {
    if (!this.accepted) return 'submit';
    if (this.pendingAction !== null) return this.pendingAction;
    // Some submissions are repeated long after the job was accepted.
    return this.random.next() < RETRY_CHANCE ? 'submit' : 'poll';
  }

  private send(action: Action, done: (status: number, state: string) => void): void {
    const path = `/submissions/${this.spec.id}`;
    if (action === 'submit') this.sendRequest('POST', '/submissions', this.body, done);
    else if (action === 'poll') this.sendRequest('GET', path, undefined, done);
    else this.sendRequest('POST', `${path}/abort`, undefined, done, this.cancelHost);
  }

  private recordResponse(action: Action, status: number): void {
    if (status !== 200 && status !== 201) return;
    this.accepted = true;
    if (action === 'cancel') this.pendingAction = null;
  }

  private pauseMs(state: string): number {
    const pauseMs = this.usualPauseMs(state);
    return this.accepted && this.pendingAction !== null ? PENDING_ACTION_PAUSE_MS : pauseMs;
  }

  private usualPauseMs(state: string): number {
    if (state === 'done' || state === 'aborted')
      return this.random.between(TERMINAL_PAUSE_MS.least, TERMINAL_PAUSE_MS.most);
    return this.accepted ? POLL_PAUSE_MS : UNACCEPTED_PAUSE_MS;
  }
}
