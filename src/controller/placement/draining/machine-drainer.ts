/** Emptying of machines that will be taken or returned. */
import type { Assignment, Job, Machine } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { Workers } from '../../workers/workers.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import { Migrations } from './migrations.js';
import { isAllowed } from '../capacity/machine-kind.js';
import { countFittingTasks, resourceRequestOf } from '../../model/resource-request.js';
import { spreadAllowance } from '../capacity/zones.js';

/** A replica leaves a machine that goes at least this long before, in report intervals. */
const MOVE_AHEAD = 1.5;

/** Empties machines that will be taken or returned, where that saves something. */
export class MachineDrainer {
  private readonly moves = new Migrations();

  constructor(
    private readonly settings: Settings,
    private readonly workers: Workers,
    private readonly estimator: DurationEstimator,
    /** Whether tasks may be placed on the machine now. */
    private readonly isSchedulable: (machine: Machine, now: number) => boolean,
  ) {}

  /** Stops the tasks that have to leave their machines now. */
  run(now: number): void {
    this.moves.removeFinished();
    for (const machine of this.workers.machines.values()) {
      if (machine.interruptionAt === null && !machine.releasing) continue;
      const leftMs = machine.interruptionAt === null ? Infinity : machine.interruptionAt - now;
      for (const assignment of [...machine.assignments.values()])
        this.drainTask(assignment, leftMs, now);
    }
  }

  /** Stops a task that would not end in time by itself. */
  private drainTask(assignment: Assignment, leftMs: number, now: number): void {
    const { job } = assignment;
    if (assignment.stop !== null || assignment.phase === 'ended' || job === null) return;
    if (this.estimator.remainingMs(assignment, now) < leftMs - this.settings.heartbeatIntervalMs)
      return;
    if (job.isService && !this.migratesNow(assignment, job, leftMs, now)) return;
    const { spec } = job;
    const saves = spec.checkpointIntervalS > 0 && assignment.state === 'running';
    const graceS = saves ? spec.checkpointSaveS : 0;
    if (spec.kind === 'gang') this.workers.stopJob(job, graceS, 'machine goes');
    else this.workers.stop(assignment, graceS, 'machine goes');
  }

  /** A replica moves as soon as it can start elsewhere at once, and else as late as is safe. */
  private migratesNow(assignment: Assignment, job: Job, leftMs: number, now: number): boolean {
    if (leftMs < this.settings.heartbeatIntervalMs * MOVE_AHEAD) return true;
    const destination = this.destination(assignment, job, now);
    if (destination === null) return false;
    this.moves.begin(assignment, job, destination);
    return true;
  }

  /** A machine that has the image, and room that no other replica is about to move to. */
  private destination(assignment: Assignment, job: Job, now: number): Machine | null {
    const { spec } = job;
    const request = resourceRequestOf(spec);
    for (const machine of this.workers.machines.values()) {
      const { type, zone, spot } = machine;
      if (machine === assignment.machine || type === null || !machine.images.has(spec.image))
        continue;
      if (!isAllowed(spec, { type, zone, spot }) || !this.isSchedulable(machine, now)) continue;
      if (job.avoids(machine.id, now) || !zoneAllows(job, assignment, zone)) continue;
      const taken = this.moves.reservedOn(machine);
      const cpus = type.cpus - machine.cpus - taken.cpus;
      const gpus = type.gpus - machine.gpus - taken.gpus;
      const memoryGb = type.memoryGb - machine.memoryGb - taken.memoryGb;
      if (countFittingTasks(request, cpus, gpus, memoryGb) > 0) return machine;
    }
    return null;
  }
}

/** Whether a replica that leaves its machine may start in the zone, beside the others of its service. */
function zoneAllows({ allAssignments, spec }: Job, leaving: Assignment, zone: string): boolean {
  let there = 0;
  for (const assignment of allAssignments) {
    if (assignment === leaving || assignment.phase === 'ended') continue;
    if (assignment.machine.zone === zone) there++;
    else if (spec.singleZone) return false;
  }
  return !spec.spread || spreadAllowance(spec, there) > 0;
}
