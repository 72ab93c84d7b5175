/** Backoff of launch requests for kinds of machines that the cloud cannot provide at present. */
import type { MachineKind } from '../placement/capacity/machine-kind.js';

/** Longest pause, as a multiple of the first one. */
const MAX_PAUSE_FACTOR = 8;

/** Pause of the requests for one kind of machine; `until` is a time on the monotonic clock in ms. */
interface Pause {
  until: number;
  durationMs: number;
}

/** Returns the kind of machine as text that serves as a key and appears in the log. */
export function machineKindKey(kind: MachineKind): string {
  return `${kind.type.name}/${kind.zone}/${kind.spot ? 'spot' : 'ordinary'}`;
}

/** Exponential backoff of launch requests, separate for each kind of machine. */
export class ScaleOutBackoff {
  private readonly pauses = new Map<string, Pause>();

  constructor(private readonly firstPauseMs: number) {}

  /** Ends the pause of the kind, because the cloud has launched all machines that were requested. */
  recordSuccess(kind: MachineKind): void {
    this.pauses.delete(machineKindKey(kind));
  }

  /**
   * Pauses requests for machines of the kind, because the cloud has launched fewer of them than requested. The
   * first pause lasts `firstPauseMs`. Each further pause is twice as long as the one before, up to
   * `MAX_PAUSE_FACTOR` times `firstPauseMs`. If the cloud has launched some of the machines, the pause lasts
   * `firstPauseMs`.
   */
  recordShortage(kind: MachineKind, now: number, someLaunched: boolean): void {
    const previousPause = this.pauses.get(machineKindKey(kind));
    const durationMs =
      previousPause === undefined || someLaunched
        ? this.firstPauseMs
        : Math.min(previousPause.durationMs * 2, this.firstPauseMs * MAX_PAUSE_FACTOR);
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
