import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { bigMachineType, gpuArraySpec } from '../../../../test/placement-fixtures.js';
import type { JobSpec } from '../../wire/jobs.js';
import {
  claimBinds,
  countClaimedSlots,
  dominantShare,
  type CapacityClaim,
  type ClaimQuery,
} from './capacity-claim.js';

const taskRequest = { cpus: 4, gpus: 1, memoryGb: 4 };
const largeGang: JobSpec = gpuArraySpec({ kind: 'gang', class: 'large', gpus: 4, cpus: 16 });
const query: ClaimQuery = {
  ...{ spec: gpuArraySpec(), level: 1, endsAt: Infinity, backfillRatio: 0.5, now: 1000 },
};

describe('a claim for a waiting job', () => {
  const claim: CapacityClaim = { ...taskRequest, fillAt: 3000, headroom: null };
  const cases = [
    {
      condition: 'that ends within the backfill ratio',
      endsAt: 2000,
      binds: false,
    },
    { condition: 'that ends 1 ms beyond the backfill ratio', endsAt: 2001, binds: true },
    { condition: 'that never ends', endsAt: Infinity, binds: true },
  ];
  for (const { condition, endsAt, binds } of cases)
    it(`${binds ? 'binds' : 'does not bind'} a task ${condition}`, () => {
      assert.equal(claimBinds(claim, { ...query, endsAt }, bigMachineType), binds);
    });
});

describe('a claim of headroom for a class of large gangs', () => {
  const headroom = { spec: largeGang, level: 1, minSizeRatio: 1.5 };
  const claim: CapacityClaim = { ...taskRequest, fillAt: 3000, headroom };
  const cases: {
    condition: string;
    specOverrides: Partial<JobSpec>;
    level?: number;
    binds: boolean;
  }[] = [
    { condition: 'a smaller task', specOverrides: {}, binds: true },
    { condition: 'a task of higher priority', specOverrides: {}, level: 2, binds: false },
    { condition: 'a gang', specOverrides: { kind: 'gang' }, binds: false },
    { condition: 'a task of the same class', specOverrides: { class: 'large' }, binds: false },
    { condition: 'a task of nearly the same size', specOverrides: { gpus: 3 }, binds: false },
  ];
  for (const { condition, specOverrides, level = 1, binds } of cases)
    it(`${binds ? 'binds' : 'does not bind'} ${condition}`, () => {
      const spec = gpuArraySpec(specOverrides);
      assert.equal(claimBinds(claim, { ...query, spec, level }, bigMachineType), binds);
    });
});

describe('dominantShare', () => {
  it('is the largest fraction of any resource of the machine that a task takes', () => {
    assert.equal(dominantShare({ cpus: 4, gpus: 1, memoryGb: 48 }, bigMachineType), 0.75);
    assert.equal(dominantShare({ cpus: 4, gpus: 2, memoryGb: 4 }, bigMachineType), 0.5);
  });

  it('is 1 if the machine type is unknown', () => {
    assert.equal(dominantShare(taskRequest, null), 1);
  });
});

describe('countClaimedSlots', () => {
  it('counts partly claimed slots as claimed, and returns the count of the most claimed resource', () => {
    const claim = (cpus: number, gpus: number): CapacityClaim => ({
      ...{ cpus, gpus, memoryGb: 0, fillAt: 0, headroom: null },
    });
    assert.equal(countClaimedSlots([], taskRequest), 0);
    assert.equal(countClaimedSlots([claim(1, 1)], taskRequest), 1);
    assert.equal(countClaimedSlots([claim(5, 0), claim(4, 2)], taskRequest), 3);
  });
});
