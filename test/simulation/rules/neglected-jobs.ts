/**
 * Finds teams and classes with too few completed jobs, and classes whose largest jobs started too
 * late.
 */
import type { ObservedJob } from './observed-job.js';

/** Maximum time from submission to start for each of a class's largest jobs, in milliseconds. */
const LARGEST_MAX_WAIT_MS = 240_000;
/**
 * Fraction of the jobs of a class that count as its largest jobs. The size of a job is its number
 * of tasks.
 */
const LARGEST_SHARE = 0.1;

/**
 * Checks the operators' rule for a whole scenario. At least half of the jobs of every class, of
 * every team, and of the largest jobs of every class must have completed all tasks. The largest
 * jobs of every class must also have started within four minutes of their submission. Returns a
 * description of each violation.
 */
export function findNeglectedJobs(jobs: readonly ObservedJob[]): string[] {
  const violations: string[] = [];
  for (const [team, teamJobs] of groupBy(jobs, (job) => job.spec.team))
    violations.push(...checkHalfServed(`team ${team}`, teamJobs));
  for (const [className, classJobs] of groupBy(jobs, (job) => job.spec.class)) {
    const largest = largestOf(classJobs);
    violations.push(...checkHalfServed(`class ${className}`, classJobs));
    violations.push(...checkHalfServed(`largest of ${className}`, largest));
    for (const { spec } of largest.filter(startedLate))
      violations.push(
        `largest of ${className}: ${spec.id} with ${spec.tasks} tasks did not start within four minutes`,
      );
  }
  return violations;
}

function groupBy(
  jobs: readonly ObservedJob[],
  key: (job: ObservedJob) => string,
): Map<string, ObservedJob[]> {
  const groups = new Map<string, ObservedJob[]>();
  for (const job of jobs) groups.set(key(job), [...(groups.get(key(job)) ?? []), job]);
  return groups;
}

function checkHalfServed(name: string, jobs: readonly ObservedJob[]): string[] {
  const served = jobs.filter((job) => job.completedTasks.size >= job.spec.tasks).length;
  return served < jobs.length / 2 ? [`${name}: ${served} of ${jobs.length} jobs completed`] : [];
}

function largestOf(jobs: readonly ObservedJob[]): ObservedJob[] {
  const count = Math.max(1, Math.floor(jobs.length * LARGEST_SHARE));
  return [...jobs].sort((a, b) => b.spec.tasks - a.spec.tasks).slice(0, count);
}

function startedLate(job: ObservedJob): boolean {
  return (job.startedAt ?? Infinity) - job.submittedAt > LARGEST_MAX_WAIT_MS;
}
