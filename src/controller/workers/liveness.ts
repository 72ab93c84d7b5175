/** Which machines send heartbeats, and for how long the others have been unresponsive. */
import type { Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';

/** The longest time between two heartbeats (PROTOCOL, with a small margin), in heartbeat intervals. */
const MAX_HEARTBEAT_INTERVAL_RATIO = 1.35;

/** A controller whose tick is this many tick intervals late was stalled itself. */
const STALL_INTERVALS = 3;

/** How long machines are unresponsive; only the time in which this node would have answered them counts. */
export class Liveness {
  private answeringSince: number;
  private lastTickAt: number;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'>,
    private readonly settings: Settings,
    private readonly machines: ReadonlyMap<string, Machine>,
  ) {
    const now = eventLoop.now();
    this.answeringSince = now;
    this.lastTickAt = now;
  }

  /**
   * Notes whether this node may answer workers; to be called every `intervalMs`. A call that comes
   * late shows that the process was stalled.
   */
  setAnswering(mayAnswer: boolean, intervalMs: number): void {
    const now = this.eventLoop.now();
    // A stalled process has not answered either.
    const wasStalled = now - this.lastTickAt > intervalMs * STALL_INTERVALS;
    if (!mayAnswer || wasStalled) this.answeringSince = now;
    this.lastTickAt = now;
  }

  /** Time in ms without a heartbeat of the machine, while heartbeats would have been answered. */
  unresponsiveMs(machine: Machine): number {
    const unresponsiveSince = Math.max(
      machine.lastHeartbeatAt,
      machine.firstSeenAt,
      this.answeringSince,
    );
    return this.eventLoop.now() - unresponsiveSince;
  }

  /** Time in ms in which the machine was answered without acknowledging its fencing token. */
  unacknowledgedMs(machine: Machine): number {
    if (machine.tokenAcknowledged) return 0;
    return this.eventLoop.now() - Math.max(machine.tokenUnacknowledgedSince, this.answeringSince);
  }

  /** Whether the machine sent a heartbeat lately and its agent epoch is not over. */
  isAlive(machine: Machine): boolean {
    const allowedMs = this.settings.workerLeaseMs * this.settings.get('workers.silent.ratio');
    const isResponsive = this.eventLoop.now() - machine.lastHeartbeatAt < allowedMs;
    return isResponsive && machine.agentEpoch >= machine.lowestValidAgentEpoch;
  }

  /**
   * Share, from 0 to 1, of the machines whose heartbeats are overdue by `lateMs` though they would have
   * been answered, among those from which heartbeats are expected. With `onlyHeardInThisTerm`
   * machines that have sent none in this term don't count.
   */
  overdueShare(overdueByMs: number, excludeUnseen: boolean): number {
    const allowedMs =
      this.settings.heartbeatIntervalMs * MAX_HEARTBEAT_INTERVAL_RATIO + overdueByMs;
    let expected = 0;
    let overdue = 0;
    for (const machine of this.machines.values()) {
      if (machine.agentEpoch < machine.lowestValidAgentEpoch || machine.cloudState === 'failed')
        continue;
      if (excludeUnseen && machine.lastHeartbeatAt === -Infinity) continue;
      expected++;
      if (this.unresponsiveMs(machine) > allowedMs) overdue++;
    }
    return expected === 0 ? 0 : overdue / expected;
  }
}
