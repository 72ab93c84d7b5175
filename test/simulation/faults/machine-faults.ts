/** Faults that meet a share of the machines at one time. */
import type { Cloud } from '../machines/cloud.js';
import type { ConnectionFaults } from './connection-faults.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';
import type { Worker } from '../machines/worker.js';

/** Cuts, ends and takes machines of a simulation. */
export class MachineFaults {
  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    private readonly cloud: Cloud,
    private readonly connections: ConnectionFaults,
  ) {}

  /** A share of the machines loses the network, and what was held back is delivered afterwards. */
  cut(share: number, ms: number): void {
    for (const worker of this.drawWorkers(share)) this.connections.cutMachine(worker, ms);
  }

  /** Many machines stop at once. */
  kill(share: number): void {
    for (const worker of this.drawWorkers(share)) worker.die();
  }

  /** Spot machines are taken in a wave, without notice. */
  reclaimSpot(share: number, overMs: number): void {
    for (const worker of this.drawWorkers(share))
      if (worker.spot)
        this.clock.after(this.random.between(0, overMs), () => this.cloud.reclaim(worker.id));
  }

  private drawWorkers(share: number): Worker[] {
    return this.cloud.workers.filter(() => this.random.next() < share);
  }
}
