/** Whom a scripted fault is about. */
import type { Worker } from '../../machines/worker.js';
import type { Simulation } from '../../simulation.js';

/** Controllers by their roles when the fault begins. */
export type ControllerTarget = 'leader' | 'others' | 'all';

/** Parameters of a fault of some controllers. */
export interface OnControllers {
  target: ControllerTarget;
}

/** Parameters of a fault of some machines; at least one is drawn. */
export interface OnMachines {
  share: number;
}

/** The hosts of the controllers that the fault is about. */
export function hostsOf(simulation: Simulation, target: ControllerTarget): string[] {
  const { leader, hosts } = simulation;
  if (target === 'all') return [...hosts];
  return hosts.filter((host) => (target === 'leader') === (host === leader));
}

/** Workers on a share of the machines, at least one. */
export function drawWorkers(simulation: Simulation, share: number): Worker[] {
  const all = simulation.workers;
  const drawn = all.filter(() => simulation.random.next() < share);
  return drawn.length > 0 ? drawn : all.slice(0, 1);
}
