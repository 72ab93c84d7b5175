import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { bigMachine, capacityOf, gpuJob } from '../../../../test/placement-fixtures.js';
import { machinePenalty } from './machine-penalty.js';

describe('machinePenalty', () => {
  it('is lower for tight fits and for machines on which the job has not failed', () => {
    const capacity = capacityOf();
    const job = gpuJob({ gpus: 1, spot: false });
    const tight = machinePenalty(gpuJob({ gpus: 4, spot: false }), capacity);
    assert.equal(tight, 0);
    assert.equal(machinePenalty(job, capacity), 7.5);
    job.failedMachines.add('n-1');
    assert.equal(machinePenalty(job, capacity), 67.5);
    assert.equal(machinePenalty(gpuJob({ gpus: 0, cpus: 16, spot: false }), capacity), 30);
  });

  it('is higher for a service than for an array on a spot machine', () => {
    const spot = bigMachine();
    spot.spot = true;
    const capacity = capacityOf(spot);
    assert.equal(machinePenalty(gpuJob({ gpus: 4 }), capacity), 0);
    assert.equal(machinePenalty(gpuJob({ gpus: 4, kind: 'service' }), capacity), 15);
  });
});
