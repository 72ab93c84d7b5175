/** Types of the functions that inject scripted faults. */
import type { Simulation } from '../../simulation.js';

/** Start of a fault, counted from the call of `injectFaults`, and its duration; in seconds. */
export interface FaultTiming {
  at: number;
  for?: number;
}

/** The functions that start the faults of one group, by kind of fault. */
export type Injectors<Faults> = {
  [K in keyof Faults]: (
    simulation: Simulation,
    fault: FaultTiming & Faults[K],
    durationMs: number,
  ) => void;
};
