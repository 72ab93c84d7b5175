/** What the teams' tasks take on machines, and the teams' limits. */
import type { Team } from '../../../src/controller/settings/platform.js';
import type { JobSpec } from '../../../src/controller/wire/jobs.js';

/** Amounts that rounding may hide. */
const ROUNDING_TOLERANCE = 1e-6;

interface Usage {
  cpus: number;
  gpus: number;
}

/** Adds up CPUs and GPUs by team. */
export class TeamUsage {
  private readonly usages = new Map<string, Usage>();

  constructor(private readonly teams: readonly Team[]) {}

  /** A task of the job came onto a machine (1) or went (-1). */
  count(spec: JobSpec, delta: 1 | -1): void {
    const usage = this.usageOf(spec.team);
    this.usages.set(spec.team, usage);
    usage.cpus += delta * spec.cpus;
    usage.gpus += delta * spec.gpus;
  }

  /** Limits that the team is beyond, in words. */
  exceeded(name: string): string[] {
    const team = this.team(name);
    const usage = this.usages.get(name);
    if (team === undefined || usage === undefined) return [];
    const exceeded: string[] = [];
    if (team.maxCpus > 0 && usage.cpus > team.maxCpus + ROUNDING_TOLERANCE)
      exceeded.push(`${name} ${usage.cpus} CPUs`);
    if (team.maxGpus > 0 && usage.gpus > team.maxGpus + ROUNDING_TOLERANCE)
      exceeded.push(`${name} ${usage.gpus} GPUs`);
    return exceeded;
  }

  /** Whether the job's team may have so many more of its tasks on machines. */
  allows(spec: JobSpec, tasks: number): boolean {
    const team = this.team(spec.team);
    if (team === undefined) return false;
    const usage = this.usageOf(spec.team);
    return (
      tasksWithin(team.maxCpus, usage.cpus, spec.cpus) >= tasks &&
      tasksWithin(team.maxGpus, usage.gpus, spec.gpus) >= tasks
    );
  }

  /** Whether no team may use another GPU. */
  get everyTeamAtLimit(): boolean {
    return this.teams.every(
      ({ name, maxGpus }) => maxGpus > 0 && (this.usages.get(name)?.gpus ?? 0) + 1 > maxGpus,
    );
  }

  private team(name: string): Team | undefined {
    return this.teams.find((team) => team.name === name);
  }

  private usageOf(name: string): Usage {
    return this.usages.get(name) ?? { cpus: 0, gpus: 0 };
  }
}

/** How many tasks fit beneath a limit; 0 is none. */
function tasksWithin(limit: number, used: number, needed: number): number {
  return limit > 0 && needed > 0
    ? Math.floor((limit - used + ROUNDING_TOLERANCE) / needed)
    : Infinity;
}
