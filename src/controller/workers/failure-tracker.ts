/** Handles failed tasks: quarantines machines and applies a backoff to jobs. */
import type { AssignmentOutcome, Job, Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';

/**
 * Maximum quarantine of a machine, in worker leases. It is short because the machine may be the
 * only one that fits a job, and no job should wait long while capacity for it is free.
 */
const QUARANTINE_MAX_LEASES = 3;

/**
 * Maximum backoff of a job, and maximum time for which a service avoids a machine, in worker
 * leases.
 */
const BACKOFF_MAX_LEASES = 2;

/**
 * Maximum number of times that the backoff of a job, or the time for which a service avoids a
 * machine, is doubled.
 */
const BACKOFF_MAX_DOUBLINGS = 5;

/**
 * Outcomes of a replica after which its service avoids the machine, because the machine may be the
 * cause.
 */
const REPLICA_EXITS: ReadonlySet<AssignmentOutcome> = new Set<AssignmentOutcome>([
  'done',
  'error',
  'busy',
  'unknown',
  'other',
]);

/**
 * Outcomes that do not count as failures. After one of them, no task of the job is placed for one
 * heartbeat interval, unless the job is a service.
 */
const UNEXPLAINED_EXITS: ReadonlySet<AssignmentOutcome> = new Set<AssignmentOutcome>([
  'busy',
  'unknown',
  'other',
]);

/** Quarantines machines on which tasks fail, and delays jobs whose tasks fail. */
export class FailureTracker {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly settings: Settings,
  ) {}

  /**
   * Records that a task was completed on the machine, which resets the machine's failure counts.
   */
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
      // The replica may start on another machine immediately. The service backs off only if it has
      // failed on more than `fleet.strikes` machines.
      if (this.isFaulty(job)) job.backoffUntil = now + this.settings.heartbeatIntervalMs;
    } else {
      job.errorCount++;
      job.backoffUntil = now + this.backoffMs(job.errorCount);
    }
    this.recordMachineFailure(machine, job, now);
  }

  /**
   * Makes the service avoid the machine on which a replica exited, so that the replica runs on
   * another machine. The time for which the machine is avoided doubles with each exit of a replica
   * on it, up to a maximum.
   */
  private avoidMachine(machine: Machine, job: Job, now: number): void {
    const replicaExits = (job.avoidedMachines.get(machine.id)?.replicaExits ?? 0) + 1;
    job.avoidedMachines.set(machine.id, {
      replicaExits,
      until: now + this.backoffMs(replicaExits),
    });
  }

  /**
   * Returns the backoff in ms after this many failures. It doubles with each failure up to a
   * maximum.
   */
  private backoffMs(failureCount: number): number {
    const uncappedMs =
      this.settings.heartbeatIntervalMs * 2 ** Math.min(failureCount, BACKOFF_MAX_DOUBLINGS);
    return Math.min(uncappedMs, this.settings.workerLeaseMs * BACKOFF_MAX_LEASES);
  }

  /**
   * Returns true if the job has failed on so many machines that the job itself is assumed to be at
   * fault. Its failures then do not count against machines.
   */
  private isFaulty(job: Job): boolean {
    return job.failedMachines.size > this.settings.get('fleet.strikes');
  }

  /** Counts the failed job against the machine, and quarantines the machine at the threshold. */
  private recordMachineFailure(machine: Machine, job: Job, now: number): void {
    if (!this.isFaulty(job)) machine.failedJobs.add(job.spec.id);
    // A machine that fails again after a quarantine, before it completes a task, is quarantined
    // again after a single failed job.
    const threshold = machine.consecutiveQuarantines > 0 ? 1 : this.settings.get('fleet.strikes');
    if (machine.failedJobs.size < threshold) return;
    machine.consecutiveQuarantines++;
    machine.failedJobs.clear();
    const quarantineLeases = Math.min(2 ** machine.consecutiveQuarantines, QUARANTINE_MAX_LEASES);
    machine.unschedulableUntil = now + this.settings.workerLeaseMs * quarantineLeases;
    this.eventLoop.log.warn({ machine: machine.id }, 'machine quarantined');
  }
}
