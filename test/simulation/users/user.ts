/** One user with one job. */
import type { Timer } from '../../../src/controller/runtime/runtime.js';
import { writeJobSpec, type JobSpec } from '../../../src/controller/wire/jobs.js';
import type { RuleChecker } from '../rules/rule-checker.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';

/** How a user asks a controller; `host`: a certain one. */
export type RequestSender = (
  method: 'GET' | 'POST',
  path: string,
  body: unknown,
  done: (status: number, state: string) => void,
  host?: string,
) => void;

/** A user who submits, polls and perhaps calls off one job, one request at a time. */
export class User {
  private accepted = false;
  private asking = false;
  private next: Timer | null = null;
  private wish: 'none' | 'cancel' | 'repeat' = 'none';
  private host: string | undefined;
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

  /** Calls the job off, at `host` where one is named, until told that it has ended. */
  cancel(host?: string): void {
    this.host = host;
    this.want('cancel');
  }

  /** Asks about the job now, unless a question is on its way. */
  pollNow(): void {
    if (this.accepted) this.hurry();
  }

  /** Submits the job once more. */
  repeat(): void {
    this.want('repeat');
  }

  private want(wish: 'cancel' | 'repeat'): void {
    if (this.wish !== 'cancel') this.wish = wish;
    if (this.accepted) this.hurry();
  }

  private hurry(): void {
    if (this.asking) return;
    this.next?.cancel();
    this.step();
  }

  private step(): void {
    const { id } = this.spec;
    const cancel = this.accepted && this.wish === 'cancel';
    // Now and then the submission is repeated long after it was accepted.
    const submit =
      !this.accepted || (!cancel && (this.wish === 'repeat' || this.random.next() < 0.1));
    if (cancel) this.checker.cancelRequested(id);
    if (submit && this.wish === 'repeat') this.wish = 'none';
    const before = this.checker.visibleState(id);
    this.asking = true;
    this.sendRequest(
      submit || cancel ? 'POST' : 'GET',
      submit ? '/submissions' : `/submissions/${id}${cancel ? '/abort' : ''}`,
      submit ? this.body : undefined,
      (status, state) => {
        this.asking = false;
        this.checker.responseReceived(id, status, state, submit, before);
        const answered = status === 200 || status === 201;
        if (answered) this.accepted = true;
        if (cancel && answered) this.wish = 'none';
        const end = state === 'done' || state === 'aborted';
        const { clock, random } = this;
        const pause = end ? random.between(10_000, 40_000) : this.accepted ? 4000 : 1200;
        const soon = this.accepted && this.wish !== 'none';
        this.next = clock.after(soon ? 1000 : pause, () => this.step());
      },
      cancel ? this.host : undefined,
    );
  }
}
