import type { Job } from '../jobs/table.js';
import type { Settings } from '../settings/settings.js';
import type { Assignment } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';
import type { Workers } from '../workers/workers.js';
import type { Estimates } from './estimates.js';
import { allowed, needOf, whole } from './room.js';

/** A replica leaves a machine that goes at least this long before, in report intervals. */
const MOVE_AHEAD = 1.5;

/** Empties machines that will be taken or returned, where that saves something. */
export class Drain {
  constructor(
    private readonly settings: Settings,
    private readonly workers: Workers,
    private readonly estimates: Estimates,
    /** Whether tasks may be placed on the machine now. */
    private readonly usable: (m: Machine, now: number) => boolean,
  ) {}

  run(now: number): void {
    for (const m of this.workers.machines.values()) {
      if (m.noticeAt === null && !m.leaving) continue;
      const left = m.noticeAt === null ? Infinity : m.noticeAt - now;
      for (const a of [...m.assignments.values()]) {
        if (a.stop !== null || a.phase === 'ended' || a.job === null) continue;
        if (this.estimates.remainingMs(a, now) < left - this.settings.reportMs) continue;
        if (a.job.standing && !this.movesNow(a, a.job, left, now)) continue;
        const { spec } = a.job;
        const saves = spec.checkpointS > 0 && a.state === 'running';
        const grace = saves ? spec.saveS : 0;
        if (spec.kind === 'gang') this.workers.stopJob(a.job, grace, 'machine goes');
        else this.workers.stop(a, grace, 'machine goes');
      }
    }
  }

  /** A replica moves as soon as it can start elsewhere at once, and else as late as is safe. */
  private movesNow(a: Assignment, job: Job, left: number, now: number): boolean {
    return left < this.settings.reportMs * MOVE_AHEAD || this.canMove(a, job, now);
  }

  /** Whether there is room elsewhere that has the image. */
  private canMove(a: Assignment, { spec }: Job, now: number): boolean {
    const need = needOf(spec);
    for (const m of this.workers.machines.values()) {
      const { type, zone, spot } = m;
      if (m === a.machine || type === null || !m.images.has(spec.image)) continue;
      if (!allowed(spec, { type, zone, spot }) || !this.usable(m, now)) continue;
      if (whole(need, type.cpus - m.cpus, type.gpus - m.gpus, type.memoryGb - m.memoryGb) > 0)
        return true;
    }
    return false;
  }
}
