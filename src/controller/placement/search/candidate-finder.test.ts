import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  bigMachine,
  capacityIn,
  defaultSettings,
  gpuJob,
  passOver,
} from '../../../../test/placement-fixtures.js';
import { CandidateFinder, type Candidate } from './candidate-finder.js';
import { DurationEstimator } from '../estimates/duration-estimator.js';
import { resourceRequestOf } from '../../model/resource-request.js';

describe('CandidateFinder', () => {
  const finder = new CandidateFinder(defaultSettings, new DurationEstimator());

  it('puts machines with the image first, and leaves out the others if `warmOnly` is set', () => {
    const warmMachine = bigMachine('n-2');
    warmMachine.recordImageUse('i', 1);
    const pass = passOver([bigMachine(), warmMachine]);
    const ids = (candidates: Candidate[]): string[] =>
      candidates.map(({ capacity }) => capacity.machine.id);
    assert.deepEqual(ids(finder.find(pass, gpuJob())), ['n-2', 'n-1']);
    assert.deepEqual(ids(finder.find(pass, gpuJob(), true)), ['n-2']);
  });

  it('records a request that fits on no machine as a failed search', () => {
    const pass = passOver([bigMachine()]);
    capacityIn(pass, 'n-1').unschedulable = true;
    assert.deepEqual(finder.find(pass, gpuJob()), []);
    assert.ok(
      pass.negativeSearches.hasNoCapacity({
        request: resourceRequestOf(gpuJob().spec),
        kinds: '0',
      }),
    );
  });
});
