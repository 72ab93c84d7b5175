/** Finds the machines that are not needed any more. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';
import type { Machine } from '../model/entities.js';
import type { Workers } from '../workers/workers.js';
import type { BootingMachines } from './booting-machines.js';
import type { ScaleIn } from './scale-in.js';

/** Factor on the idle limit while idle machines may block the launch of machines for a waiting gang. */
const BLOCKED_GANG_IDLE_FACTOR = 1 / 8;
/** Idle machines of a kind, at least, for one of them to be released: the last would be launched again. */
const MIN_IDLE_OF_KIND = 2;

/** Parts of the leader that the search depends on. */
export interface UnusedMachinesContext {
  workers: Pick<
    Workers,
    'machines' | 'unresponsiveMs' | 'unacknowledgedMs' | 'isAlive' | 'removeMachine'
  >;
  placement: Pick<Placement, 'shortages'>;
  scaleIn: Pick<ScaleIn, 'isReleasing'>;
  booting: BootingMachines;
}

/** State of the workload, which decides how long idle machines are kept. */
export interface WorkloadState {
  /** There has been no unfinished job for long. */
  noWork: boolean;
  /** The cloud has refused to launch some kind of machine. */
  scaleOutRefused: boolean;
  /** No job has arrived for much longer than usual. */
  arrivalsStopped: boolean;
}

/** Machines with the same key stand in for one another when idle. */
function typeAndMarketKey(machine: Machine): string {
  return `${machine.typeName} ${machine.spot ? 1 : 0}`;
}

/** Once jobs have stopped arriving, a machine is kept no longer than a new one would take to boot. */
function machineIdleLimitMs(
  machine: Machine,
  defaultMs: number,
  { arrivalsStopped }: WorkloadState,
): number {
  const bootMs = (machine.type?.bootS ?? 0) * 1000;
  return arrivalsStopped ? Math.min(defaultMs, bootMs) : defaultMs;
}

/** Finds machines that failed to boot, have failed, are unresponsive or idle. */
export class UnusedMachines {
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly context: UnusedMachinesContext,
  ) {}

  /** Ids of the machines to release. Removes those that are gone by themselves. */
  find(now: number, workload: WorkloadState): string[] {
    const unresponsiveMs =
      this.settings.workerLeaseExpiryMs * this.settings.get('fleet.silent.ratio');
    const defaultIdleLimitMs = this.defaultIdleLimitMs(now, workload);
    const machineIds = this.findFailedBoots(now, unresponsiveMs);
    const idleCounts = this.countIdleByKind();
    for (const machine of [...this.context.workers.machines.values()]) {
      if (this.context.scaleIn.isReleasing(machine.id)) continue;
      if (machine.cloudState === 'failed') machineIds.push(machine.id);
      else if (this.isUnresponsive(machine, unresponsiveMs)) {
        if (this.shouldReleaseUnresponsive(machine, now, unresponsiveMs))
          machineIds.push(machine.id);
      } else if (
        !machine.isBusy &&
        now - machine.idleSince > machineIdleLimitMs(machine, defaultIdleLimitMs, workload)
      ) {
        if (this.shouldReleaseIdle(machine, idleCounts, workload.noWork))
          machineIds.push(machine.id);
      }
    }
    return machineIds;
  }

  /**
   * Booting machines that take too long. Those that have sent a heartbeat no longer count as booting. A
   * machine that the cloud lists as running may not have found this leader yet, or may be partitioned: it
   * gets the same time as an unresponsive one.
   */
  private findFailedBoots(now: number, unresponsiveMs: number): string[] {
    const { booting, workers } = this.context;
    const machineIds: string[] = [];
    const bootRatio = this.settings.get('fleet.boot.ratio');
    for (const [id, machine] of booting) {
      if (workers.machines.get(id)?.lastHeartbeatAt !== undefined) {
        booting.delete(id);
        continue;
      }
      const bootLimitMs = machine.type.bootS * bootRatio * 1000;
      const isOverdue = machine.listedAsRunning
        ? now - machine.knownSince > unresponsiveMs
        : now - machine.requestedAt > bootLimitMs;
      if (!isOverdue) continue;
      booting.delete(id);
      machineIds.push(id);
      this.eventLoop.log.info({ machine: id }, 'machine failed to boot in time');
    }
    return machineIds;
  }

  /**
   * How long a machine may be idle. While a gang has long lacked capacity and the cloud refuses machines,
   * idle ones may use up the quota that the gang needs. Not sooner: a released machine's images are lost.
   */
  private defaultIdleLimitMs(now: number, workload: WorkloadState): number {
    if (workload.noWork) return 0;
    const idleMs = this.settings.workerLeaseMs * this.settings.get('fleet.idle.ratio');
    const longWaitMs = this.settings.get('placement.cannot.fill.s') * 1000;
    const gangBlocked =
      workload.scaleOutRefused &&
      this.context.placement.shortages.some(({ job }) => now - job.waitingSince > longWaitMs);
    return gangBlocked ? idleMs * BLOCKED_GANG_IDLE_FACTOR : idleMs;
  }

  private countIdleByKind(): Map<string, number> {
    const { workers } = this.context;
    const counts = new Map<string, number>();
    for (const machine of workers.machines.values()) {
      if (machine.isBusy || machine.releasing || !workers.isAlive(machine)) continue;
      const key = typeAndMarketKey(machine);
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
  }

  private isUnresponsive(machine: Machine, limitMs: number): boolean {
    const { workers } = this.context;
    return workers.unresponsiveMs(machine) > limitMs || workers.unacknowledgedMs(machine) > limitMs;
  }

  /** Whether an unresponsive machine is to be released; one that no longer exists is removed instead. */
  private shouldReleaseUnresponsive(machine: Machine, now: number, limitMs: number): boolean {
    if (machine.cloudState === 'absent' || machine.cloudStateAt === -Infinity) {
      // The machine no longer exists, and its worker's lease has expired (invariant 5).
      if (now - machine.firstSeenAt > limitMs * 2) this.context.workers.removeMachine(machine);
      return false;
    }
    this.eventLoop.log.info({ machine: machine.id }, 'unresponsive machine selected for release');
    return true;
  }

  /** Whether an idle machine is to be released: only if another of its kind stays, or there is no work. */
  private shouldReleaseIdle(
    machine: Machine,
    idleCounts: Map<string, number>,
    noWork: boolean,
  ): boolean {
    const key = typeAndMarketKey(machine);
    const idleCount = idleCounts.get(key) ?? 0;
    if (idleCount < MIN_IDLE_OF_KIND && !noWork) return false;
    idleCounts.set(key, idleCount - 1);
    machine.releasing = true;
    this.eventLoop.log.info({ machine: machine.id }, 'idle machine selected for release');
    return true;
  }
}
