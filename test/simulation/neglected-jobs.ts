/** Which groups of jobs were served too little on a day as a whole. */
import type { JobRecord } from './job-record.js';

/** The largest jobs of a class have to begin within this time. */
const LARGEST_MS = 240_000;
/** Jobs of a class that count as its largest. */
const LARGEST_SHARE = 0.1;

/**
 * The operators' rule on a day as a whole: at least half of every class, of every team and of
 * every class's largest jobs is served, and the largest begin within four minutes. Returns where
 * that is not so.
 */
export function neglectedJobs(jobs: readonly JobRecord[]): string[] {
  const found: string[] = [];
  for (const [team, ofTeam] of groupBy(jobs, (job) => job.spec.team))
    found.push(...halfUnserved(`team ${team}`, ofTeam));
  for (const [cls, ofClass] of groupBy(jobs, (job) => job.spec.class)) {
    const largest = largestOf(ofClass);
    found.push(...halfUnserved(`class ${cls}`, ofClass));
    found.push(...halfUnserved(`largest of ${cls}`, largest));
    for (const { spec } of largest.filter(beganLate))
      found.push(`largest of ${cls}: ${spec.id} with ${spec.tasks} tasks began too late`);
  }
  return found;
}

function groupBy(
  jobs: readonly JobRecord[],
  key: (job: JobRecord) => string,
): Map<string, JobRecord[]> {
  const groups = new Map<string, JobRecord[]>();
  for (const job of jobs) groups.set(key(job), [...(groups.get(key(job)) ?? []), job]);
  return groups;
}

function halfUnserved(name: string, jobs: readonly JobRecord[]): string[] {
  const done = jobs.filter((job) => job.done.size >= job.spec.tasks).length;
  return done < jobs.length / 2 ? [`${name}: ${done} of ${jobs.length} served`] : [];
}

function largestOf(jobs: readonly JobRecord[]): JobRecord[] {
  const count = Math.max(1, Math.floor(jobs.length * LARGEST_SHARE));
  return [...jobs].sort((a, b) => b.spec.tasks - a.spec.tasks).slice(0, count);
}

function beganLate(job: JobRecord): boolean {
  return (job.begunAt ?? Infinity) - job.submittedAt > LARGEST_MS;
}
