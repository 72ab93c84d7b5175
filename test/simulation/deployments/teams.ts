/** Teams and objectives of a deployment, in the TOML form of the platform settings. */

/**
 * Guaranteed CPUs and GPUs of a team, and the team's limits. The names of the limits end in `Max`;
 * a limit of 0 means no limit.
 */
export interface TeamAmounts {
  cpus?: number;
  cpusMax?: number;
  gpus: number;
  gpusMax: number;
}

/** Returns the TOML of a team. */
export function teamToml(name: string, team: TeamAmounts): string {
  const { cpus = 0, cpusMax = 0, gpus, gpusMax } = team;
  const amounts = { cpus, cpus_max: cpusMax, gpus, gpus_max: gpusMax };
  const lines = Object.entries(amounts).map(([key, amount]) => `${key} = ${amount.toFixed(1)}`);
  return ['[[params.teams]]', `name = "${name}"`, ...lines, ''].join('\n');
}

/**
 * An objective for the jobs of a class. At least the fraction `share` of the jobs must wait no
 * longer than `withinS` seconds (kind `wait`), or finish within `withinS` seconds (kind
 * `finished`).
 */
export interface Objective {
  kind: 'wait' | 'finished';
  class: string;
  withinS: number;
  share: number;
}

/** Returns the TOML of an objective. */
export function objectiveToml(objective: Objective): string {
  const { kind, class: jobClass, withinS, share } = objective;
  const lines = [`kind = "${kind}"`, `class = "${jobClass}"`, `within_s = ${withinS.toFixed(1)}`];
  return ['[[params.objectives]]', ...lines, `share = ${share}`, ''].join('\n');
}
