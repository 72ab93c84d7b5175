/** Random numbers that a seed determines. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Numbers in [0, 1) from a seed. */
export function seededRandom(seed: number): () => number {
  const rng = xoroshiro128plus(seed);
  return () => (rng.next() >>> 0) / 2 ** 32;
}
