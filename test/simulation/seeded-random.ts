/** The random numbers of a seeded run. */
import { seededRandom } from '../../src/controller/runtime/random.js';

/** Random draws that a seed determines; the order of the draws is part of a run. */
export class SeededRandom {
  /** A random number from 0 (included) to 1 (excluded). */
  readonly next: () => number;

  constructor(seed: number) {
    this.next = seededRandom(seed);
  }

  /** A random number in the range. */
  between(from: number, to: number): number {
    return from + (to - from) * this.next();
  }

  /** A random element of the list; throws if there is none. */
  pick<T>(list: readonly T[]): T {
    const picked = list[Math.floor(this.next() * list.length)];
    if (picked === undefined) throw new Error('nothing to pick from');
    return picked;
  }
}
