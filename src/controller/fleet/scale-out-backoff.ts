/** Backoff for kinds of machines that the cloud has no capacity for at present. */
import type { MachineKind } from '../placement/capacity/machine-kind.js';

/** Longest pause, as a multiple of the first. */
const MAX_PAUSE_FACTOR = 8;

/** A kind of machine is not requested before `until` (steady clock, milliseconds). */
interface Pause {
  until: number;
  durationMs: number;
}

/** A kind of machine as text, used as a key and in the log. */
export function machineKindKey(kind: MachineKind): string {
  return `${kind.type.name}/${kind.zone}/${kind.spot ? 'spot' : 'ordinary'}`;
}

/** Exponential backoff of launch requests, for each kind of machine. */
export class ScaleOutBackoff {
  private readonly pauses = new Map<string, Pause>();

  constructor(private readonly firstPauseMs: number) {}

  /** The cloud has launched all machines that were requested: ends the pause. */
  recordSuccess(kind: MachineKind): void {
    this.pauses.delete(machineKindKey(kind));
  }

  /** The cloud has launched fewer machines than requested. After `some` the pause is the shortest again. */
  recordShortage(kind: MachineKind, now: number, someLaunched: boolean): void {
    const previous = this.pauses.get(machineKindKey(kind));
    const durationMs =
      previous === undefined || someLaunched
        ? this.firstPauseMs
        : Math.min(previous.durationMs * 2, this.firstPauseMs * MAX_PAUSE_FACTOR);
    this.pauses.set(machineKindKey(kind), { until: now + durationMs, durationMs });
  }

  /** Whether machines of the kind may be requested now. */
  allows(kind: MachineKind, now: number): boolean {
    const pause = this.pauses.get(machineKindKey(kind));
    return pause === undefined || pause.until <= now;
  }

  /** Whether requests for any kind are paused now. */
  anyPaused(now: number): boolean {
    for (const pause of this.pauses.values()) if (pause.until > now) return true;
    return false;
  }
}
