import type { Job } from '../jobs/table.js';
import { isMap } from '../wire/cbor.js';
import type { JobSpec } from '../wire/jobs.js';
import type { Assignment } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';

/** Weight of the newest run in a class's correction. */
const LEARN = 0.15;
const BOUND = 4;
/** Classes remembered; users name them, so they could be many. */
const CLASSES = 40;

/** The task may still be waiting for its image. */
function fetches(a: Assignment): a is Assignment & { job: Job } {
  return a.job !== null && a.phase !== 'ended' && (a.state === null || a.state === 'fetching');
}

/**
 * How long things take. Owners err by half, and on some days all one way, so their estimates are
 * corrected by what each class was seen to take.
 */
export class Estimates {
  private readonly logRatio = new Map<string, number>();

  observe(spec: JobSpec, tookMs: number): void {
    if (spec.estimateS <= 0 || tookMs <= 0) return;
    const seen = Math.log(Math.min(BOUND, Math.max(1 / BOUND, tookMs / (spec.estimateS * 1000))));
    const old = this.logRatio.get(spec.class) ?? 0;
    this.logRatio.delete(spec.class);
    this.logRatio.set(spec.class, old + LEARN * (seen - old));
    if (this.logRatio.size > CLASSES) {
      const oldest = this.logRatio.keys().next();
      if (oldest.done !== true) this.logRatio.delete(oldest.value);
    }
  }

  /** What has been learned, for the leader after this one. */
  export(): Record<string, number> {
    return Object.fromEntries([...this.logRatio].filter(([cls]) => cls.length <= 64));
  }

  import(learned: unknown): void {
    if (!isMap(learned)) return;
    for (const [cls, ratio] of Object.entries(learned))
      if (typeof ratio === 'number') this.logRatio.set(cls, ratio);
  }

  ratio(cls: string): number {
    return Math.exp(this.logRatio.get(cls) ?? 0);
  }

  runMs(spec: JobSpec): number {
    if (spec.kind === 'service') return Infinity;
    return spec.estimateS * 1000 * this.ratio(spec.class);
  }

  /** How long a task that is put there now waits for its image. */
  fetchMs(spec: JobSpec, m: Machine, now: number): number {
    if (m.images.has(spec.image)) return 0;
    const rate = m.type?.fetchGbPerS ?? 0;
    if (rate <= 0) return 0;
    // Images that are fetched at the same time share the rate; each delays by at most its own size.
    // A machine fetches an image once, so a task joins a fetch that is under way.
    let gb = spec.imageGb;
    let since = now;
    let others: Set<string> | null = null;
    for (const a of m.assignments.values()) {
      if (!fetches(a)) continue;
      const other = a.job.spec;
      if (other.image === spec.image) since = Math.min(since, a.since);
      if (other.image === spec.image || m.images.has(other.image)) continue;
      others ??= new Set();
      if (others.has(other.image)) continue;
      others.add(other.image);
      gb += Math.min(other.imageGb, spec.imageGb);
    }
    return Math.max(0, (gb / rate) * 1000 - (now - since));
  }

  /** Whether a task there would need a fetch of its own. */
  cold(spec: JobSpec, m: Machine): boolean {
    if (m.images.has(spec.image)) return false;
    for (const a of m.assignments.values())
      if (fetches(a) && a.job.spec.image === spec.image) return false;
    return true;
  }

  /** Until the task has left its machine by itself. */
  remainingMs(a: Assignment, now: number): number {
    if (a.stop !== null || a.job === null)
      return Math.max(500, a.saveS * 1000 * Math.sign(a.stop?.graceS ?? 0));
    const { spec } = a.job;
    if (a.runningAt === null && a.state !== 'running')
      return this.fetchMs(spec, a.machine, now) + this.runMs(spec);
    const elapsed = now - (a.runningAt ?? a.since);
    const left = this.runMs(spec) - elapsed;
    // Overdue work tends to go on for a share of what it has taken so far.
    return left > 0 ? left : Math.max(1000, 0.25 * elapsed);
  }
}
