/** Failures of tasks: machines are quarantined for them, and jobs back off. */
import type { AssignmentOutcome, Job, Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';

/**
 * Longest quarantine in worker leases: the machine may be the only one that fits a job, and no job may
 * wait for long beside free capacity.
 */
const QUARANTINE_MAX_LEASES = 3;

/** Longest backoff of a job after failures, in worker leases. */
const BACKOFF_MAX_LEASES = 2;

/** Failures after which the backoff of a job, or of a machine for a service, no longer doubles. */
const BACKOFF_MAX_DOUBLINGS = 5;

/** Outcomes of a service's replica that tell something about it or its machine. */
const REPLICA_EXITS: ReadonlySet<AssignmentOutcome> = new Set<AssignmentOutcome>([
  'done',
  'error',
  'busy',
  'unknown',
  'other',
]);

/** Outcomes that are no failure of the task; its job pauses for one heartbeat interval. */
const UNEXPLAINED_EXITS: ReadonlySet<AssignmentOutcome> = new Set<AssignmentOutcome>([
  'busy',
  'unknown',
  'other',
]);

/** Quarantines failing machines and delays failing jobs. */
export class FailureTracker {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly settings: Settings,
  ) {}

  /** Records that a task was completed on the machine: its consecutive failures start from zero. */
  recordSuccess(machine: Machine): void {
    machine.failedJobs.clear();
    machine.consecutiveQuarantines = 0;
  }

  /** Records that a task of the job ended on the machine without being completed. */
  recordFailure(machine: Machine, job: Job, outcome: AssignmentOutcome): void {
    const now = this.eventLoop.now();
    const pausedUntil = now + this.settings.heartbeatIntervalMs;
    if (job.isService && REPLICA_EXITS.has(outcome)) this.avoidMachine(machine, job, now);
    if (outcome === 'error') this.recordError(machine, job, now);
    else if (outcome === 'no_room')
      machine.unschedulableUntil = Math.max(machine.unschedulableUntil, pausedUntil);
    else if (!job.isService && UNEXPLAINED_EXITS.has(outcome))
      job.backoffUntil = Math.max(job.backoffUntil, pausedUntil);
  }

  private recordError(machine: Machine, job: Job, now: number): void {
    job.failedMachines.add(machine.id);
    if (job.isService) {
      // The service goes on elsewhere at once; it backs off only if it fails on several machines.
      if (this.isFaulty(job)) job.backoffUntil = now + this.settings.heartbeatIntervalMs;
    } else {
      job.errorCount++;
      job.backoffUntil = now + this.backoffMs(job.errorCount);
    }
    this.recordMachineFailure(machine, job, now);
  }

  /** A replica that ends by itself runs again elsewhere; its machine is avoided for a time that doubles. */
  private avoidMachine(machine: Machine, job: Job, now: number): void {
    const replicaExits = (job.avoidedMachines.get(machine.id)?.replicaExits ?? 0) + 1;
    job.avoidedMachines.set(machine.id, {
      replicaExits,
      until: now + this.backoffMs(replicaExits),
    });
  }

  /** Backoff in ms after so many failures: it doubles with each, up to a number of leases. */
  private backoffMs(failures: number): number {
    const uncappedMs =
      this.settings.heartbeatIntervalMs * 2 ** Math.min(failures, BACKOFF_MAX_DOUBLINGS);
    return Math.min(uncappedMs, this.settings.workerLeaseMs * BACKOFF_MAX_LEASES);
  }

  /** A job that has failed on several machines is itself the cause; it counts against no machine. */
  private isFaulty(job: Job): boolean {
    return job.failedMachines.size > this.settings.get('fleet.strikes');
  }

  /** Counts a failed job against the machine, and quarantines it once enough jobs have failed there. */
  private recordMachineFailure(machine: Machine, job: Job, now: number): void {
    if (!this.isFaulty(job)) machine.failedJobs.add(job.spec.id);
    // A machine that fails again after a quarantine goes back at once.
    const threshold = machine.consecutiveQuarantines > 0 ? 1 : this.settings.get('fleet.strikes');
    if (machine.failedJobs.size < threshold) return;
    machine.consecutiveQuarantines++;
    machine.failedJobs.clear();
    const leases = Math.min(2 ** machine.consecutiveQuarantines, QUARANTINE_MAX_LEASES);
    machine.unschedulableUntil = now + this.settings.workerLeaseMs * leases;
    this.eventLoop.log.warn({ machine: machine.id }, 'machine quarantined');
  }
}
