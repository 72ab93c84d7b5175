/** Pauses in renting of kinds of machines that the cloud does not have just now. */
import type { MachineKind } from '../placement/capacity/machine-kind.js';

/** The longest pause, in times of the first. */
const MAX_PAUSE_FACTOR = 8;

interface Pause {
  until: number;
  lengthMs: number;
}

/** A kind of machine as text: key of its pause, and its name in the log. */
export function machineKindKey(kind: MachineKind): string {
  return `${kind.type.name}/${kind.zone}/${kind.spot ? 'spot' : 'ordinary'}`;
}

/** Exponential backoff for each kind of machine. */
export class ScaleOutBackoff {
  private readonly pauses = new Map<string, Pause>();

  constructor(private readonly firstPauseMs: number) {}

  /** The cloud had all that was asked for. */
  recordSuccess(kind: MachineKind): void {
    this.pauses.delete(machineKindKey(kind));
  }

  /** The cloud had fewer than asked for. `some`: it had a few, so the pause is the first again. */
  recordShortage(kind: MachineKind, now: number, some: boolean): void {
    const before = this.pauses.get(machineKindKey(kind));
    const lengthMs =
      before === undefined || some
        ? this.firstPauseMs
        : Math.min(before.lengthMs * 2, this.firstPauseMs * MAX_PAUSE_FACTOR);
    this.pauses.set(machineKindKey(kind), { until: now + lengthMs, lengthMs });
  }

  /** The kind may be asked for. */
  allows(kind: MachineKind, now: number): boolean {
    const pause = this.pauses.get(machineKindKey(kind));
    return pause === undefined || pause.until <= now;
  }

  /** Some kind is not to be had just now. */
  anyPaused(now: number): boolean {
    for (const pause of this.pauses.values()) if (pause.until > now) return true;
    return false;
  }
}
