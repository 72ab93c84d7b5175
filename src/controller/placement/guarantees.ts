/** Which jobs are inside the guarantee of their team. */
import type { Job } from '../model/entities.js';
import type { Team } from '../settings/platform.js';
import { AMOUNT_TOLERANCE } from '../model/resource-request.js';

/**
 * Marks the jobs that fit into their team's guarantee together with the team's earlier unfinished ones
 * (PROTOCOL, "How aims are counted"). A guarantee of 0 states nothing for that resource.
 */
export class Guarantees {
  constructor(private readonly teams: readonly Team[]) {}

  /** Sets `guaranteed` of every job, in the order of their submission. */
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
