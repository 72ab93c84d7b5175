/** Finds the machines that are of no use any more. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Placement } from '../placement/placement.js';
import type { Settings } from '../settings/settings.js';
import type { Machine } from '../workers/machine.js';
import type { Workers } from '../workers/workers.js';
import type { BootingMachines } from './booting-machines.js';
import type { ScaleIn } from './scale-in.js';

/** Idle machines go sooner by this factor while they may be in the way of a waiting gang. */
const STUCK_IDLE_FACTOR = 1 / 8;
/** Other idle machines of a kind that keep one's return from having it rented again. */
const MIN_IDLE_ALIKE = 2;

/** What the search needs of the other parts of the leader. */
export interface UnusedMachinesContext {
  workers: Pick<
    Workers,
    'machines' | 'unresponsiveMs' | 'unacknowledgedMs' | 'isAlive' | 'removeMachine'
  >;
  placement: Pick<Placement, 'shortages'>;
  scaleIn: Pick<ScaleIn, 'isReleasing'>;
  booting: BootingMachines;
}

/** What is known of the work, for the decision on idle machines. */
export interface WorkloadState {
  /** There has been no work for long. */
  noWork: boolean;
  /** The cloud refuses some kinds of machines. */
  scaleOutRefused: boolean;
  /** No jobs have arrived for much longer than is usual. */
  arrivalsStopped: boolean;
}

function idleKey(machine: Machine): string {
  return `${machine.typeName} ${machine.spot ? 1 : 0}`;
}

/** Once no jobs arrive any more, a machine is kept no longer than renting it again would take. */
function idleLimitMs(
  machine: Machine,
  usualMs: number,
  { arrivalsStopped }: WorkloadState,
): number {
  const bootMs = (machine.type?.bootS ?? 0) * 1000;
  return arrivalsStopped ? Math.min(usualMs, bootMs) : usualMs;
}

/** Machines that never came up, have failed, are silent or idle. */
export class UnusedMachines {
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly context: UnusedMachinesContext,
  ) {}

  /** The machines to return. Forgets those that are gone by themselves. */
  find(now: number, outlook: WorkloadState): string[] {
    const silentMs = this.settings.workerLeaseExpiryMs * this.settings.get('fleet.silent.ratio');
    const idleMs = this.allowedIdleMs(now, outlook);
    const found = this.neverUp(now, silentMs);
    const idleAlike = this.idleByKind();
    for (const machine of [...this.context.workers.machines.values()]) {
      if (this.context.scaleIn.isReleasing(machine.id)) continue;
      if (machine.cloudState === 'failed') found.push(machine.id);
      else if (this.silent(machine, silentMs)) {
        if (this.silentToReturn(machine, now, silentMs)) found.push(machine.id);
      } else if (
        !machine.isBusy &&
        now - machine.idleSince > idleLimitMs(machine, idleMs, outlook)
      ) {
        if (this.idleToReturn(machine, idleAlike, outlook.noWork)) found.push(machine.id);
      }
    }
    return found;
  }

  /**
   * Booting machines that take too long; those that are up are no longer booting. A machine that runs by
   * the cloud's list may be one that has not found this leader yet, or is cut off: it has the time that
   * a silent one has.
   */
  private neverUp(now: number, silentMs: number): string[] {
    const { booting, workers } = this.context;
    const found: string[] = [];
    const bootRatio = this.settings.get('fleet.boot.ratio');
    for (const [id, machine] of booting) {
      if (workers.machines.get(id)?.lastHeartbeatAt !== undefined) {
        booting.delete(id);
        continue;
      }
      const bootMs = machine.type.bootS * bootRatio * 1000;
      const late = machine.listedAsRunning
        ? now - machine.knownSince > silentMs
        : now - machine.requestedAt > bootMs;
      if (!late) continue;
      booting.delete(id);
      found.push(id);
      this.eventLoop.log.info({ machine: id }, 'machine never came up');
    }
    return found;
  }

  /**
   * How long a machine may be idle. While a gang has long lacked room that the cloud refuses, what
   * stands idle may be in its way. Not sooner: a returned machine takes its images along.
   */
  private allowedIdleMs(now: number, outlook: WorkloadState): number {
    if (outlook.noWork) return 0;
    const idleMs = this.settings.workerLeaseMs * this.settings.get('fleet.idle.ratio');
    const longMs = this.settings.get('placement.cannot.fill.s') * 1000;
    const stuck =
      outlook.scaleOutRefused &&
      this.context.placement.shortages.some(({ job }) => now - job.waitingSince > longMs);
    return stuck ? idleMs * STUCK_IDLE_FACTOR : idleMs;
  }

  private idleByKind(): Map<string, number> {
    const { workers } = this.context;
    const idle = new Map<string, number>();
    for (const machine of workers.machines.values()) {
      if (machine.isBusy || machine.releasing || !workers.isAlive(machine)) continue;
      idle.set(idleKey(machine), (idle.get(idleKey(machine)) ?? 0) + 1);
    }
    return idle;
  }

  private silent(machine: Machine, silentMs: number): boolean {
    const { workers } = this.context;
    return (
      workers.unresponsiveMs(machine) > silentMs || workers.unacknowledgedMs(machine) > silentMs
    );
  }

  private silentToReturn(machine: Machine, now: number, silentMs: number): boolean {
    if (machine.cloudState === 'absent' || machine.cloudStateAt === -Infinity) {
      // Not there any more, and its lease has run out.
      if (now - machine.firstSeenAt > silentMs * 2) this.context.workers.removeMachine(machine);
      return false;
    }
    this.eventLoop.log.info({ machine: machine.id }, 'silent machine is returned');
    return true;
  }

  /** Where enough others like it are idle, returning one won't have it rented again at once. */
  private idleToReturn(machine: Machine, idleAlike: Map<string, number>, noWork: boolean): boolean {
    const alike = idleAlike.get(idleKey(machine)) ?? 0;
    if (alike < MIN_IDLE_ALIKE && !noWork) return false;
    idleAlike.set(idleKey(machine), alike - 1);
    machine.releasing = true;
    this.eventLoop.log.info({ machine: machine.id }, 'idle machine is returned');
    return true;
  }
}
