/** The limits of the state service, and how a process learns that they have changed. */
import type { Platform, StateLimits } from '../settings/platform.js';

/** Refusals by rate within `WITHIN_MS` that show that the limits to come are in force. */
const REFUSALS = 3;
const WITHIN_MS = 5000;

/** No value or transaction is split further than this. */
const LEAST_VALUE_KB = 1;
const LEAST_OPS = 2;
const MOST_HALVINGS = 6;

/**
 * The state service's limits as far as this process knows them. Sizes are kept within the smaller of
 * today's limits and those to come from the start: that costs little, and what is written then stays
 * writable. Rates are used in full until the service refuses, for they are what is scarce.
 */
export class StateStoreLimits {
  private rates: { rps: number; writeRps: number };
  private refusals: number[] = [];
  /** How often sizes were halved, and when last. */
  private halvingCount = 0;
  private halvedAt = -Infinity;

  constructor(
    private readonly platform: Pick<Platform, 'stateLimits' | 'upcomingStateLimits'>,
    private readonly now: () => number,
    /** After this time without a refusal twice the size is tried again. */
    private readonly retryMs: number,
  ) {
    const { rps, writeRps } = platform.stateLimits;
    this.rates = { rps, writeRps };
  }

  private get halvings(): number {
    return Math.max(0, this.halvingCount - Math.floor((this.now() - this.halvedAt) / this.retryMs));
  }

  /** The limits to keep to now. */
  get current(): StateLimits {
    const { stateLimits: today, upcomingStateLimits: next } = this.platform;
    const part = 2 ** this.halvings;
    const valueKb = Math.min(today.valueKb, next.valueKb);
    const txnOps = Math.min(today.txnOps, next.txnOps);
    return {
      valueKb: Math.max(Math.min(LEAST_VALUE_KB, valueKb), valueKb / part),
      txnOps: Math.max(LEAST_OPS, Math.floor(txnOps / part)),
      ...this.rates,
    };
  }

  /** The largest value that may be written now. */
  get maxValueBytes(): number {
    return this.current.valueKb * 1024;
  }

  /**
   * The service has refused a value or a transaction for its size: what follows is smaller. It may
   * have found another fault; so after a while more is tried again.
   */
  recordSizeRefusal(): void {
    this.halvingCount = Math.min(this.halvings + 1, MOST_HALVINGS);
    this.halvedAt = this.now();
  }

  /** The service has refused for too many requests or changes. True: the rates to come are in force. */
  recordRateRefusal(): boolean {
    const now = this.now();
    const { rps, writeRps } = this.platform.upcomingStateLimits;
    if (rps >= this.rates.rps && writeRps >= this.rates.writeRps) return false;
    this.refusals = this.refusals.filter((at) => now - at < WITHIN_MS);
    this.refusals.push(now);
    if (this.refusals.length < REFUSALS) return false;
    this.rates = {
      rps: Math.min(rps, this.rates.rps),
      writeRps: Math.min(writeRps, this.rates.writeRps),
    };
    return true;
  }
}
