/** Which machines report, and for how long others have not. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { Machine } from './machine.js';

/** Workers report at least this often, in times of the report interval (PROTOCOL), with a little over. */
const LATEST_REPORT_RATIO = 1.35;

/** A process that was not heard of for this many of its own intervals was held up. */
const STANDSTILL_INTERVALS = 3;

/** Silence of machines; it counts only while this node would have answered them. */
export class Liveness {
  private answeringSince: number;
  private toldAt: number;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'>,
    private readonly settings: Settings,
    private readonly machines: ReadonlyMap<string, Machine>,
  ) {
    const now = eventLoop.now();
    this.answeringSince = now;
    this.toldAt = now;
  }

  /** Told as time passes: whether this node may answer workers. */
  setAnswering(mayAnswer: boolean, intervalMs: number): void {
    const now = this.eventLoop.now();
    // A process that was held up has not answered either.
    const heldUp = now - this.toldAt > intervalMs * STANDSTILL_INTERVALS;
    if (!mayAnswer || heldUp) this.answeringSince = now;
    this.toldAt = now;
  }

  /** How long nothing was heard of the machine while its reports would have been answered. */
  silentMs(machine: Machine): number {
    const heardAt = Math.max(machine.lastReportAt, machine.firstSeen, this.answeringSince);
    return this.eventLoop.now() - heardAt;
  }

  /** How long the machine has been answered without showing that it hears. */
  deafMs(machine: Machine): number {
    if (machine.synced) return 0;
    return this.eventLoop.now() - Math.max(machine.unsyncedSince, this.answeringSince);
  }

  /** Reports lately, and its session is not over. */
  isAlive(machine: Machine): boolean {
    const silentMs = this.settings.workerLeaseMs * this.settings.get('workers.silent.ratio');
    const reportsLately = this.eventLoop.now() - machine.lastReportAt < silentMs;
    return reportsLately && machine.session >= machine.lowestValidSession;
  }

  /**
   * Share of the machines whose reports are overdue by `lateMs`, though they would have been
   * answered; of those that may still report.
   */
  overdueShare(lateMs: number, onlyHeardThisTerm: boolean): number {
    const allowedMs = this.settings.heartbeatIntervalMs * LATEST_REPORT_RATIO + lateMs;
    let expected = 0;
    let overdue = 0;
    for (const machine of this.machines.values()) {
      if (machine.session < machine.lowestValidSession || machine.listed === 'failed') continue;
      if (onlyHeardThisTerm && machine.lastReportAt === -Infinity) continue;
      expected++;
      if (this.silentMs(machine) > allowedMs) overdue++;
    }
    return expected === 0 ? 0 : overdue / expected;
  }
}
