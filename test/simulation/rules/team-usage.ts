/** CPUs and GPUs that the tasks of teams occupy on machines, and the limits of the teams. */
import type { Team } from '../../../src/controller/settings/platform.js';
import type { JobSpec } from '../../../src/controller/wire/jobs.js';

/** Tolerance for rounding errors in sums of CPUs and GPUs. */
const ROUNDING_TOLERANCE = 1e-6;

interface Usage {
  cpus: number;
  gpus: number;
}

/** Sums the occupied CPUs and GPUs by team, and compares them with the limits. */
export class TeamUsage {
  private readonly usages = new Map<string, Usage>();

  constructor(private readonly teams: readonly Team[]) {}

  /**
   * Counts a task of the job: adds it when it starts on a machine (`delta` 1), and subtracts it
   * when it has left the machine (`delta` -1).
   */
  count(spec: JobSpec, delta: 1 | -1): void {
    const usage = this.usageOf(spec.team);
    this.usages.set(spec.team, usage);
    usage.cpus += delta * spec.cpus;
    usage.gpus += delta * spec.gpus;
  }

  /** Returns a description of each limit that the team exceeds. */
  exceeded(name: string): string[] {
    const team = this.team(name);
    const usage = this.usages.get(name);
    if (team === undefined || usage === undefined) return [];
    const exceeded: string[] = [];
    if (team.maxCpus > 0 && usage.cpus > team.maxCpus + ROUNDING_TOLERANCE)
      exceeded.push(`${name} uses ${usage.cpus} CPUs; its limit is ${team.maxCpus}`);
    if (team.maxGpus > 0 && usage.gpus > team.maxGpus + ROUNDING_TOLERANCE)
      exceeded.push(`${name} uses ${usage.gpus} GPUs; its limit is ${team.maxGpus}`);
    return exceeded;
  }

  /** Whether the limits of the job's team allow `tasks` more tasks of the job on machines. */
  allows(spec: JobSpec, tasks: number): boolean {
    const team = this.team(spec.team);
    if (team === undefined) return false;
    const usage = this.usageOf(spec.team);
    return (
      tasksWithin(team.maxCpus, usage.cpus, spec.cpus) >= tasks &&
      tasksWithin(team.maxGpus, usage.gpus, spec.gpus) >= tasks
    );
  }

  /** Whether every team has a GPU limit and has reached it. */
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

/** Returns how many more tasks the limit allows; a limit of 0 means that there is no limit. */
function tasksWithin(limit: number, used: number, needed: number): number {
  return limit > 0 && needed > 0
    ? Math.floor((limit - used + ROUNDING_TOLERANCE) / needed)
    : Infinity;
}
