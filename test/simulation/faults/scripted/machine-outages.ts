/** Scripted faults of machines, and of their connections to controllers. */
import type { Injectors } from './injectors.js';
import { drawWorkers, type OnMachines } from './targets.js';

/** Parameters of the faults of machines. */
export interface MachineOutages {
  /** No message passes; what is sent is delivered when the connection is back. */
  machinesCutOff: OnMachines;
  /** Heartbeats arrive, but neither responses nor commands reach the machines. */
  inboundBlocked: OnMachines;
  /** No heartbeat leaves the machines, while commands reach them and are answered. */
  heartbeatsBlocked: OnMachines;
  machinesLost: OnMachines;
  /** The machines come back with their names and nothing else. */
  machinesRestart: OnMachines & { restartAfter: number };
  machinesHang: OnMachines;
  /** What is sent to the machines is delivered later. */
  commandsHeldBack: OnMachines;
  /** What the machines send is delivered later. */
  responsesHeldBack: OnMachines;
  /** Rented machines are up within two seconds. */
  fastBoots: object;
}

/** Begins faults of machines. */
export const machineOutages: Injectors<MachineOutages> = {
  machinesCutOff: ({ machineFaults }, { share }, ms) => machineFaults.cut(share, ms),
  inboundBlocked: (simulation, { share }, ms) => {
    for (const worker of drawWorkers(simulation, share))
      simulation.connectionFaults.blockInbound(worker, ms, 'reset');
  },
  heartbeatsBlocked: (simulation, { share }, ms) => {
    for (const worker of drawWorkers(simulation, share)) worker.blockHeartbeats(ms);
  },
  machinesLost: (simulation, { share }) => {
    for (const worker of drawWorkers(simulation, share)) worker.die();
  },
  machinesRestart: (simulation, { share, restartAfter }) => {
    for (const worker of drawWorkers(simulation, share)) worker.restart(restartAfter * 1000);
  },
  machinesHang: (simulation, { share }, ms) => {
    for (const worker of drawWorkers(simulation, share)) worker.hang(ms);
  },
  commandsHeldBack: (simulation, { share }, ms) => {
    for (const worker of drawWorkers(simulation, share))
      simulation.connectionFaults.blockInbound(worker, ms, 'hold');
  },
  responsesHeldBack: (simulation, { share }, ms) => {
    for (const worker of drawWorkers(simulation, share))
      simulation.connectionFaults.holdOutbound(worker, ms);
  },
  fastBoots: ({ cloud }, _, ms) => cloud.bootQuickly(ms),
};
