/** Seeded random numbers. */
import { seededRandom } from '../../src/controller/runtime/random.js';

/**
 * A sequence of random draws that is determined by a seed. All parts of a simulation share one
 * sequence, so an added draw changes the results of all later draws.
 */
export class SeededRandom {
  /** Returns a random number from 0 (included) to 1 (excluded). */
  readonly next: () => number;

  constructor(seed: number) {
    this.next = seededRandom(seed);
  }

  /** Returns a random number from `from` (included) to `to` (excluded). */
  between(from: number, to: number): number {
    return from + (to - from) * this.next();
  }

  /** Returns a random element of the list; throws if the list is empty. */
  pick<T>(list: readonly T[]): T {
    const picked = list[Math.floor(this.next() * list.length)];
    if (picked === undefined) throw new Error('cannot pick a random element: the list is empty');
    return picked;
  }
}
