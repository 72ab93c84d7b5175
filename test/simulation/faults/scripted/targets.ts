/** Selects the controllers or machines that a scripted fault affects. */
import type { Worker } from '../../machines/worker.js';
import type { Simulation } from '../../simulation.js';

/** The controllers that a fault affects, by their role when the fault begins. */
export type ControllerTarget = 'leader' | 'others' | 'all';

/** Parameter of a fault that affects controllers. */
export interface OnControllers {
  target: ControllerTarget;
}

/** Parameter of a fault that affects a random share of the machines, at least one. */
export interface OnMachines {
  share: number;
}

/** Returns the hosts of the controllers that the target selects. */
export function hostsOf(simulation: Simulation, target: ControllerTarget): string[] {
  const { leader, hosts } = simulation;
  if (target === 'all') return [...hosts];
  return hosts.filter((host) => (target === 'leader') === (host === leader));
}

/** Draws a share of the machines and returns their workers; at least one if there are machines. */
export function drawWorkers(simulation: Simulation, share: number): Worker[] {
  const workers = simulation.workers;
  const drawn = workers.filter(() => simulation.random.next() < share);
  return drawn.length > 0 ? drawn : workers.slice(0, 1);
}
