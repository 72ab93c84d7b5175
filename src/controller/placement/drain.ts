import type { Job } from '../jobs/table.js';
import type { Settings } from '../settings/settings.js';
import type { Assignment } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';
import type { Workers } from '../workers/workers.js';
import type { Estimates } from './estimates.js';
import { Moves } from './moves.js';
import { allowed, needOf, whole } from './room.js';

/** A replica leaves a machine that goes at least this long before, in report intervals. */
const MOVE_AHEAD = 1.5;

/** Empties machines that will be taken or returned, where that saves something. */
export class Drain {
  private readonly moves = new Moves();

  constructor(
    private readonly settings: Settings,
    private readonly workers: Workers,
    private readonly estimates: Estimates,
    /** Whether tasks may be placed on the machine now. */
    private readonly usable: (m: Machine, now: number) => boolean,
  ) {}

  run(now: number): void {
    this.moves.settle();
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
    if (left < this.settings.reportMs * MOVE_AHEAD) return true;
    const to = this.destination(a, job, now);
    if (to === null) return false;
    this.moves.begin(a, job, to);
    return true;
  }

  /** A machine that has the image, and room that no other replica is about to move to. */
  private destination(a: Assignment, job: Job, now: number): Machine | null {
    const { spec } = job;
    const need = needOf(spec);
    for (const m of this.workers.machines.values()) {
      const { type, zone, spot } = m;
      if (m === a.machine || type === null || !m.images.has(spec.image)) continue;
      if (!allowed(spec, { type, zone, spot }) || !this.usable(m, now)) continue;
      if (job.avoids(m.id, now) || !zoneAllows(job, a, zone)) continue;
      const taken = this.moves.takenOn(m);
      const cpus = type.cpus - m.cpus - taken.cpus;
      const gpus = type.gpus - m.gpus - taken.gpus;
      if (whole(need, cpus, gpus, type.memoryGb - m.memoryGb - taken.memoryGb) > 0) return m;
    }
    return null;
  }
}

/** Whether a replica that leaves its machine may start in the zone, beside the others of its service. */
function zoneAllows({ all, spec }: Job, leaving: Assignment, zone: string): boolean {
  let there = 0;
  for (const a of all) {
    if (a === leaving || a.phase === 'ended') continue;
    if (a.machine.zone === zone) there++;
    else if (spec.oneZone) return false;
  }
  return !spec.spread || there < Math.ceil(spec.tasks / 2);
}
