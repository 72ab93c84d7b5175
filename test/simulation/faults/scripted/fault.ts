/** Faults that a scenario injects at given times. */
import type { Simulation } from '../../simulation.js';
import type { ControllerFaults } from './controller-faults.js';
import type { MachineOutages } from './machine-outages.js';
import type { MessageFaults } from './message-faults.js';
import type { StateStoreFaults } from './state-store-faults.js';
import type { UserActions } from './user-actions.js';

/** When a fault begins, from the injection on, and how long it lasts; seconds. */
export interface FaultTiming {
  at: number;
  for?: number;
}

/** The parameters of each kind of fault; times in seconds, shares from 0 to 1. */
export interface FaultParameters
  extends StateStoreFaults, ControllerFaults, MessageFaults, MachineOutages, UserActions {}

/** The kinds of faults, as scenarios name them. */
export type FaultKind = keyof FaultParameters;

/** A fault of one kind, or of any. */
export type Fault<K extends FaultKind = FaultKind> = {
  [P in K]: FaultTiming & { kind: P } & FaultParameters[P];
}[K];

/** Begins each of a group of faults at the moment of the call. */
export type Injectors<Group> = {
  [K in keyof Group]: (
    simulation: Simulation,
    fault: FaultTiming & Group[K],
    durationMs: number,
  ) => void;
};
