/** Deterministic random numbers. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UINT32_RANGE = 2 ** 32;

/** Returns a generator of numbers uniform in [0, 1). Equal seeds give equal sequences. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
