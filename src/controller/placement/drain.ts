/** Emptying of machines that will be taken or returned. */
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
    private readonly usable: (machine: Machine, now: number) => boolean,
  ) {}

  /** Stops the tasks that have to leave their machines now. */
  run(now: number): void {
    for (const machine of this.workers.machines.values()) {
      if (machine.noticeAt === null && !machine.leaving) continue;
      const leftMs = machine.noticeAt === null ? Infinity : machine.noticeAt - now;
      for (const assignment of [...machine.assignments.values()])
        this.drainTask(assignment, leftMs, now);
    }
  }

  /** Stops a task that would not end in time by itself. */
  private drainTask(assignment: Assignment, leftMs: number, now: number): void {
    const { job } = assignment;
    if (assignment.stop !== null || assignment.phase === 'ended' || job === null) return;
    if (this.estimates.remainingMs(assignment, now) < leftMs - this.settings.reportMs) return;
    if (job.standing && !this.movesNow(assignment, job, leftMs, now)) return;
    const { spec } = job;
    const saves = spec.checkpointS > 0 && assignment.state === 'running';
    const graceS = saves ? spec.saveS : 0;
    if (spec.kind === 'gang') this.workers.stopJob(job, graceS, 'machine goes');
    else this.workers.stop(assignment, graceS, 'machine goes');
  }

  /** A replica moves as soon as it can start elsewhere at once, and else as late as is safe. */
  private movesNow(assignment: Assignment, job: Job, leftMs: number, now: number): boolean {
    return leftMs < this.settings.reportMs * MOVE_AHEAD || this.canMove(assignment, job, now);
  }

  /** Whether there is room elsewhere that has the image. */
  private canMove(assignment: Assignment, { spec }: Job, now: number): boolean {
    const need = needOf(spec);
    for (const machine of this.workers.machines.values()) {
      const { type, zone, spot } = machine;
      if (machine === assignment.machine || type === null || !machine.images.has(spec.image))
        continue;
      if (!allowed(spec, { type, zone, spot }) || !this.usable(machine, now)) continue;
      const cpus = type.cpus - machine.cpus;
      const gpus = type.gpus - machine.gpus;
      const memoryGb = type.memoryGb - machine.memoryGb;
      if (whole(need, cpus, gpus, memoryGb) > 0) return true;
    }
    return false;
  }
}
