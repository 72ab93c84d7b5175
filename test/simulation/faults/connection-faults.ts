/** Faults of the network between controllers, machines, users, cloud and state store. */
import type { CutMode, Network } from '../network.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';
import type { Worker } from '../machines/worker.js';

/** Cuts connections of a simulation for a time. */
export class ConnectionFaults {
  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    private readonly network: Network,
    private readonly hosts: readonly string[],
    /** Workers of the machines that are up. */
    private readonly workers: () => Worker[],
  ) {}

  /** Nothing goes between the two; what is sent is held back or lost, as drawn. */
  cutFor(a: string, b: string, ms: number): void {
    this.network.cut(a, b, this.drawCut());
    this.clock.after(ms, () => this.network.heal(a, b));
  }

  private drawCut(): CutMode {
    return this.random.next() < 0.5 ? 'hold' : 'reset';
  }

  /** A controller loses the other controllers. */
  cutFromPeers(host: string, ms: number): void {
    for (const peer of this.hosts) if (peer !== host) this.cutFor(host, peer, ms);
  }

  /** A controller loses the state store and its peers, but not its workers. */
  isolate(host: string, ms: number): void {
    this.cutFor(host, 'state', ms);
    this.cutFromPeers(host, ms);
  }

  /** A controller loses every worker, but neither the state store nor its peers. */
  cutFromWorkers(host: string, ms: number): void {
    for (const worker of this.workers()) this.cutFor(host, worker.id, ms);
  }

  /** Connections between controllers are refused. */
  refusePeers(ms: number): void {
    const pairs = this.hosts.flatMap((a) =>
      this.hosts.filter((b) => a < b).map((b): [string, string] => [a, b]),
    );
    for (const [a, b] of pairs) this.network.cut(a, b, 'reset');
    this.clock.after(ms, () => {
      for (const [a, b] of pairs) this.network.heal(a, b);
    });
  }

  /** A zone goes on by itself, with its workers and one controller in it. */
  cutZone(zone: string, inside: readonly string[], ms: number): void {
    const cut = (a: string, b: string): void => {
      this.network.cut(a, b, 'hold');
      this.clock.after(ms, () => this.network.heal(a, b));
    };
    for (const host of inside) {
      for (const other of ['state', 'user', 'cloud']) cut(host, other);
      for (const other of this.hosts) if (!inside.includes(other)) cut(host, other);
    }
    for (const worker of this.workers())
      for (const host of this.hosts)
        if ((worker.zone === zone) !== inside.includes(host)) cut(worker.id, host);
  }

  /** The machine's heartbeats arrive, but neither responses nor commands reach it. */
  blockInbound(worker: Worker, ms: number, mode?: CutMode): void {
    for (const host of this.hosts) this.network.cutOneWay(host, worker.id, mode ?? this.drawCut());
    this.healWorker(worker, ms);
  }

  /** What the machine sends is held back, heartbeats and responses; what is sent to it arrives. */
  holdOutbound(worker: Worker, ms: number): void {
    for (const host of this.hosts) this.network.cutOneWay(worker.id, host, 'hold');
    this.healWorker(worker, ms);
  }

  /** A machine loses the network, and what was held back is delivered afterwards. */
  cutMachine(worker: Worker, ms: number): void {
    for (const host of this.hosts) this.network.cut(host, worker.id, 'hold');
    this.healWorker(worker, ms);
  }

  private healWorker(worker: Worker, ms: number): void {
    this.clock.after(ms, () => {
      for (const host of this.hosts) this.network.heal(host, worker.id);
    });
  }
}
