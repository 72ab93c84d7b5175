/** Which machines report, and for how long others have not. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Machine } from './machine.js';

/** Workers report at least this often, in times of the report interval (PROTOCOL), with a little over. */
const MAX_HEARTBEAT_INTERVAL_RATIO = 1.35;

/** A process that was not heard of for this many of its own intervals was held up. */
const STALL_INTERVALS = 3;

/** Silence of machines; it counts only while this node would have answered them. */
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

  /** Told as time passes: whether this node may answer workers. */
  setAnswering(mayAnswer: boolean, intervalMs: number): void {
    const now = this.eventLoop.now();
    // A process that was held up has not answered either.
    const heldUp = now - this.lastTickAt > intervalMs * STALL_INTERVALS;
    if (!mayAnswer || heldUp) this.answeringSince = now;
    this.lastTickAt = now;
  }

  /** How long nothing was heard of the machine while its reports would have been answered. */
  unresponsiveMs(machine: Machine): number {
    const heardAt = Math.max(machine.lastHeartbeatAt, machine.firstSeenAt, this.answeringSince);
    return this.eventLoop.now() - heardAt;
  }

  /** How long the machine has been answered without showing that it hears. */
  unacknowledgedMs(machine: Machine): number {
    if (machine.tokenAcknowledged) return 0;
    return this.eventLoop.now() - Math.max(machine.tokenUnacknowledgedSince, this.answeringSince);
  }

  /** Reports lately, and its session is not over. */
  isAlive(machine: Machine): boolean {
    const silentMs = this.settings.workerLeaseMs * this.settings.get('workers.silent.ratio');
    const reportsLately = this.eventLoop.now() - machine.lastHeartbeatAt < silentMs;
    return reportsLately && machine.agentEpoch >= machine.lowestValidAgentEpoch;
  }

  /**
   * Share of the machines whose reports are overdue by `lateMs`, though they would have been
   * answered; of those that may still report.
   */
  overdueShare(lateMs: number, onlyHeardInThisTerm: boolean): number {
    const allowedMs = this.settings.heartbeatIntervalMs * MAX_HEARTBEAT_INTERVAL_RATIO + lateMs;
    let expected = 0;
    let overdue = 0;
    for (const machine of this.machines.values()) {
      if (machine.agentEpoch < machine.lowestValidAgentEpoch || machine.cloudState === 'failed')
        continue;
      if (onlyHeardInThisTerm && machine.lastHeartbeatAt === -Infinity) continue;
      expected++;
      if (this.unresponsiveMs(machine) > allowedMs) overdue++;
    }
    return expected === 0 ? 0 : overdue / expected;
  }
}
