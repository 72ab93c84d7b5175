/** Tracks the resources that each team uses, for its limits and guarantees. */
import type { Assignment } from '../model/entities.js';
import { AMOUNT_TOLERANCE, countFitting, type ResourceRequest } from '../model/resource-request.js';
import type { Team } from '../settings/platform.js';
import { Settings } from '../settings/settings.js';
import type { JobSpec } from '../wire/jobs.js';

/** The tasks of one team that are not proven gone, and the resources that they use. */
interface Usage {
  team: Team;
  tasks: number;
  cpus: number;
  gpus: number;
}

/** A team and the resources that it uses at present. */
export interface TeamUsageEntry {
  name: string;
  cpus: number;
  gpus: number;
  team: Team;
}

/**
 * Resources used by the tasks of each team. Every task that is not proven gone is counted, so that
 * no team ever exceeds its limit (docs/design.md, invariant 7).
 */
export class TeamUsage {
  private readonly usageByTeam = new Map<string, Usage>();

  constructor(teams: readonly Team[]) {
    for (const team of teams) this.usageByTeam.set(team.name, { team, tasks: 0, cpus: 0, gpus: 0 });
  }

  /** Adds the requests of `count` tasks to the team's usage; a negative count removes tasks. */
  add(teamName: string, request: ResourceRequest, count: number): void {
    const usage = this.usageByTeam.get(teamName);
    if (usage === undefined) return;
    usage.tasks += count;
    usage.cpus += request.cpus * count;
    usage.gpus += request.gpus * count;
    // Rounding errors accumulate in the sums, so they are reset when the team has no tasks.
    if (usage.tasks === 0) {
      usage.cpus = 0;
      usage.gpus = 0;
    }
  }

  /**
   * Returns how many more tasks of the job the limit of its team allows; 0 if the team is unknown.
   */
  allowance(spec: JobSpec): number {
    const usage = this.usageByTeam.get(spec.team);
    if (usage === undefined) return 0;
    const { maxCpus, maxGpus } = usage.team;
    const byCpus = countFitting(Settings.effectiveCap(maxCpus) - usage.cpus, spec.cpus);
    const byGpus = countFitting(Settings.effectiveCap(maxGpus) - usage.gpus, spec.gpus);
    return Math.max(0, Math.min(byCpus, byGpus));
  }

  /**
   * Returns true if the task runs on borrowed capacity, that is, if its team would still use at
   * least its guaranteed amount without the task.
   */
  borrows({ team: teamName, request }: Assignment): boolean {
    const usage = this.usageByTeam.get(teamName);
    if (usage === undefined) return false;
    const { guaranteedCpus, guaranteedGpus } = usage.team;
    // If the team has guaranteed GPUs and the task uses GPUs, only GPUs are compared. Otherwise, if
    // the team has guaranteed CPUs and the task uses CPUs, only CPUs are compared. A task that uses
    // no resource with a guarantee always runs on borrowed capacity.
    if (guaranteedGpus > 0 && request.gpus > 0)
      return usage.gpus - request.gpus >= guaranteedGpus - AMOUNT_TOLERANCE;
    if (guaranteedCpus > 0 && request.cpus > 0)
      return usage.cpus - request.cpus >= guaranteedCpus - AMOUNT_TOLERANCE;
    return true;
  }

  /** Returns the present usage of each team. */
  state(): TeamUsageEntry[] {
    return [...this.usageByTeam.values()].map(({ team, cpus, gpus }) => ({
      name: team.name,
      cpus,
      gpus,
      team,
    }));
  }
}
