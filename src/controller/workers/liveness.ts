/** Tracks which machines send heartbeats and for how long the others have been unresponsive. */
import type { Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';

/**
 * Maximum time between two heartbeats of a worker, in heartbeat intervals: the protocol's limit
 * plus a small margin.
 */
const MAX_HEARTBEAT_INTERVAL_RATIO = 1.35;

/**
 * The controller process counts as stalled if the time between two calls of `setAnswering` exceeds
 * this multiple of the interval at which it has to be called.
 */
const STALL_INTERVALS = 3;

/**
 * Measures how long machines have been unresponsive. Only the time in which this node could have
 * answered their heartbeats counts.
 */
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
   * Records whether this node may answer workers. Must be called every `intervalMs`; a call that
   * comes much later shows that the process was stalled.
   */
  setAnswering(mayAnswer: boolean, intervalMs: number): void {
    const now = this.eventLoop.now();
    // A stalled process has not answered heartbeats either.
    const wasStalled = now - this.lastTickAt > intervalMs * STALL_INTERVALS;
    if (!mayAnswer || wasStalled) this.answeringSince = now;
    this.lastTickAt = now;
  }

  /** Time in ms for which this node could have answered the machine's heartbeats but received none. */
  unresponsiveMs(machine: Machine): number {
    const unresponsiveSince = Math.max(
      machine.lastHeartbeatAt,
      machine.firstSeenAt,
      this.answeringSince,
    );
    return this.eventLoop.now() - unresponsiveSince;
  }

  /**
   * Time in ms for which the machine has not acknowledged its fencing token although this node
   * could have answered its heartbeats; 0 if it has acknowledged the token.
   */
  unacknowledgedMs(machine: Machine): number {
    if (machine.tokenAcknowledged) return 0;
    return this.eventLoop.now() - Math.max(machine.tokenUnacknowledgedSince, this.answeringSince);
  }

  /** Returns true if the machine sent a heartbeat recently and its agent epoch has not ended. */
  isAlive(machine: Machine): boolean {
    const allowedMs = this.settings.workerLeaseMs * this.settings.get('workers.silent.ratio');
    const isResponsive = this.eventLoop.now() - machine.lastHeartbeatAt < allowedMs;
    return isResponsive && machine.agentEpoch >= machine.lowestValidAgentEpoch;
  }

  /**
   * Returns the share, from 0 to 1, of the machines whose heartbeats are overdue by more than
   * `minOverdueMs` although this node could have answered them. Machines whose agent epoch has
   * ended or that have failed according to the cloud are not expected to send heartbeats, and are
   * not counted. With `onlySeenInThisTerm` only machines that have sent a heartbeat in this term
   * are counted.
   */
  overdueShare(minOverdueMs: number, onlySeenInThisTerm: boolean): number {
    const allowedMs =
      this.settings.heartbeatIntervalMs * MAX_HEARTBEAT_INTERVAL_RATIO + minOverdueMs;
    let expected = 0;
    let overdue = 0;
    for (const machine of this.machines.values()) {
      if (machine.agentEpoch < machine.lowestValidAgentEpoch || machine.cloudState === 'failed')
        continue;
      if (onlySeenInThisTerm && machine.lastHeartbeatAt === -Infinity) continue;
      expected++;
      if (this.unresponsiveMs(machine) > allowedMs) overdue++;
    }
    return expected === 0 ? 0 : overdue / expected;
  }
}
