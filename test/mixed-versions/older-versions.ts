/** Runs a suite against each older version that serves beside the present one, with several seeds. */
import { describe, it } from 'node:test';
import { olderVersions, type OlderVersion } from '../simulation/program-history.js';

const FIRST_SEED = Number(process.env['MIXED_FIRST'] ?? 1);

/** How many seeds of a scenario are played. */
export interface SeedCounts {
  /** Of scenarios with the most frequent faults. */
  frequent: number;
  /** Of scenarios with rarer faults. */
  rare: number;
}

/** The version in production is played with more seeds than others. */
export function seedCountsFor(versionName: string): SeedCounts {
  const seedCount = process.env['MIXED_SEEDS'];
  if (seedCount !== undefined) return { frequent: Number(seedCount), rare: Number(seedCount) };
  return versionName === 'production' ? { frequent: 3, rare: 2 } : { frequent: 1, rare: 1 };
}

/** Plays a scenario with so many seeds; an error names its seed. */
export function playSeeds(count: number, play: (seed: number) => void): void {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + count; seed++)
    try {
      play(seed);
    } catch (err) {
      throw new Error(`seed ${seed}: ${(err as Error).message}`, { cause: err });
    }
}

/** Defines a suite for each older version; one that the history does not have is skipped. */
export async function describeOlderVersions(
  subject: string,
  defineTests: (older: OlderVersion) => void,
): Promise<void> {
  for (const entry of await olderVersions())
    describe(`${entry.name} and present controllers side by side: ${subject}`, () => {
      if ('older' in entry) defineTests(entry.older);
      else it('keep the rules', { skip: entry.reason });
    });
}
