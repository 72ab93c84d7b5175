/** The behaviour of the program in fixed scenarios, to the byte: a refactoring leaves the digests as they are. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { expectedDigests } from './simulation/digest/expected-digests.js';
import { digestScenarios } from './simulation/digest/digest-scenarios.js';
import { digestOf } from './simulation/digest/play-digest-scenario.js';

describe('the behaviour digest (npm run digest)', () => {
  const expected = expectedDigests();

  it('has an expected value for each scenario, and for no other', () => {
    const names = digestScenarios.map((scenario) => scenario.name);
    assert.deepEqual(Object.keys(expected), names);
  });

  for (const scenario of digestScenarios)
    it(`is as expected in the scenario "${scenario.name}"`, async () => {
      const { digest } = await digestOf(scenario);
      assert.equal(digest, expected[scenario.name]);
    });
});
