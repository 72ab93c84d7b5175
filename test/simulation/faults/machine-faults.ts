/** Faults that affect a random share of the machines at the same time. */
import type { Cloud } from '../machines/cloud.js';
import type { ConnectionFaults } from './connection-faults.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';
import type { Worker } from '../machines/worker.js';

/** Cuts off, kills and reclaims machines of a simulation. */
export class MachineFaults {
  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    private readonly cloud: Cloud,
    private readonly connections: ConnectionFaults,
  ) {}

  /** Cuts off a share of the machines; messages are held back and delivered afterwards. */
  cut(share: number, ms: number): void {
    for (const worker of this.drawWorkers(share)) this.connections.cutMachine(worker, ms);
  }

  /** Kills a share of the machines at once. */
  kill(share: number): void {
    for (const worker of this.drawWorkers(share)) worker.die();
  }

  /** Reclaims a share of the spot instances without notice, at random times within `overMs`. */
  reclaimSpot(share: number, overMs: number): void {
    for (const worker of this.drawWorkers(share))
      if (worker.spot)
        this.clock.after(this.random.between(0, overMs), () => this.cloud.reclaim(worker.id));
  }

  private drawWorkers(share: number): Worker[] {
    return this.cloud.workers.filter(() => this.random.next() < share);
  }
}
