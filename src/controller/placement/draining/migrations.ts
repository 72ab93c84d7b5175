/** Replicas of services that are moved from machines that go. */
import type { Assignment, Job, Machine } from '../../model/entities.js';
import type { ResourceRequest } from '../../model/resource-request.js';

/** A replica that was stopped because another machine has a place ready for it. */
interface Migration {
  from: Assignment;
  job: Job;
  to: Machine;
}

/** Replicas on the move: none of their places is ready for a second one. */
export class Migrations {
  private migrations: Migration[] = [];

  /** The replica leaves its machine, and is to start again on the other. */
  begin(from: Assignment, job: Job, to: Machine): void {
    this.migrations.push({ from, job, to });
  }

  /** Forgets the moves that are over: the replica has a place again, or none is wanted any more. */
  removeFinished(): void {
    this.migrations = this.migrations.filter(({ from, job }) => {
      const current = job.currentAssignments.get(from.task);
      return job.terminalState === null && (current === undefined || current === from);
    });
  }

  /** What the replicas that move to the machine will take there. */
  reservedOn(machine: Machine): ResourceRequest {
    const taken = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const { from, to } of this.migrations) {
      if (to !== machine) continue;
      taken.cpus += from.request.cpus;
      taken.gpus += from.request.gpus;
      taken.memoryGb += from.request.memoryGb;
    }
    return taken;
  }
}
