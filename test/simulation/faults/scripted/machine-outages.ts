/** Scripted faults of machines, and of their connections to controllers. */
import type { Injectors } from './fault.js';
import { drawWorkers, type OnMachines } from './targets.js';

/** Parameters of the faults of machines. */
export interface MachineOutages {
  /** No message passes; what is sent is delivered when the connection is back. */
  'machines cut off': OnMachines;
  /** Heartbeats arrive, but neither responses nor commands reach the machines. */
  'inbound blocked': OnMachines;
  /** No heartbeat leaves the machines, while commands reach them and are answered. */
  'heartbeats blocked': OnMachines;
  'machines lost': OnMachines;
  /** The machines come back with their names and nothing else. */
  'machines restart': OnMachines & { restartAfter: number };
  'machines hang': OnMachines;
  /** What is sent to the machines is delivered later. */
  'commands held back': OnMachines;
  /** What the machines send is delivered later. */
  'responses held back': OnMachines;
  /** Rented machines are up within two seconds. */
  'fast boots': object;
}

/** Begins faults of machines. */
export const machineOutages: Injectors<MachineOutages> = {
  'machines cut off': ({ machineFaults }, { share }, ms) => machineFaults.cut(share, ms),
  'inbound blocked': (simulation, { share }, ms) => {
    for (const worker of drawWorkers(simulation, share))
      simulation.connectionFaults.blockInbound(worker, ms, 'reset');
  },
  'heartbeats blocked': (simulation, { share }, ms) => {
    for (const worker of drawWorkers(simulation, share)) worker.blockHeartbeats(ms);
  },
  'machines lost': (simulation, { share }) => {
    for (const worker of drawWorkers(simulation, share)) worker.die();
  },
  'machines restart': (simulation, { share, restartAfter }) => {
    for (const worker of drawWorkers(simulation, share)) worker.restart(restartAfter * 1000);
  },
  'machines hang': (simulation, { share }, ms) => {
    for (const worker of drawWorkers(simulation, share)) worker.hang(ms);
  },
  'commands held back': (simulation, { share }, ms) => {
    for (const worker of drawWorkers(simulation, share))
      simulation.connectionFaults.blockInbound(worker, ms, 'hold');
  },
  'responses held back': (simulation, { share }, ms) => {
    for (const worker of drawWorkers(simulation, share))
      simulation.connectionFaults.holdOutbound(worker, ms);
  },
  'fast boots': ({ cloud }, _, ms) => cloud.bootQuickly(ms),
};
