/** Finds the machines that are no longer needed or no longer usable. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';
import type { Machine } from '../model/entities.js';
import type { Workers } from '../workers/workers.js';
import type { BootingMachines } from './booting-machines.js';
import type { ScaleIn } from './scale-in.js';

/** Factor on the idle limit while idle machines may use up the cloud quota that a waiting job needs. */
const BLOCKED_JOB_IDLE_FACTOR = 1 / 8;
/**
 * While there is work, an idle machine is released only if its type and market (spot or not) have at least this
 * many idle machines: the last one would soon have to be launched again.
 */
const MIN_IDLE_OF_TYPE_AND_MARKET = 2;

/** Parts of the leader that the search for unused machines depends on. */
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
  /** Whether there has been no unfinished job for a long time. */
  noWork: boolean;
  /** Whether the cloud has recently refused to launch machines of some kind. */
  scaleOutRefused: boolean;
  /** Whether no job has arrived for much longer than the mean gap between two jobs. */
  arrivalsStopped: boolean;
}

/** Returns a key of the machine's type and market. Idle machines with equal keys are interchangeable. */
function typeAndMarketKey(machine: Machine): string {
  return `${machine.typeName} ${machine.spot ? 1 : 0}`;
}

/**
 * Returns how long the machine may be idle. Once jobs have stopped arriving, the limit is at most the boot time
 * of a new machine of its type.
 */
function machineIdleLimitMs(
  machine: Machine,
  defaultMs: number,
  { arrivalsStopped }: WorkloadState,
): number {
  const bootMs = (machine.type?.bootS ?? 0) * 1000;
  return arrivalsStopped ? Math.min(defaultMs, bootMs) : defaultMs;
}

/** Finds machines that did not boot in time, have failed, are unresponsive or have been idle for too long. */
export class UnusedMachines {
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly context: UnusedMachinesContext,
  ) {}

  /**
   * Returns the ids of the machines to release. Unresponsive machines that the cloud no longer lists are
   * removed from the known machines instead.
   */
  find(now: number, workload: WorkloadState): string[] {
    const unresponsiveLimitMs =
      this.settings.workerLeaseExpiryMs * this.settings.get('fleet.silent.ratio');
    const defaultIdleLimitMs = this.defaultIdleLimitMs(now, workload);
    const machineIds = this.findFailedBoots(now, unresponsiveLimitMs);
    const idleCounts = this.countIdleByTypeAndMarket();
    for (const machine of [...this.context.workers.machines.values()]) {
      if (this.context.scaleIn.isReleasing(machine.id)) continue;
      if (machine.cloudState === 'failed') machineIds.push(machine.id);
      else if (this.isUnresponsive(machine, unresponsiveLimitMs)) {
        if (this.shouldReleaseUnresponsive(machine, now, unresponsiveLimitMs))
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
   * Returns the ids of booting machines that take too long. Machines that have sent a heartbeat no longer count
   * as booting. A machine that the cloud lists as running may not have found this leader yet or may be
   * partitioned, so it gets as much time as an unresponsive machine.
   */
  private findFailedBoots(now: number, unresponsiveLimitMs: number): string[] {
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
        ? now - machine.knownSince > unresponsiveLimitMs
        : now - machine.requestedAt > bootLimitMs;
      if (!isOverdue) continue;
      booting.delete(id);
      machineIds.push(id);
      this.eventLoop.log.info({ machine: id }, 'machine failed to boot in time');
    }
    return machineIds;
  }

  /**
   * Returns how long a machine may be idle. The limit is reduced once a job, such as a gang, has lacked
   * capacity for long and the cloud refuses to launch machines. Idle machines may then use up the quota that
   * the job needs. The limit is not reduced earlier, because a released machine loses its cached images.
   */
  private defaultIdleLimitMs(now: number, workload: WorkloadState): number {
    if (workload.noWork) return 0;
    const idleMs = this.settings.workerLeaseMs * this.settings.get('fleet.idle.ratio');
    const longWaitMs = this.settings.get('placement.cannot.fill.s') * 1000;
    const jobBlocked =
      workload.scaleOutRefused &&
      this.context.placement.shortages.some(({ job }) => now - job.waitingSince > longWaitMs);
    return jobBlocked ? idleMs * BLOCKED_JOB_IDLE_FACTOR : idleMs;
  }

  private countIdleByTypeAndMarket(): Map<string, number> {
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

  /** Whether to release an unresponsive machine. A machine that no longer exists is removed instead. */
  private shouldReleaseUnresponsive(machine: Machine, now: number, limitMs: number): boolean {
    if (machine.cloudState === 'absent' || machine.cloudStateAt === -Infinity) {
      // The machine no longer exists, and its worker's lease has surely expired: its tasks are gone
      // (invariant 5).
      if (now - machine.firstSeenAt > limitMs * 2) this.context.workers.removeMachine(machine);
      return false;
    }
    this.eventLoop.log.info({ machine: machine.id }, 'unresponsive machine selected for release');
    return true;
  }

  /**
   * Whether to release an idle machine: only if another idle machine of its type and market remains, or if
   * there is no work. Marks a machine that is to be released as `releasing`.
   */
  private shouldReleaseIdle(
    machine: Machine,
    idleCounts: Map<string, number>,
    noWork: boolean,
  ): boolean {
    const key = typeAndMarketKey(machine);
    const idleCount = idleCounts.get(key) ?? 0;
    if (idleCount < MIN_IDLE_OF_TYPE_AND_MARKET && !noWork) return false;
    idleCounts.set(key, idleCount - 1);
    machine.releasing = true;
    this.eventLoop.log.info({ machine: machine.id }, 'idle machine selected for release');
    return true;
  }
}
