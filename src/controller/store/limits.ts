/** The limits of the state store, and how a process learns that they have changed. */
import type { Platform, StateLimits } from '../settings/platform.js';

/** So many rate refusals within the window show that the upcoming rates are in force. */
const REFUSALS_FOR_UPCOMING_RATES = 3;
const REFUSAL_WINDOW_MS = 5000;

/** No value or transaction is split further than this. */
const MIN_VALUE_KB = 1;
const MIN_TRANSACTION_WRITES = 2;
const MAX_HALVINGS = 6;

const BYTES_PER_KB = 1024;

/**
 * The state store's limits as far as this process knows them. Sizes are kept within the smaller of
 * the present and the upcoming limits from the start: that costs little, and what is written then
 * stays writable. Rates are used in full until the store refuses, for they are what is scarce.
 */
export class StateStoreLimits {
  private rates: { rps: number; writeRps: number };
  /** When the store has refused for its rate lately. */
  private rateRefusals: number[] = [];
  /** How often sizes had been halved at `halvedAt`. */
  private halvingCount = 0;
  private halvedAt = -Infinity;

  /** `now`: monotonic clock in milliseconds. */
  constructor(
    private readonly platform: Pick<Platform, 'stateLimits' | 'upcomingStateLimits'>,
    private readonly now: () => number,
    /** After each such time without a size refusal twice the size is tried again. */
    private readonly retryMs: number,
  ) {
    const { rps, writeRps } = platform.stateLimits;
    this.rates = { rps, writeRps };
  }

  private get halvings(): number {
    const doublings = Math.floor((this.now() - this.halvedAt) / this.retryMs);
    return Math.max(0, this.halvingCount - doublings);
  }

  /** The limits to keep to now. */
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

  /** Size of the largest value that may be written now, in the unit of `storedSize`. */
  get maxValueSize(): number {
    return this.current.valueKb * BYTES_PER_KB;
  }

  /**
   * The store has refused a value or a transaction, by what it says for its size: smaller ones follow.
   * It may have found another fault; so after a while larger ones are tried again.
   */
  recordSizeRefusal(): void {
    this.halvingCount = Math.min(this.halvings + 1, MAX_HALVINGS);
    this.halvedAt = this.now();
  }

  /** The store has refused a call for its rate. True: the upcoming, lower rates are in force from now on. */
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
