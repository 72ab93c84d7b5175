/** Scripted faults of machines and of their connections to controllers. */
import type { Injectors } from './injectors.js';
import { drawWorkers, type OnMachines } from './targets.js';

/** Parameters of the faults of machines. */
export interface MachineOutages {
  /** Cuts machines off; messages are held back and delivered when the connection is restored. */
  machinesCutOff: OnMachines;
  /** Blocks responses and commands to machines, while their heartbeats arrive. */
  inboundBlocked: OnMachines;
  /** Blocks the heartbeats of machines, while commands reach them and are answered. */
  heartbeatsBlocked: OnMachines;
  machinesLost: OnMachines;
  /** Restarts machines: each keeps its id but loses its tasks and has a new agent epoch. */
  machinesRestart: OnMachines & { restartAfter: number };
  machinesHang: OnMachines;
  /** Holds back all messages to machines, and delivers them at the end of the fault. */
  commandsHeldBack: OnMachines;
  /** Holds back all messages from machines, and delivers them at the end of the fault. */
  responsesHeldBack: OnMachines;
  /** Makes machines that are rented during the fault boot within two seconds. */
  fastBoots: object;
}

/** Injectors of the faults of machines. */
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
