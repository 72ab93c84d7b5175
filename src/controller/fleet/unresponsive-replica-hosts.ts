/** Releases unresponsive machines early so that their service replicas can start elsewhere. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Assignment, Machine } from '../model/entities.js';
import type { Workers } from '../workers/workers.js';

/** Time-out of a probe, as a ratio to the heartbeat interval. */
const PROBE_TIMEOUT_RATIO = 0.2;

/**
 * Delay of a release request, as a ratio to the heartbeat interval. Machines selected during the delay are
 * released with the same request.
 */
const BATCH_DELAY_RATIO = 0.01;

/** Path of the request that probes a worker. */
const PROBE_PATH = '/inspect';

const STATUS_OK = 200;

/**
 * Selects unresponsive machines for release, so that their service replicas need not wait until the worker's
 * lease has expired. Once the cloud has confirmed the release, all tasks of the machine are gone, and the
 * replicas may start elsewhere (invariant 5). A machine is probed before it is selected, because it may still
 * be working and only a heartbeat may have been lost.
 */
export class UnresponsiveReplicaHosts {
  /** Times of the selections within the last worker lease; `releaseBudget` limits their number. */
  private selectionTimes: number[] = [];
  /** Machines selected for the next release request. */
  private readonly selected: Machine[] = [];
  /** Ids of machines with a probe in flight. */
  private readonly probing = new Set<string>();
  /** Time of the last answered probe, by machine id. */
  private readonly probeAnsweredAt = new Map<string, number>();

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly workers: Workers,
    private readonly release: (machines: Machine[]) => void,
  ) {}

  /** Probes the machines that are candidates for release; called about once a second. */
  step(now: number): void {
    this.forgetProbeAnswers(now);
    if (this.releaseBudget(now) <= 0) return;
    for (const machine of this.workers.machines.values())
      if (!this.probing.has(machine.id) && this.isCandidate(machine, now)) this.probe(machine);
  }

  private isCandidate(machine: Machine, now: number): boolean {
    return this.isUnresponsive(machine, now) && this.isWorthReleasing(machine, now);
  }

  private probe(machine: Machine): void {
    const { id, addr } = machine;
    if (addr === '' || !this.eventLoop.runtime.hasSpareConnection(addr)) return;
    this.probing.add(id);
    const timeoutMs = this.settings.heartbeatIntervalMs * PROBE_TIMEOUT_RATIO;
    this.eventLoop.runtime.call(
      { to: addr, method: 'GET', path: PROBE_PATH, timeoutMs },
      (reply) => {
        this.eventLoop.post('inspected', () => {
          this.probing.delete(id);
          if (reply.status === STATUS_OK) this.probeAnsweredAt.set(id, this.eventLoop.now());
          else if (this.workers.machines.get(id) === machine) this.onProbeFailed(machine);
        });
      },
    );
  }

  private onProbeFailed(machine: Machine): void {
    const now = this.eventLoop.now();
    if (this.releaseBudget(now) <= 0 || this.selected.includes(machine)) return;
    if (!this.isCandidate(machine, now)) return;
    this.selectionTimes.push(now);
    this.selected.push(machine);
    if (this.selected.length > 1) return;
    const batchDelayMs = this.settings.heartbeatIntervalMs * BATCH_DELAY_RATIO;
    this.eventLoop.after(batchDelayMs, 'release-unresponsive', () => {
      this.release(this.selected.splice(0));
    });
  }

  /** Returns how many more machines may be selected now; 0 or less if none. */
  private releaseBudget(now: number): number {
    const maxShare = this.settings.get('fleet.replicas.silent.share');
    // If many machines are unresponsive, the network is probably at fault, possibly at this node.
    if (this.workers.overdueShare(0, false) > maxShare) return 0;
    this.selectionTimes = this.selectionTimes.filter(
      (selectedAt) => now - selectedAt < this.settings.workerLeaseMs,
    );
    return Math.ceil(this.workers.machines.size * maxShare) - this.selectionTimes.length;
  }

  private isUnresponsive(machine: Machine, now: number): boolean {
    const limitMs =
      this.settings.heartbeatIntervalMs * this.settings.get('fleet.replicas.silent.ratio');
    const answeredAt = this.probeAnsweredAt.get(machine.id) ?? -Infinity;
    return (
      this.workers.unresponsiveMs(machine) > limitMs &&
      now - answeredAt > this.settings.heartbeatIntervalMs
    );
  }

  private forgetProbeAnswers(now: number): void {
    for (const [id, answeredAt] of this.probeAnsweredAt)
      if (now - answeredAt > this.settings.workerLeaseMs) this.probeAnsweredAt.delete(id);
  }

  /**
   * Whether replicas can restart clearly sooner after a release than after the expiry of the worker's lease,
   * and the release ends no gang that is still running.
   */
  private isWorthReleasing(machine: Machine, now: number): boolean {
    if (machine.releasing || machine.agentEpoch < machine.lowestValidAgentEpoch) return false;
    const remainingLeaseMs = machine.leaseRenewedAt + this.settings.workerLeaseExpiryMs - now;
    if (remainingLeaseMs < this.settings.heartbeatIntervalMs) return false;
    const assignments = [...machine.assignments.values()].filter((a) => a.phase !== 'ended');
    return assignments.some(isReplica) && !assignments.some(isMemberOfRunningGang);
  }
}

/** Whether the task is a replica of a service that has not been cancelled. */
function isReplica(assignment: Assignment): boolean {
  return assignment.job?.isService === true && assignment.job.terminalState === null;
}

/**
 * Whether the task belongs to a gang that is running on other machines too. If this machine had hung or failed,
 * the other members would exit; while they run, the machine may be working and only be partitioned from the
 * leader.
 */
function isMemberOfRunningGang({ job }: Assignment): boolean {
  return (
    job?.spec.kind === 'gang' &&
    job.spec.tasks > 1 &&
    !job.gangRestarting &&
    job.terminalState === null
  );
}
