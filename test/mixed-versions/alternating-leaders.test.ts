/** Leaders of an older version and of the present one that follow each other again and again. */
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
  assert.ok(versionChanges >= VERSION_CHANGES, `only ${versionChanges} failovers`);
  for (const version of [older, present])
    assert.ok(processes.electedVersions.includes(version), `${version.name} never led`);
}

await describeOlderVersions('alternating leaders', ({ name, version: older }) => {
  it('keep the rules and finish all jobs when the lead passes between them ten times', () => {
    const present = presentVersion();
    playSeeds(seedCountsFor(name).frequent, (seed) => playAlternatingLeaders(seed, older, present));
  });
});
