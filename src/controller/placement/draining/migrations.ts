/** Migrations of service replicas away from machines that are being drained. */
import type { Assignment, Job, Machine } from '../../model/entities.js';
import type { ResourceRequest } from '../../model/resource-request.js';

/** The migration of a replica that is stopped because another machine can start it without delay. */
interface Migration {
  oldAssignment: Assignment;
  job: Job;
  destination: Machine;
}

/**
 * The migrations in progress. Each reserves capacity on its destination, so that other replicas do not
 * migrate to the same capacity.
 */
export class Migrations {
  private migrations: Migration[] = [];

  /** Adds a replica that is about to be stopped on its machine and restarted on the destination. */
  begin(oldAssignment: Assignment, job: Job, destination: Machine): void {
    this.migrations.push({ oldAssignment, job, destination });
  }

  /** Removes the migrations whose replica has been assigned again or whose job has ended. */
  removeFinished(): void {
    this.migrations = this.migrations.filter(({ oldAssignment, job }) => {
      const current = job.currentAssignments.get(oldAssignment.task);
      return job.terminalState === null && (current === undefined || current === oldAssignment);
    });
  }

  /** Returns the resources reserved on the machine by replicas that migrate to it. */
  reservedOn(machine: Machine): ResourceRequest {
    const reserved = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const { oldAssignment, destination } of this.migrations) {
      if (destination !== machine) continue;
      reserved.cpus += oldAssignment.request.cpus;
      reserved.gpus += oldAssignment.request.gpus;
      reserved.memoryGb += oldAssignment.request.memoryGb;
    }
    return reserved;
  }
}
