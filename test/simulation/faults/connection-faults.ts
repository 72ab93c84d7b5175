/** Faults of the connections between controllers, machines, users, cloud and state store. */
import type { CutMode, Network } from '../network.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';
import type { Worker } from '../machines/worker.js';

/** Cuts connections of a simulation for a limited time. */
export class ConnectionFaults {
  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    private readonly network: Network,
    private readonly hosts: readonly string[],
    /** Returns the workers of the machines that are up. */
    private readonly workers: () => Worker[],
  ) {}

  /**
   * Cuts both directions between two hosts for `ms`. Whether the messages are held back or lost is
   * drawn at random.
   */
  cutFor(a: string, b: string, ms: number): void {
    this.network.cut(a, b, this.drawCut());
    this.clock.after(ms, () => this.network.heal(a, b));
  }

  private drawCut(): CutMode {
    return this.random.next() < 0.5 ? 'hold' : 'reset';
  }

  /** Cuts a controller off from the other controllers. */
  cutFromPeers(host: string, ms: number): void {
    for (const peer of this.hosts) if (peer !== host) this.cutFor(host, peer, ms);
  }

  /** Cuts a controller off from the state store and its peers, but not from its workers. */
  isolate(host: string, ms: number): void {
    this.cutFor(host, 'state', ms);
    this.cutFromPeers(host, ms);
  }

  /** Cuts a controller off from every worker, but not from the state store or its peers. */
  cutFromWorkers(host: string, ms: number): void {
    for (const worker of this.workers()) this.cutFor(host, worker.id, ms);
  }

  /** Refuses all connections between controllers. */
  refusePeers(ms: number): void {
    const pairs = this.hosts.flatMap((a) =>
      this.hosts.filter((b) => a < b).map((b): [string, string] => [a, b]),
    );
    for (const [a, b] of pairs) this.network.cut(a, b, 'reset');
    this.clock.after(ms, () => {
      for (const [a, b] of pairs) this.network.heal(a, b);
    });
  }

  /** Cuts off a zone; its workers and the controllers `inside` remain connected to each other. */
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

  /**
   * Blocks responses and commands to a machine, while its heartbeats still arrive. Without `mode`,
   * it is drawn at random for each controller whether its blocked messages are held back or lost.
   */
  blockInbound(worker: Worker, ms: number, mode?: CutMode): void {
    for (const host of this.hosts) this.network.cutOneWay(host, worker.id, mode ?? this.drawCut());
    this.healWorker(worker, ms);
  }

  /** Holds back the heartbeats and responses of a machine, while messages to it still arrive. */
  holdOutbound(worker: Worker, ms: number): void {
    for (const host of this.hosts) this.network.cutOneWay(worker.id, host, 'hold');
    this.healWorker(worker, ms);
  }

  /** Cuts a machine off from all controllers; messages are held back and delivered afterwards. */
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
