/** Decides which jobs are covered by the guarantee of their team. */
import type { Job } from '../model/entities.js';
import type { Team } from '../settings/platform.js';
import { AMOUNT_TOLERANCE } from '../model/resource-request.js';

/**
 * Marks the jobs covered by the guarantee of their team. A job is covered if its unfinished tasks fit into
 * the guarantee together with the unfinished tasks of all jobs that the team submitted earlier (PROTOCOL, "How
 * aims are counted"). A guarantee of 0 means that the team has no guarantee for that resource.
 */
export class Guarantees {
  constructor(private readonly teams: readonly Team[]) {}

  /** Sets `guaranteed` on every job, going through the jobs in order of submission. */
  mark(jobs: Iterable<Job>): void {
    const remainingByTeam = new Map(
      this.teams.map((team) => [
        team.name,
        { cpus: team.guaranteedCpus, gpus: team.guaranteedGpus, team },
      ]),
    );
    for (const job of [...jobs].sort((a, b) => a.submittedAt - b.submittedAt)) {
      job.guaranteed = false;
      const remaining = remainingByTeam.get(job.spec.team);
      if (remaining === undefined) continue;
      const unfinished = job.spec.tasks - job.doneCount;
      const cpus = remaining.team.guaranteedCpus > 0 ? job.spec.cpus * unfinished : 0;
      const gpus = remaining.team.guaranteedGpus > 0 ? job.spec.gpus * unfinished : 0;
      job.guaranteed =
        cpus + gpus > 0 &&
        cpus <= remaining.cpus + AMOUNT_TOLERANCE &&
        gpus <= remaining.gpus + AMOUNT_TOLERANCE;
      remaining.cpus -= cpus;
      remaining.gpus -= gpus;
    }
  }
}
