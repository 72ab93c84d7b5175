/** The limits of the state store, and the detection that they have changed. */
import type { Platform, StateLimits } from '../settings/platform.js';

/** After this many rate refusals within the refusal window, the upcoming rates are considered in force. */
const REFUSALS_FOR_UPCOMING_RATES = 3;
/** Time after which a rate refusal no longer counts, in milliseconds. */
const REFUSAL_WINDOW_MS = 5000;

/** Size refusals do not lower the largest value below this size, in KiB. */
const MIN_VALUE_KB = 1;
/** Size refusals do not lower the limit on the writes of a transaction below this number. */
const MIN_TRANSACTION_WRITES = 2;
/** Largest number of times that the sizes are halved. */
const MAX_HALVINGS = 6;

const BYTES_PER_KB = 1024;

/**
 * The limits of the state store that this process complies with. Sizes are kept within the smaller of the
 * present and the upcoming limits from the start. This costs little, and values that were written before the
 * limits are lowered can still be rewritten afterwards. Rates are scarce, so the present rates are used in full
 * until the store refuses calls.
 */
export class StateStoreLimits {
  private rates: { rps: number; writeRps: number };
  /** Times of the rate refusals within the window. */
  private rateRefusals: number[] = [];
  /** Number of halvings in effect right after the last size refusal (at `halvedAt`). */
  private halvingCount = 0;
  private halvedAt = -Infinity;

  /**
   * @param platform - the present and the upcoming limits
   * @param now - monotonic clock in milliseconds
   * @param retryMs - time without a size refusal after which reduced sizes are doubled again
   */
  constructor(
    private readonly platform: Pick<Platform, 'stateLimits' | 'upcomingStateLimits'>,
    private readonly now: () => number,
    private readonly retryMs: number,
  ) {
    const { rps, writeRps } = platform.stateLimits;
    this.rates = { rps, writeRps };
  }

  private get halvings(): number {
    const doublings = Math.floor((this.now() - this.halvedAt) / this.retryMs);
    return Math.max(0, this.halvingCount - doublings);
  }

  /** The limits that apply now. */
  get current(): StateLimits {
    const { stateLimits: present, upcomingStateLimits: upcoming } = this.platform;
    const divisor = 2 ** this.halvings;
    const valueKb = Math.min(present.valueKb, upcoming.valueKb);
    const txnOps = Math.min(present.txnOps, upcoming.txnOps);
    return {
      valueKb: Math.max(Math.min(MIN_VALUE_KB, valueKb), valueKb / divisor),
      txnOps: Math.max(MIN_TRANSACTION_WRITES, Math.floor(txnOps / divisor)),
      ...this.rates,
    };
  }

  /** Size of the largest value that may be written now, in bytes of JSON (`storedSize`). */
  get maxValueSize(): number {
    return this.current.valueKb * BYTES_PER_KB;
  }

  /** Whether a refusal for size would not lower the size of the largest value any more. */
  get sizesAreLowest(): boolean {
    return this.current.valueKb <= MIN_VALUE_KB || this.halvings >= MAX_HALVINGS;
  }

  /**
   * Halves the sizes after the store has rejected a value or a transaction, presumably for its size. The
   * store may have found another fault instead, so larger sizes are tried again after `retryMs`.
   */
  recordSizeRefusal(): void {
    this.halvingCount = Math.min(this.halvings + 1, MAX_HALVINGS);
    this.halvedAt = this.now();
  }

  /**
   * Records that the store has refused a call for its rate. Returns true if the upcoming, lower rates
   * apply from now on, and false if the rates have not changed.
   */
  recordRateRefusal(): boolean {
    const now = this.now();
    const { rps, writeRps } = this.platform.upcomingStateLimits;
    if (rps >= this.rates.rps && writeRps >= this.rates.writeRps) return false;
    this.rateRefusals = this.rateRefusals.filter(
      (refusedAt) => now - refusedAt < REFUSAL_WINDOW_MS,
    );
    this.rateRefusals.push(now);
    if (this.rateRefusals.length < REFUSALS_FOR_UPCOMING_RATES) return false;
    this.rates = {
      rps: Math.min(rps, this.rates.rps),
      writeRps: Math.min(writeRps, this.rates.writeRps),
    };
    return true;
  }
}
