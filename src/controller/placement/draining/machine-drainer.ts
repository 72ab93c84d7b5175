/** Draining of machines that are about to be interrupted or released. */
import type { Assignment, Job, Machine } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import type { Workers } from '../../workers/workers.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import { Migrations } from './migrations.js';
import { isAllowed } from '../capacity/machine-kind.js';
import { countFittingTasks, resourceRequestOf } from '../../model/resource-request.js';
import { spreadAllowance } from '../capacity/zones.js';

/** A replica is stopped at least this many heartbeat intervals before its machine is interrupted. */
const MIGRATION_LEAD_TIME_INTERVALS = 1.5;

/**
 * Drains machines that are about to be interrupted or released, by evicting the tasks that would not end in
 * time. A running task with checkpoints is given time to save one.
 */
export class MachineDrainer {
  private readonly migrations = new Migrations();

  constructor(
    private readonly settings: Pick<Settings, 'heartbeatIntervalMs'>,
    private readonly workers: Pick<Workers, 'machines' | 'stop' | 'stopJob'>,
    private readonly estimator: Pick<DurationEstimator, 'remainingMs'>,
    /** Whether tasks may be placed on the machine now. */
    private readonly isSchedulable: (machine: Machine, now: number) => boolean,
  ) {}

  /** Evicts the tasks that have to be stopped now. */
  run(now: number): void {
    this.migrations.removeFinished();
    for (const machine of this.workers.machines.values()) {
      if (machine.interruptionAt === null && !machine.releasing) continue;
      const timeLeftOnMachineMs =
        machine.interruptionAt === null ? Infinity : machine.interruptionAt - now;
      for (const assignment of [...machine.assignments.values()])
        this.evictUnlessDoneInTime(assignment, timeLeftOnMachineMs, now);
    }
  }

  /**
   * Stops the task, or its whole gang if it belongs to one, unless the task is expected to end in time. A
   * replica of a service is stopped only when its migration is due.
   */
  private evictUnlessDoneInTime(
    assignment: Assignment,
    timeLeftOnMachineMs: number,
    now: number,
  ): void {
    const { job } = assignment;
    if (assignment.stop !== null || assignment.phase === 'ended' || job === null) return;
    if (
      this.estimator.remainingMs(assignment, now) <
      timeLeftOnMachineMs - this.settings.heartbeatIntervalMs
    )
      return;
    if (job.isService && !this.migratesNow(assignment, job, timeLeftOnMachineMs, now)) return;
    const { spec } = job;
    const savesCheckpoint = spec.checkpointIntervalS > 0 && assignment.state === 'running';
    const graceS = savesCheckpoint ? spec.checkpointSaveS : 0;
    if (spec.kind === 'gang') this.workers.stopJob(job, graceS, 'machine drained');
    else this.workers.stop(assignment, graceS, 'machine drained');
  }

  /**
   * Returns whether the replica is to be stopped now: as soon as another machine can start it without delay,
   * and otherwise shortly before the interruption. In the first case, reserves capacity on the other machine.
   */
  private migratesNow(
    assignment: Assignment,
    job: Job,
    timeLeftOnMachineMs: number,
    now: number,
  ): boolean {
    if (timeLeftOnMachineMs < this.settings.heartbeatIntervalMs * MIGRATION_LEAD_TIME_INTERVALS)
      return true;
    const destination = this.findDestination(assignment, job, now);
    if (destination === null) return false;
    this.migrations.begin(assignment, job, destination);
    return true;
  }

  /**
   * Returns a machine that caches the image and has capacity which no other migration reserves; null if
   * there is none.
   */
  private findDestination(assignment: Assignment, job: Job, now: number): Machine | null {
    const { spec } = job;
    const request = resourceRequestOf(spec);
    for (const machine of this.workers.machines.values()) {
      const { type, zone, spot } = machine;
      if (machine === assignment.machine || type === null || !machine.images.has(spec.image))
        continue;
      if (!isAllowed(spec, { type, zone, spot }) || !this.isSchedulable(machine, now)) continue;
      if (job.avoids(machine.id, now) || !zoneAllows(job, assignment, zone)) continue;
      const reserved = this.migrations.reservedOn(machine);
      const cpus = type.cpus - machine.cpus - reserved.cpus;
      const gpus = type.gpus - machine.gpus - reserved.gpus;
      const memoryGb = type.memoryGb - machine.memoryGb - reserved.memoryGb;
      if (countFittingTasks(request, cpus, gpus, memoryGb) > 0) return machine;
    }
    return null;
  }
}

/** Returns whether the zone rules of the service allow the migrating replica to start in the zone. */
function zoneAllows({ allAssignments, spec }: Job, migrating: Assignment, zone: string): boolean {
  let replicasInZone = 0;
  for (const assignment of allAssignments) {
    if (assignment === migrating || assignment.phase === 'ended') continue;
    if (assignment.machine.zone === zone) replicasInZone++;
    else if (spec.singleZone) return false;
  }
  return !spec.spread || spreadAllowance(spec, replicasInZone) > 0;
}
