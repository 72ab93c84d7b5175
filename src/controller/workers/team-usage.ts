/** What teams take of their limits, and which jobs are inside their guarantees. */
import type { Team } from '../settings/platform.js';
import { Settings } from '../settings/settings.js';
import type { Assignment, Job } from '../model/entities.js';
import type { JobSpec } from '../wire/jobs.js';
import { AMOUNT_TOLERANCE, countFitting, type ResourceRequest } from '../model/resource-request.js';

/** What the tasks of one team take. */
interface Usage {
  team: Team;
  tasks: number;
  cpus: number;
  gpus: number;
}

/** What each team's tasks take; kept as tasks come and go. */
export class TeamUsage {
  private readonly usages = new Map<string, Usage>();

  constructor(teams: readonly Team[]) {
    for (const team of teams) this.usages.set(team.name, { team, tasks: 0, cpus: 0, gpus: 0 });
  }

  /** Negative counts are tasks that are gone. */
  add(team: string, need: ResourceRequest, count: number): void {
    const use = this.usages.get(team);
    if (use === undefined) return;
    use.tasks += count;
    use.cpus += need.cpus * count;
    use.gpus += need.gpus * count;
    // Sums of decimals drift; a team without tasks has none.
    if (use.tasks === 0) {
      use.cpus = 0;
      use.gpus = 0;
    }
  }

  /** How many more tasks the team's limit lets in. */
  allowance(spec: JobSpec): number {
    const use = this.usages.get(spec.team);
    if (use === undefined) return 0;
    return Math.max(
      0,
      Math.min(
        countFitting(Settings.effectiveCap(use.team.maxCpus) - use.cpus, spec.cpus),
        countFitting(Settings.effectiveCap(use.team.maxGpus) - use.gpus, spec.gpus),
      ),
    );
  }

  /** The team would still have its guarantee without this task: the task runs on borrowed room. */
  borrows(assignment: Assignment): boolean {
    const use = this.usages.get(assignment.team);
    if (use === undefined) return false;
    const over = (used: number, need: number, guaranteed: number): boolean =>
      need > 0 && used - need >= guaranteed - AMOUNT_TOLERANCE;
    const { request } = assignment;
    // Only what is guaranteed at all can be borrowed beyond.
    if (use.team.guaranteedGpus > 0 && request.gpus > 0)
      return over(use.gpus, request.gpus, use.team.guaranteedGpus);
    if (use.team.guaranteedCpus > 0 && request.cpus > 0)
      return over(use.cpus, request.cpus, use.team.guaranteedCpus);
    return true;
  }

  /** What each team takes now. */
  state(): { name: string; cpus: number; gpus: number; team: Team }[] {
    return [...this.usages.values()].map((use) => ({
      name: use.team.name,
      cpus: use.cpus,
      gpus: use.gpus,
      team: use.team,
    }));
  }
}

/**
 * Marks the jobs that fit into their team's guarantee together with the team's earlier unfinished
 * ones (PROTOCOL, "How aims are counted"). A guarantee of 0 states nothing for that kind of room.
 */
export class Guarantees {
  constructor(private readonly teams: readonly Team[]) {}

  /** Marks the jobs, in the order of their submission. */
  mark(jobs: Iterable<Job>): void {
    const leftByTeam = new Map(
      this.teams.map((team) => [
        team.name,
        { cpus: team.guaranteedCpus, gpus: team.guaranteedGpus, team },
      ]),
    );
    for (const job of [...jobs].sort((a, b) => a.submittedAt - b.submittedAt)) {
      job.guaranteed = false;
      const left = leftByTeam.get(job.spec.team);
      if (left === undefined) continue;
      const tasks = job.spec.tasks - job.doneCount;
      const cpus = left.team.guaranteedCpus > 0 ? job.spec.cpus * tasks : 0;
      const gpus = left.team.guaranteedGpus > 0 ? job.spec.gpus * tasks : 0;
      job.guaranteed =
        cpus + gpus > 0 &&
        cpus <= left.cpus + AMOUNT_TOLERANCE &&
        gpus <= left.gpus + AMOUNT_TOLERANCE;
      left.cpus -= cpus;
      left.gpus -= gpus;
    }
  }
}
