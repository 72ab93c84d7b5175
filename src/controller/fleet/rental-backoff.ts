/** Pauses in renting of kinds of machines that the cloud does not have just now. */
import type { MachineKind } from '../placement/machine-kind.js';

/** The longest pause, in times of the first. */
const MAX_PAUSE_FACTOR = 8;

interface Pause {
  until: number;
  lengthMs: number;
}

/** A kind of machine as text: key of its pause, and its name in the log. */
export function kindKey(kind: MachineKind): string {
  return `${kind.type.name}/${kind.zone}/${kind.spot ? 'spot' : 'ordinary'}`;
}

/** Exponential backoff for each kind of machine. */
export class RentalBackoff {
  private readonly pauses = new Map<string, Pause>();

  constructor(private readonly firstPauseMs: number) {}

  /** The cloud had all that was asked for. */
  succeeded(kind: MachineKind): void {
    this.pauses.delete(kindKey(kind));
  }

  /** The cloud had fewer than asked for. `some`: it had a few, so the pause is the first again. */
  refused(kind: MachineKind, now: number, some: boolean): void {
    const before = this.pauses.get(kindKey(kind));
    const lengthMs =
      before === undefined || some
        ? this.firstPauseMs
        : Math.min(before.lengthMs * 2, this.firstPauseMs * MAX_PAUSE_FACTOR);
    this.pauses.set(kindKey(kind), { until: now + lengthMs, lengthMs });
  }

  /** The kind may be asked for. */
  mayRent(kind: MachineKind, now: number): boolean {
    const pause = this.pauses.get(kindKey(kind));
    return pause === undefined || pause.until <= now;
  }

  /** Some kind is not to be had just now. */
  anyRefused(now: number): boolean {
    for (const pause of this.pauses.values()) if (pause.until > now) return true;
    return false;
  }
}
