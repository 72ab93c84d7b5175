/** The type of the faults that a scenario injects at given times. */
import type { ControllerFaults } from './controller-faults.js';
import type { FaultTiming } from './injectors.js';
import type { MachineOutages } from './machine-outages.js';
import type { MessageFaults } from './message-faults.js';
import type { StateStoreFaults } from './state-store-faults.js';
import type { UserActions } from './user-actions.js';

/** The parameters by kind of fault; times are in seconds, shares from 0 to 1. */
export interface FaultParameters
  extends StateStoreFaults, ControllerFaults, MessageFaults, MachineOutages, UserActions {}

/** The kinds of faults that scenarios can inject. */
export type FaultKind = keyof FaultParameters;

/** A fault of the kind `K`, by default of any kind. */
export type Fault<K extends FaultKind = FaultKind> = {
  [P in K]: FaultTiming & { kind: P } & FaultParameters[P];
}[K];
