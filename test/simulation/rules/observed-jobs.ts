/** All jobs that were submitted in a simulation. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import { findNeglectedJobs } from './neglected-jobs.js';
import { newObservedJob, visibleStateOf, type ObservedJob } from './observed-job.js';

/** The jobs by id, and queries over them. */
export class ObservedJobs {
  private readonly byId = new Map<string, ObservedJob>();

  /** A user is about to submit the job, for the first time or again. */
  submitted(spec: JobSpec, now: number): void {
    if (!this.byId.has(spec.id)) this.byId.set(spec.id, newObservedJob(spec, now));
  }

  /** The job; undefined: nobody submitted it. */
  get(id: string): ObservedJob | undefined {
    return this.byId.get(id);
  }

  /** All jobs, in the order of their submissions. */
  all(): Iterable<ObservedJob> {
    return this.byId.values();
  }

  /** Ids of the jobs with tasks on machines that nobody has asked to cancel. */
  running(): string[] {
    return [...this.byId.values()]
      .filter((job) => job.tasksOnMachines > 0 && !job.cancelRequested)
      .map((job) => job.spec.id);
  }

  /** Ids of the jobs that were accepted and that nobody has asked to cancel. */
  accepted(): string[] {
    return this.notCancelled().map((job) => job.spec.id);
  }

  /** Ids of the accepted jobs that are neither done nor cancelled, services aside: they never end. */
  unfinished(): string[] {
    return this.notCancelled()
      .filter((job) => job.spec.kind !== 'service' && job.completedTasks.size < job.spec.tasks)
      .map((job) => job.spec.id);
  }

  /** Where the operators' rule on a scenario as a whole does not hold. */
  neglected(): string[] {
    return findNeglectedJobs(this.notCancelled());
  }

  /** How many jobs ended so, by what their users were told. */
  countEnded(state: 'done' | 'cancelled'): number {
    return [...this.byId.values()].filter((job) => visibleStateOf(job)[state]).length;
  }

  private notCancelled(): ObservedJob[] {
    return [...this.byId.values()].filter(
      (job) => job.accepted && job.cancelledAt === null && !job.cancelRequested,
    );
  }
}
