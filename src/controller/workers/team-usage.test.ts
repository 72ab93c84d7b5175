import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { gpuArraySpec } from '../../../test/placement-fixtures.js';
import { TeamUsage } from './team-usage.js';

describe('TeamUsage', () => {
  const team = { name: 'red', guaranteedCpus: 0, guaranteedGpus: 4, maxCpus: 0, maxGpus: 6 };
  it('counts every task that is not proven gone against the limit of its team', () => {
    const usage = new TeamUsage([team]);
    assert.equal(usage.allowance(gpuArraySpec({ gpus: 2 })), 3);
    usage.add('red', { cpus: 1, gpus: 5, memoryGb: 1 }, 1);
    assert.equal(usage.allowance(gpuArraySpec({ gpus: 2 })), 0);
    assert.equal(usage.allowance(gpuArraySpec({ gpus: 1 })), 1);
    assert.equal(usage.allowance(gpuArraySpec({ team: 'nobody' })), 0);
  });
});
