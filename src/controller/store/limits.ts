import type { Platform, StateLimits } from '../settings/platform.js';

/** Refusals by rate within `WITHIN_MS` that show that the limits to come are in force. */
const REFUSALS = 3;
const WITHIN_MS = 5000;

/** No value or transaction is split further than this. */
const LEAST_VALUE_KB = 1;
const LEAST_OPS = 2;

/**
 * The state service's limits as far as this process knows them. Sizes are kept within the smaller of
 * today's limits and those to come from the start: that costs little, and what is written then stays
 * writable. Rates are used in full until the service refuses, for they are what is scarce.
 */
export class Limits {
  private sizes: { valueKb: number; txnOps: number };
  private rates: { rps: number; writeRps: number };
  private refusals: number[] = [];

  constructor(private readonly platform: Pick<Platform, 'stateLimits' | 'stateNext'>) {
    const { stateLimits: today, stateNext: next } = platform;
    this.sizes = {
      valueKb: Math.min(today.valueKb, next.valueKb),
      txnOps: Math.min(today.txnOps, next.txnOps),
    };
    this.rates = { rps: today.rps, writeRps: today.writeRps };
  }

  get inForce(): StateLimits {
    return { ...this.sizes, ...this.rates };
  }

  get valueBytes(): number {
    return this.sizes.valueKb * 1024;
  }

  /** The service has refused a value or a transaction for its size: what follows is smaller. */
  tooLarge(): void {
    this.sizes = {
      valueKb: Math.max(LEAST_VALUE_KB, this.sizes.valueKb / 2),
      txnOps: Math.max(LEAST_OPS, Math.floor(this.sizes.txnOps / 2)),
    };
  }

  /** The service has refused for too many requests or changes. True: the rates to come are in force. */
  tooMany(now: number): boolean {
    const { rps, writeRps } = this.platform.stateNext;
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
