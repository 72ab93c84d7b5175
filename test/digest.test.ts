/** Compares digests of the program's traffic in fixed scenarios; a refactoring must not change them. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { expectedDigests } from './simulation/digest/expected-digests.js';
import { digestScenarios } from './simulation/digest/digest-scenarios.js';
import { digestOf } from './simulation/digest/play-digest-scenario.js';

describe('the behaviour digest (npm run digest)', () => {
  const expected = expectedDigests();

  it('has an expected value for exactly the defined scenarios', () => {
    const names = digestScenarios.map((scenario) => scenario.name);
    assert.deepEqual(Object.keys(expected), names);
  });

  for (const scenario of digestScenarios)
    it(`equals the expected value in the scenario "${scenario.name}"`, async () => {
      const { digest } = await digestOf(scenario);
      assert.equal(digest, expected[scenario.name]);
    });
});
