/** What the tasks of each team take, for limits and guarantees. */
import type { Assignment } from '../model/entities.js';
import { AMOUNT_TOLERANCE, countFitting, type ResourceRequest } from '../model/resource-request.js';
import type { Team } from '../settings/platform.js';
import { Settings } from '../settings/settings.js';
import type { JobSpec } from '../wire/jobs.js';

/** What the tasks of one team take. */
interface Usage {
  team: Team;
  tasks: number;
  cpus: number;
  gpus: number;
}

/** What a team takes now. */
export interface TeamUsageEntry {
  name: string;
  cpus: number;
  gpus: number;
  team: Team;
}

/**
 * What the tasks of each team take. Every task counts that is not proven gone, so that no team ever has
 * more than its limit (docs/design.md, 7).
 */
export class TeamUsage {
  private readonly usages = new Map<string, Usage>();

  constructor(teams: readonly Team[]) {
    for (const team of teams) this.usages.set(team.name, { team, tasks: 0, cpus: 0, gpus: 0 });
  }

  /** Counts tasks that have come; a negative count is of tasks that are gone. */
  add(teamName: string, request: ResourceRequest, count: number): void {
    const usage = this.usages.get(teamName);
    if (usage === undefined) return;
    usage.tasks += count;
    usage.cpus += request.cpus * count;
    usage.gpus += request.gpus * count;
    // Sums of decimals drift; a team without tasks has none.
    if (usage.tasks === 0) {
      usage.cpus = 0;
      usage.gpus = 0;
    }
  }

  /** How many more tasks of the job its team's limit allows; none for a team that is not known. */
  allowance(spec: JobSpec): number {
    const usage = this.usages.get(spec.team);
    if (usage === undefined) return 0;
    const { maxCpus, maxGpus } = usage.team;
    const byCpus = countFitting(Settings.effectiveCap(maxCpus) - usage.cpus, spec.cpus);
    const byGpus = countFitting(Settings.effectiveCap(maxGpus) - usage.gpus, spec.gpus);
    return Math.max(0, Math.min(byCpus, byGpus));
  }

  /** Whether the task runs on borrowed capacity: its team would have its guarantee without it too. */
  borrows({ team: teamName, request }: Assignment): boolean {
    const usage = this.usages.get(teamName);
    if (usage === undefined) return false;
    const { guaranteedCpus, guaranteedGpus } = usage.team;
    // Only what is guaranteed at all can be borrowed beyond.
    if (guaranteedGpus > 0 && request.gpus > 0)
      return usage.gpus - request.gpus >= guaranteedGpus - AMOUNT_TOLERANCE;
    if (guaranteedCpus > 0 && request.cpus > 0)
      return usage.cpus - request.cpus >= guaranteedCpus - AMOUNT_TOLERANCE;
    return true;
  }

  /** What each team takes now. */
  state(): TeamUsageEntry[] {
    return [...this.usages.values()].map(({ team, cpus, gpus }) => ({
      name: team.name,
      cpus,
      gpus,
      team,
    }));
  }
}
