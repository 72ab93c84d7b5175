/** One user with one job. */
import type { Timer } from '../../../src/controller/runtime/runtime.js';
import { writeJobSpec, type JobSpec } from '../../../src/controller/wire/jobs.js';
import type { RuleChecker } from '../rules/rule-checker.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';

/** Sends a request to a controller, `host` or any; `done` gets status 0 where no response comes. */
export type RequestSender = (
  method: 'GET' | 'POST',
  path: string,
  body: unknown,
  done: (status: number, state: string) => void,
  host?: string,
) => void;

type Action = 'submit' | 'poll' | 'cancel';

/** Chance that a user submits an accepted job once more instead of polling. */
const RETRY_CHANCE = 0.1;
/** Time from a response to the next request. */
const PENDING_ACTION_PAUSE_MS = 1000;
const UNACCEPTED_PAUSE_MS = 1200;
const POLL_PAUSE_MS = 4000;
const TERMINAL_PAUSE_MS = { least: 10_000, most: 40_000 };

/** A user who submits, polls and perhaps cancels one job, one request at a time. */
export class User {
  private accepted = false;
  private requestInFlight = false;
  private nextRequest: Timer | null = null;
  /** What the user wants to do once the job is accepted. */
  private pendingAction: 'cancel' | 'submit' | null = null;
  /** Where cancellations go; undefined: to any controller. */
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
    this.step();
  }

  /** Cancels the job, at `host` where one is named, until told that it has ended. */
  cancel(host?: string): void {
    this.cancelHost = host;
    this.requestAction('cancel');
  }

  /** Polls now, unless a request is on its way. */
  pollNow(): void {
    if (this.accepted) this.stepNow();
  }

  /** Submits the job once more. */
  resubmit(): void {
    this.requestAction('submit');
  }

  private requestAction(action: 'cancel' | 'submit'): void {
    if (this.pendingAction !== 'cancel') this.pendingAction = action;
    if (this.accepted) this.stepNow();
  }

  private stepNow(): void {
    if (this.requestInFlight) return;
    this.nextRequest?.cancel();
    this.step();
  }

  private step(): void {
    const { id } = this.spec;
    const action = this.nextAction();
    if (action === 'cancel') this.checker.cancelRequested(id);
    if (action === 'submit' && this.pendingAction === 'submit') this.pendingAction = null;
    const stateBefore = this.checker.visibleState(id);
    this.requestInFlight = true;
    this.send(action, (status, state) => {
      this.requestInFlight = false;
      this.checker.responseReceived(id, status, state, action === 'submit', stateBefore);
      this.recordResponse(action, status);
      this.nextRequest = this.clock.after(this.pauseMs(state), () => this.step());
    });
  }

  private nextAction(): Action {
    if (!this.accepted) return 'submit';
    if (this.pendingAction !== null) return this.pendingAction;
    // Now and then the submission is repeated long after it was accepted.
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
