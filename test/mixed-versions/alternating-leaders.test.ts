/** Repeated changes of leadership between an older version and the present one. */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { presentVersion, type ProgramVersion } from '../simulation/program-version.js';
import { MixedVersionScenario } from './mixed-version-scenario.js';
import { describeOlderVersions, playSeeds, seedCountsFor } from './older-versions.js';

const VERSION_CHANGES = 10;

function playAlternatingLeaders(
  seed: number,
  older: ProgramVersion,
  present: ProgramVersion,
): void {
  const scenario = new MixedVersionScenario(seed, [older, present, older]);
  const { random, processes } = scenario.simulation;
  scenario.alternateLeaders(VERSION_CHANGES);
  scenario.finish([
    { kind: 'jobsCancelled', count: 2, at: random.between(2, 10) },
    { kind: 'jobsCancelled', count: 2, at: random.between(15, 30), elsewhere: true },
    { kind: 'jobsCancelled', count: 2, at: random.between(35, 50) },
    { kind: 'jobsCancelled', count: 2, at: random.between(55, 70), elsewhere: true },
  ]);
  const { versionChanges } = scenario;
  assert.ok(
    versionChanges >= VERSION_CHANGES,
    `only ${versionChanges} changes of leadership between the versions, expected at least ${VERSION_CHANGES}`,
  );
  for (const version of [older, present])
    assert.ok(processes.electedVersions.includes(version), `${version.name} was never elected`);
}

await describeOlderVersions('alternating leaders', ({ name, version: older }) => {
  it('violate no rule and finish all jobs when leadership passes between them ten times', () => {
    const present = presentVersion();
    playSeeds(seedCountsFor(name).frequent, (seed) => playAlternatingLeaders(seed, older, present));
  });
});
