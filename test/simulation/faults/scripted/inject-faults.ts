/** Injects the faults of a scenario. */
import type { Simulation } from '../../simulation.js';
import { controllerFaults } from './controller-faults.js';
import type { Fault, FaultKind, FaultParameters } from './fault.js';
import type { Injectors } from './injectors.js';
import { machineOutages } from './machine-outages.js';
import { messageFaults } from './message-faults.js';
import { stateStoreFaults } from './state-store-faults.js';
import { userActions } from './user-actions.js';

const injectors: Injectors<FaultParameters> = {
  ...stateStoreFaults,
  ...controllerFaults,
  ...messageFaults,
  ...machineOutages,
  ...userActions,
};

/** Schedules the faults, each at its time counted from now. */
export function injectFaults(simulation: Simulation, faults: readonly Fault[]): void {
  for (const fault of faults)
    simulation.clock.after(fault.at * 1000, () => injectFault(simulation, fault));
}

function injectFault<K extends FaultKind>(simulation: Simulation, fault: Fault<K>): void {
  injectors[fault.kind](simulation, fault, (fault.for ?? 0) * 1000);
}
