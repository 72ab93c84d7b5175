import type { Team } from '../settings/platform.js';
import { Settings } from '../settings/settings.js';
import type { Job } from '../jobs/table.js';
import type { JobSpec } from '../wire/jobs.js';
import type { Assignment, Need } from '../workers/assignment.js';
import { times } from './room.js';

interface Use {
  team: Team;
  tasks: number;
  cpus: number;
  gpus: number;
}

/** What each team's tasks take; kept as tasks come and go. */
export class Teams {
  private readonly uses = new Map<string, Use>();

  constructor(teams: readonly Team[]) {
    for (const team of teams) this.uses.set(team.name, { team, tasks: 0, cpus: 0, gpus: 0 });
  }

  /** Negative counts are tasks that are gone. */
  add(team: string, need: Need, count: number): void {
    const u = this.uses.get(team);
    if (u === undefined) return;
    u.tasks += count;
    u.cpus += need.cpus * count;
    u.gpus += need.gpus * count;
    // Sums of decimals drift; a team without tasks has none.
    if (u.tasks === 0) u.cpus = u.gpus = 0;
  }

  /** How many more tasks the team's limit lets in. */
  allowance(spec: JobSpec): number {
    const u = this.uses.get(spec.team);
    if (u === undefined) return 0;
    return Math.max(
      0,
      Math.min(
        times(Settings.cap(u.team.cpusMax) - u.cpus, spec.cpus),
        times(Settings.cap(u.team.gpusMax) - u.gpus, spec.gpus),
      ),
    );
  }

  /** The team would still have its guarantee without this task: the task runs on borrowed room. */
  borrows(a: Assignment): boolean {
    const u = this.uses.get(a.team);
    if (u === undefined) return false;
    const over = (use: number, need: number, guaranteed: number): boolean =>
      need > 0 && use - need >= guaranteed - 1e-6;
    // Only what is guaranteed at all can be borrowed beyond.
    if (u.team.gpus > 0 && a.need.gpus > 0) return over(u.gpus, a.need.gpus, u.team.gpus);
    if (u.team.cpus > 0 && a.need.cpus > 0) return over(u.cpus, a.need.cpus, u.team.cpus);
    return true;
  }

  state(): { name: string; cpus: number; gpus: number; team: Team }[] {
    return [...this.uses.values()].map((u) => ({
      name: u.team.name,
      cpus: u.cpus,
      gpus: u.gpus,
      team: u.team,
    }));
  }
}

/**
 * Marks the jobs that fit into their team's guarantee together with the team's earlier unfinished
 * ones (PROTOCOL, "How aims are counted"). A guarantee of 0 states nothing for that kind of room.
 */
export class Guarantees {
  constructor(private readonly teams: readonly Team[]) {}

  mark(jobs: Iterable<Job>): void {
    const left = new Map(this.teams.map((t) => [t.name, { cpus: t.cpus, gpus: t.gpus, team: t }]));
    for (const job of [...jobs].sort((a, b) => a.submittedAt - b.submittedAt)) {
      job.guaranteed = false;
      const g = left.get(job.spec.team);
      if (g === undefined) continue;
      const n = job.spec.tasks - job.doneCount;
      const cpus = g.team.cpus > 0 ? job.spec.cpus * n : 0;
      const gpus = g.team.gpus > 0 ? job.spec.gpus * n : 0;
      job.guaranteed = cpus + gpus > 0 && cpus <= g.cpus + 1e-6 && gpus <= g.gpus + 1e-6;
      g.cpus -= cpus;
      g.gpus -= gpus;
    }
  }
}
