/** Returns machines to the cloud and repeats that until the cloud has confirmed it. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Workers } from '../workers/workers.js';
import type { CloudClient } from './cloud-client.js';

/** Machines returned with one request. */
const MAX_MACHINES_PER_REQUEST = 100;
const RETRY_MS = 1000;
const TOKEN_WAIT_MS = 500;
/** Lists may show a returned machine for so many times their lag, and this time more. */
const FORGET_LAGS = 4;
const FORGET_MARGIN_MS = 5000;

/** What releases need of the other parts of the leader. */
export interface ScaleInContext {
  workers: Pick<Workers, 'machines' | 'removeMachine'>;
  cloud: Pick<CloudClient, 'acquireReleaseToken' | 'release'>;
  /** The leader may act. */
  holdsLease(): boolean;
}

/** The machines that are being returned. */
export class ScaleIn {
  /** Kept until the cloud's list can't show them any more. */
  private readonly ids = new Set<string>();

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly context: ScaleInContext,
  ) {}

  /** The machine is being returned, or was a moment ago. */
  isReleasing(id: string): boolean {
    return this.ids.has(id);
  }

  /** Returns the machines; nothing is placed on them from now on. */
  release(ids: readonly string[], reason: string): void {
    const batch = ids.slice(0, MAX_MACHINES_PER_REQUEST);
    for (const id of batch) {
      this.ids.add(id);
      const machine = this.context.workers.machines.get(id);
      if (machine !== undefined) machine.releasing = true;
    }
    this.send(batch, reason);
    const rest = ids.slice(MAX_MACHINES_PER_REQUEST);
    if (rest.length > 0) this.release(rest, reason);
  }

  private send(batch: string[], reason: string): void {
    if (!this.context.holdsLease()) return this.sendLater(RETRY_MS, batch, reason);
    if (!this.context.cloud.acquireReleaseToken())
      return this.sendLater(TOKEN_WAIT_MS, batch, reason);
    this.context.cloud.release(batch, (confirmed) => {
      if (confirmed) this.released(batch, reason);
      else this.sendLater(RETRY_MS, batch, reason);
    });
  }

  private sendLater(delayMs: number, batch: string[], reason: string): void {
    this.eventLoop.after(delayMs, 'release', () => this.send(batch, reason));
  }

  private released(batch: string[], reason: string): void {
    this.eventLoop.log.info({ machines: batch, reason }, 'machines returned');
    for (const id of batch) {
      const machine = this.context.workers.machines.get(id);
      if (machine !== undefined) this.context.workers.removeMachine(machine);
    }
    const { listLagS } = this.settings.platform.cloudLimits;
    this.eventLoop.after(
      listLagS * 1000 * FORGET_LAGS + FORGET_MARGIN_MS,
      'forget-released',
      () => {
        for (const id of batch) this.ids.delete(id);
      },
    );
  }
}
