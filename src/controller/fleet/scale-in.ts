/** Scale-in: releases machines at the cloud and retries until the cloud has confirmed the release. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Workers } from '../workers/workers.js';
import type { CloudClient } from './cloud-client.js';

/** Largest number of machines in one release request. */
const MAX_MACHINES_PER_REQUEST = 100;
/** Delay before the next attempt after a failed release, or while this node may not act as leader. */
const RETRY_MS = 1000;
/** Delay before the next attempt when no rate-limit token was available. */
const TOKEN_RETRY_MS = 500;
/**
 * The cloud's list may show a released machine for this many times the list's lag, plus
 * `RELEASED_LISTED_MARGIN_MS`.
 */
const RELEASED_LISTED_LAGS = 4;
/** Margin added to the time for which the cloud's list may show a released machine. */
const RELEASED_LISTED_MARGIN_MS = 5000;

/** Parts of the leader that scale-in depends on. */
export interface ScaleInContext {
  workers: Pick<Workers, 'machines' | 'removeMachine'>;
  cloud: Pick<CloudClient, 'acquireReleaseToken' | 'release'>;
  /**
   * Whether this node may act as leader: it holds the lease at the state store (invariant 1), and its recovered
   * state includes every cancellation confirmed longer ago than the freshness bound (invariant 8).
   */
  mayActAsLeader(): boolean;
}

/** Releases machines and remembers which are being released. */
export class ScaleIn {
  /** Ids of machines that are being released, or have been released and may still be in the cloud's list. */
  private readonly releasingIds = new Set<string>();

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly context: ScaleInContext,
  ) {}

  /** Whether the machine is being released, or was released so recently that the cloud may still list it. */
  isReleasing(id: string): boolean {
    return this.releasingIds.has(id);
  }

  /**
   * Releases the machines. From now on no task is placed on them, but the tasks already on them count as gone
   * only once the cloud has confirmed the release (invariant 5).
   */
  release(machineIds: readonly string[], reason: string): void {
    const batch = machineIds.slice(0, MAX_MACHINES_PER_REQUEST);
    for (const id of batch) {
      this.releasingIds.add(id);
      const machine = this.context.workers.machines.get(id);
      if (machine !== undefined) machine.releasing = true;
    }
    this.send(batch, reason);
    const remainingIds = machineIds.slice(MAX_MACHINES_PER_REQUEST);
    if (remainingIds.length > 0) this.release(remainingIds, reason);
  }

  private send(batch: string[], reason: string): void {
    if (!this.context.mayActAsLeader()) return this.sendLater(RETRY_MS, batch, reason);
    if (!this.context.cloud.acquireReleaseToken())
      return this.sendLater(TOKEN_RETRY_MS, batch, reason);
    this.context.cloud.release(batch, (confirmed) => {
      if (confirmed) this.onReleased(batch, reason);
      else this.sendLater(RETRY_MS, batch, reason);
    });
  }

  private sendLater(delayMs: number, batch: string[], reason: string): void {
    this.eventLoop.after(delayMs, 'release', () => this.send(batch, reason));
  }

  private onReleased(batch: string[], reason: string): void {
    this.eventLoop.log.info({ machines: batch, reason }, 'machines released');
    for (const id of batch) {
      const machine = this.context.workers.machines.get(id);
      if (machine !== undefined) this.context.workers.removeMachine(machine);
    }
    const { listLagS } = this.settings.platform.cloudLimits;
    this.eventLoop.after(
      listLagS * 1000 * RELEASED_LISTED_LAGS + RELEASED_LISTED_MARGIN_MS,
      'forget-released',
      () => {
        for (const id of batch) this.releasingIds.delete(id);
      },
    );
  }
}
