/** Types of the functions that inject scripted faults; each group of faults has its own. */
import type { Simulation } from '../../simulation.js';

/** Start of a fault, counted from the call of `injectFaults`, and its duration; in seconds. */
export interface FaultTiming {
  at: number;
  for?: number;
}

/** For each fault of a group, a function that starts the fault when it is called. */
export type Injectors<Faults> = {
  [K in keyof Faults]: (
    simulation: Simulation,
    fault: FaultTiming & Faults[K],
    durationMs: number,
  ) => void;
};
