/** Teams and objectives of a deployment, as the platform's settings give them. */

/** Guaranteed amounts of a team, and its limits; a limit of 0 is none. */
export interface TeamAmounts {
  cpus?: number;
  cpusMax?: number;
  gpus: number;
  gpusMax: number;
}

/** TOML of a team. */
export function teamToml(name: string, team: TeamAmounts): string {
  const { cpus = 0, cpusMax = 0, gpus, gpusMax } = team;
  const amounts = { cpus, cpus_max: cpusMax, gpus, gpus_max: gpusMax };
  const lines = Object.entries(amounts).map(([key, amount]) => `${key} = ${amount.toFixed(1)}`);
  return ['[[params.teams]]', `name = "${name}"`, ...lines, ''].join('\n');
}

/** An objective: this share of a class's jobs waits, or is finished, within the time. */
export interface Objective {
  kind: 'wait' | 'finished';
  class: string;
  withinS: number;
  share: number;
}

/** TOML of an objective. */
export function objectiveToml(objective: Objective): string {
  const { kind, class: jobClass, withinS, share } = objective;
  const lines = [`kind = "${kind}"`, `class = "${jobClass}"`, `within_s = ${withinS.toFixed(1)}`];
  return ['[[params.objectives]]', ...lines, `share = ${share}`, ''].join('\n');
}
