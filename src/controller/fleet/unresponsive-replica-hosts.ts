/** Silent machines whose replicas of services are started elsewhere before their lease has run out. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Assignment } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';
import type { Workers } from '../workers/workers.js';

/** How long a silent machine has for its answer, as a ratio to the report interval. */
const ANSWER_RATIO = 0.2;

/** Machines that are found silent within this ratio of the report interval are released together. */
const GATHER_RATIO = 0.01;

/**
 * Chooses silent machines whose replicas of services should not wait for the worker's lease to run out:
 * once the cloud has confirmed their release, everything on them is gone, and the replicas may start
 * elsewhere. A machine is asked before, since merely its report may have been lost.
 */
export class UnresponsiveReplicaHosts {
  /** When machines were chosen, over the last lease of a worker. */
  private chosenAt: number[] = [];
  /** Machines to be released with the next call to the cloud. */
  private readonly chosen: Machine[] = [];
  /** Machines that were asked and have not answered yet. */
  private readonly asked = new Set<string>();
  /** When silent machines answered last. */
  private readonly answeredAt = new Map<string, number>();

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly workers: Workers,
    private readonly release: (machines: Machine[]) => void,
  ) {}

  /** Called about once a second. */
  step(now: number): void {
    this.forgetAnswers(now);
    if (this.allowed(now) <= 0) return;
    for (const machine of this.workers.machines.values())
      if (!this.asked.has(machine.id) && this.silent(machine, now) && this.worthwhile(machine, now))
        this.ask(machine);
  }

  private ask(machine: Machine): void {
    const { id, addr } = machine;
    if (addr === '' || !this.eventLoop.runtime.hasSpareConnection(addr)) return;
    this.asked.add(id);
    const timeoutMs = this.settings.heartbeatIntervalMs * ANSWER_RATIO;
    this.eventLoop.runtime.call(
      { to: addr, method: 'GET', path: '/inspect', timeoutMs },
      (reply) => {
        this.eventLoop.post('inspected', () => {
          this.asked.delete(id);
          if (reply.status === 200) this.answeredAt.set(id, this.eventLoop.now());
          else if (this.workers.machines.get(id) === machine) this.unanswered(machine);
        });
      },
    );
  }

  private unanswered(machine: Machine): void {
    const now = this.eventLoop.now();
    if (this.allowed(now) <= 0 || this.chosen.includes(machine)) return;
    if (!this.silent(machine, now) || !this.worthwhile(machine, now)) return;
    this.chosenAt.push(now);
    this.chosen.push(machine);
    if (this.chosen.length > 1) return;
    this.eventLoop.after(this.settings.heartbeatIntervalMs * GATHER_RATIO, 'release-silent', () => {
      this.release(this.chosen.splice(0));
    });
  }

  /** How many machines may be released now. */
  private allowed(now: number): number {
    const share = this.settings.get('fleet.replicas.silent.share');
    // When many machines are silent the network is at fault, possibly this node's own.
    if (this.workers.overdueShare(0, false) > share) return 0;
    this.chosenAt = this.chosenAt.filter((at) => now - at < this.settings.workerLeaseMs);
    return Math.ceil(this.workers.machines.size * share) - this.chosenAt.length;
  }

  private silent(machine: Machine, now: number): boolean {
    const ms = this.settings.heartbeatIntervalMs * this.settings.get('fleet.replicas.silent.ratio');
    const answeredAt = this.answeredAt.get(machine.id) ?? -Infinity;
    return (
      this.workers.unresponsiveMs(machine) > ms &&
      now - answeredAt > this.settings.heartbeatIntervalMs
    );
  }

  private forgetAnswers(now: number): void {
    for (const [id, at] of this.answeredAt)
      if (now - at > this.settings.workerLeaseMs) this.answeredAt.delete(id);
  }

  /** Whether a release would bring replicas back clearly sooner, at no loss to a gang that still runs. */
  private worthwhile(machine: Machine, now: number): boolean {
    if (machine.releasing || machine.agentEpoch < machine.lowestValidAgentEpoch) return false;
    const leaseLeftMs = machine.leaseRenewedAt + this.settings.workerLeaseExpiryMs - now;
    if (leaseLeftMs < this.settings.heartbeatIntervalMs) return false;
    const assignments = [...machine.assignments.values()].filter((a) => a.phase !== 'ended');
    return assignments.some(isReplica) && !assignments.some(isPartOfRunningGang);
  }
}

function isReplica(assignment: Assignment): boolean {
  return assignment.job?.isService === true && assignment.job.terminalState === null;
}

/**
 * A gang with parts on other machines is told of a machine that hangs or is gone by its parts' exits;
 * where it goes on, the machine may merely be cut off.
 */
function isPartOfRunningGang({ job }: Assignment): boolean {
  return (
    job?.spec.kind === 'gang' &&
    job.spec.tasks > 1 &&
    !job.gangRestarting &&
    job.terminalState === null
  );
}
