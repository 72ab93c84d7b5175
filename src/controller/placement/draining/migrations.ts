/** Migrations of replicas from machines that are drained. */
import type { Assignment, Job, Machine } from '../../model/entities.js';
import type { ResourceRequest } from '../../model/resource-request.js';

/** A replica that was stopped because it can start at once on another machine. */
interface Migration {
  oldAssignment: Assignment;
  job: Job;
  destination: Machine;
}

/** The migrations that are not over: what they take on their destinations is not there for others. */
export class Migrations {
  private migrations: Migration[] = [];

  /** The replica leaves its machine and is to start again on the other. */
  begin(oldAssignment: Assignment, job: Job, destination: Machine): void {
    this.migrations.push({ oldAssignment: oldAssignment, job, destination: destination });
  }

  /** Forgets the migrations that are over: the replica is assigned again, or its job has ended. */
  removeFinished(): void {
    this.migrations = this.migrations.filter(({ oldAssignment: oldAssignment, job }) => {
      const current = job.currentAssignments.get(oldAssignment.task);
      return job.terminalState === null && (current === undefined || current === oldAssignment);
    });
  }

  /** What the replicas that migrate to the machine will take there. */
  reservedOn(machine: Machine): ResourceRequest {
    const reserved = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const { oldAssignment: oldAssignment, destination: destination } of this.migrations) {
      if (destination !== machine) continue;
      reserved.cpus += oldAssignment.request.cpus;
      reserved.gpus += oldAssignment.request.gpus;
      reserved.memoryGb += oldAssignment.request.memoryGb;
    }
    return reserved;
  }
}
