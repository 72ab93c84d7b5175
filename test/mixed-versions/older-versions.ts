/** Runs a test suite with several seeds for each older version that has to work with the present one. */
import { describe, it } from 'node:test';
import { olderVersions, type OlderVersion } from '../simulation/program-history.js';

const FIRST_SEED = Number(process.env['MIXED_FIRST'] ?? 1);

/** The number of seeds with which a scenario is played. */
export interface SeedCounts {
  /** Number of seeds for scenarios with the most frequent faults. */
  frequent: number;
  /** Number of seeds for scenarios with rarer faults. */
  rare: number;
}

/** Returns the seed counts for a version; the version in production gets more seeds than others. */
export function seedCountsFor(versionName: string): SeedCounts {
  const seedCount = process.env['MIXED_SEEDS'];
  if (seedCount !== undefined) return { frequent: Number(seedCount), rare: Number(seedCount) };
  return versionName === 'production' ? { frequent: 3, rare: 2 } : { frequent: 1, rare: 1 };
}

/** Plays a scenario with `count` seeds; the message of an error starts with its seed. */
export function playSeeds(count: number, play: (seed: number) => void): void {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + count; seed++)
    try {
      play(seed);
    } catch (err) {
      throw new Error(`seed ${seed}: ${(err as Error).message}`, { cause: err });
    }
}

/** Defines a suite for each older version; the suite of a version that the git history lacks is skipped. */
export async function describeOlderVersions(
  subject: string,
  defineTests: (older: OlderVersion) => void,
): Promise<void> {
  for (const entry of await olderVersions())
    describe(`controllers of version "${entry.name}" and of the present version (${subject})`, () => {
      if ('older' in entry) defineTests(entry.older);
      else it('violate no rule', { skip: entry.reason });
    });
}
