/** What begins scripted faults; each group of faults provides its own. */
import type { Simulation } from '../../simulation.js';

/** When a fault begins, from the injection on, and how long it lasts; seconds. */
export interface FaultTiming {
  at: number;
  for?: number;
}

/** Begins each of a group of faults at the moment of the call. */
export type Injectors<Faults> = {
  [K in keyof Faults]: (
    simulation: Simulation,
    fault: FaultTiming & Faults[K],
    durationMs: number,
  ) => void;
};
