/** The jobs that users submitted in a simulation. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import { findNeglectedJobs } from './neglected-jobs.js';
import { newObservedJob, visibleStateOf, type ObservedJob } from './observed-job.js';

/** The jobs by id, and queries over them. */
export class ObservedJobs {
  private readonly byId = new Map<string, ObservedJob>();

  /** Adds the job that a user is about to submit; has no effect if it was submitted before. */
  submitted(spec: JobSpec, now: number): void {
    if (!this.byId.has(spec.id)) this.byId.set(spec.id, newObservedJob(spec, now));
  }

  /** Returns the job, or undefined if nobody submitted it. */
  get(id: string): ObservedJob | undefined {
    return this.byId.get(id);
  }

  /** Returns all jobs in the order of their first submissions. */
  all(): Iterable<ObservedJob> {
    return this.byId.values();
  }

  /** Returns the ids of jobs that have tasks on machines and that nobody has asked to cancel. */
  running(): string[] {
    return [...this.byId.values()]
      .filter((job) => job.tasksOnMachines > 0 && !job.cancelRequested)
      .map((job) => job.spec.id);
  }

  /** Returns the ids of accepted jobs that nobody has asked to cancel. */
  accepted(): string[] {
    return this.notCancelled().map((job) => job.spec.id);
  }

  /**
   * Returns the ids of accepted jobs that nobody has asked to cancel and that have not completed
   * all tasks. Services are left out, because they never complete.
   */
  unfinished(): string[] {
    return this.notCancelled()
      .filter((job) => job.spec.kind !== 'service' && job.completedTasks.size < job.spec.tasks)
      .map((job) => job.spec.id);
  }

  /**
   * Describes the teams and classes with too few completed jobs, and the jobs that started too late
   * among the largest of a class. Considers only accepted jobs that nobody has asked to cancel.
   */
  neglected(): string[] {
    return findNeglectedJobs(this.notCancelled());
  }

  /** Returns the number of jobs that responses have reported to be in this terminal state. */
  countEnded(state: 'done' | 'cancelled'): number {
    return [...this.byId.values()].filter((job) => visibleStateOf(job)[state]).length;
  }

  private notCancelled(): ObservedJob[] {
    return [...this.byId.values()].filter(
      (job) => job.accepted && job.cancelledAt === null && !job.cancelRequested,
    );
  }
}
