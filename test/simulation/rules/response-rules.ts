/**
 * Rules about the responses to users. No response may report a job that nobody submitted, or report
 * a job as done before all its tasks have completed. Accepted jobs must not be lost, and terminal
 * states must not change.
 */
import {
  visibleStateOf,
  type ObservedJob,
  type VisibleChange,
  type VisibleState,
} from './observed-job.js';
import type { RuleContext } from './rule-context.js';

/**
 * Maximum time without a useful response to requests about an accepted job, once all faults have
 * ended; in milliseconds.
 */
const MAX_UNANSWERED_MS = 75_000;

const CHANGES: readonly VisibleChange[] = ['accepted', 'done', 'cancelled'];

/** Checks the responses that users get. */
export class ResponseRules {
  /** Listeners called at the first response that reports a job as accepted, done or cancelled. */
  readonly onVisibleChange: ((id: string, change: VisibleChange) => void)[] = [];

  constructor(
    private readonly context: RuleContext,
    /** Called at every response that reports a job as cancelled, not only at the first. */
    private readonly onCancelled: (job: ObservedJob) => void,
  ) {}

  /**
   * Checks a response, or its absence after the user's time-out (status 0). `stateWhenSent` is what
   * responses had reported about the job when the request was sent.
   */
  responseReceived(
    id: string,
    status: number,
    state: string,
    submission: boolean,
    stateWhenSent: VisibleState,
  ): void {
    const job = this.context.jobs.get(id);
    if (job === undefined) {
      if (status === 200) this.context.violated('invented', `${id} was never submitted`);
      return;
    }
    const stateBefore = visibleStateOf(job);
    this.checkResponse(job, status, state, submission, stateWhenSent);
    const stateAfter = visibleStateOf(job);
    for (const change of CHANGES)
      if (stateAfter[change] && !stateBefore[change])
        for (const listener of this.onVisibleChange) listener(id, change);
  }

  private checkResponse(
    job: ObservedJob,
    status: number,
    state: string,
    submission: boolean,
    stateWhenSent: VisibleState,
  ): void {
    if (stateWhenSent.accepted) this.checkAcceptedJob(job.spec.id, status, submission);
    if (status === 200 || status === 201) return this.checkReportedState(job, state, stateWhenSent);
    if (job.accepted) job.unansweredSince ??= this.context.now();
    this.checkAnswered(job);
  }

  /** An accepted job must not be unknown later, and its repeated submission must not be refused. */
  private checkAcceptedJob(id: string, status: number, submission: boolean): void {
    if (status === 404) this.context.violated('forgotten', `${id} reported as unknown (404)`);
    if (submission && (status === 400 || status === 422))
      this.context.violated('forgotten', `${id}: repeated submission refused with ${status}`);
  }

  private checkReportedState(job: ObservedJob, state: string, stateWhenSent: VisibleState): void {
    job.unansweredSince = null;
    job.accepted = true;
    if (state === 'done') this.checkReportedDone(job);
    else this.checkReportedNotDone(job, state, stateWhenSent);
    if (state === 'aborted') this.checkReportedCancelled(job);
    else if (stateWhenSent.cancelled && state !== 'done')
      this.reportReversal(job, `cancelled, then ${state}`);
  }

  private checkReportedDone(job: ObservedJob): void {
    const { id, tasks } = job.spec;
    if (job.completedTasks.size < tasks)
      this.context.violated(
        'not_done',
        `${id} reported as done with ${job.completedTasks.size} of ${tasks} tasks completed`,
      );
    if (job.cancelledAt !== null) this.reportReversal(job, 'cancelled, then done');
    job.reportedDone = true;
  }

  private checkReportedNotDone(job: ObservedJob, state: string, stateWhenSent: VisibleState): void {
    if (stateWhenSent.done || (job.reportedDone && state === 'aborted'))
      this.reportReversal(job, `done, then ${state}`);
  }

  private checkReportedCancelled(job: ObservedJob): void {
    if (!job.cancelRequested) this.reportReversal(job, 'cancelled without a request');
    this.onCancelled(job);
    job.cancelledAt ??= this.context.now();
  }

  private reportReversal(job: ObservedJob, detail: string): void {
    this.context.violated('went_back', `${job.spec.id} ${detail}`);
  }

  /**
   * Checks that no accepted job has gone without a useful response for too long; call it at regular
   * intervals.
   */
  tick(): void {
    if (this.context.faultsEndedAt === null) return;
    for (const job of this.context.jobs.all()) this.checkAnswered(job);
  }

  /** The operators' rule: once all faults have ended, users soon get useful responses again. */
  private checkAnswered(job: ObservedJob): void {
    const { faultsEndedAt } = this.context;
    if (faultsEndedAt === null || job.unansweredSince === null) return;
    const unansweredFrom = Math.max(faultsEndedAt, job.unansweredSince);
    if (this.context.now() - unansweredFrom > MAX_UNANSWERED_MS)
      this.context.violated(
        'forgotten',
        `${job.spec.id} got no useful response for more than ${MAX_UNANSWERED_MS / 1000} s`,
      );
  }
}
