/** Reads and writes the expected digests of the scenarios, and computes the current digests. */
import { createHash } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';
import { digestScenarios } from './digest-scenarios.js';
import { digestOf, type ScenarioDigest } from './play-digest-scenario.js';

const EXPECTED_DIGESTS_FILE = new URL('../../digests.json', import.meta.url);
/** Length of the hash of all digests, in hexadecimal digits. */
const SHORT_HASH_LENGTH = 12;

/** Digests by scenario name. */
export type Digests = Record<string, string>;

/** Returns the expected digests in `test/digests.json`. */
export function expectedDigests(): Digests {
  return JSON.parse(readFileSync(EXPECTED_DIGESTS_FILE, 'utf8')) as Digests;
}

/** Replaces the expected digests in `test/digests.json`. */
export function writeDigests(digests: Digests): void {
  writeFileSync(EXPECTED_DIGESTS_FILE, `${JSON.stringify(digests, null, 2)}\n`);
}

/** Runs all scenarios and returns their digests; calls `onPlayed` after each scenario. */
export async function playDigests(
  onPlayed: (name: string, result: ScenarioDigest) => void = () => undefined,
): Promise<Digests> {
  const digests: Digests = {};
  for (const scenario of digestScenarios) {
    const result = await digestOf(scenario);
    digests[scenario.name] = result.digest;
    onPlayed(scenario.name, result);
  }
  return digests;
}

/** Returns a short hash of all digests, for use in commit messages. */
export function totalDigest(digests: Digests): string {
  const sorted = Object.entries(digests).sort(([a], [b]) => (a < b ? -1 : 1));
  return createHash('sha256')
    .update(JSON.stringify(sorted))
    .digest('hex')
    .slice(0, SHORT_HASH_LENGTH);
}
