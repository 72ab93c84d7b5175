/** The expected digests of the scenarios, and those of the present sources. */
import { createHash } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';
import { digestScenarios } from './digest-scenarios.js';
import { digestOf, type ScenarioDigest } from './play-digest-scenario.js';

const EXPECTED = new URL('../../digests.json', import.meta.url);
const SHORT_HASH_LENGTH = 12;

/** Digests by name of the scenario. */
export type Digests = Record<string, string>;

/** The digests that are kept in `test/digests.json`. */
export function expectedDigests(): Digests {
  return JSON.parse(readFileSync(EXPECTED, 'utf8')) as Digests;
}

/** Replaces the expected digests. */
export function writeDigests(digests: Digests): void {
  writeFileSync(EXPECTED, `${JSON.stringify(digests, null, 2)}\n`);
}

/** Plays all scenarios; `played` is called after each. */
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

/** A short hash over all digests, for the bodies of commits. */
export function totalDigest(digests: Digests): string {
  const sorted = Object.entries(digests).sort(([a], [b]) => (a < b ? -1 : 1));
  return createHash('sha256')
    .update(JSON.stringify(sorted))
    .digest('hex')
    .slice(0, SHORT_HASH_LENGTH);
}
