import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { writeShare, type WriteDemand } from './write-share.js';

const LIMIT = 30;
const FOLLOWERS_SHARE = 0.3;

function demand(isLeader: boolean, writesPerSecond: number): WriteDemand {
  return { isLeader, writesPerSecond };
}

function shareOf(own: WriteDemand, peers: (WriteDemand | null)[]): number {
  return writeShare(own, peers, FOLLOWERS_SHARE, LIMIT);
}

describe('writeShare', () => {
  it('is fixed by the role if the demand of no peer is known', () => {
    const unknownDemands = [null, null, null, null];
    assert.ok(Math.abs(shareOf(demand(true, 50), unknownDemands) - 0.7) < 1e-9);
    assert.ok(Math.abs(shareOf(demand(false, 50), unknownDemands) - 0.075) < 1e-9);
    assert.equal(shareOf(demand(true, 0), []), 1);
  });

  it('gives a follower with most of the known demand more than its fixed share', () => {
    const idle = demand(false, 0);
    const share = shareOf(demand(false, 20), [demand(true, 5), idle, idle, idle]);
    assert.ok(share > 0.6, `the follower with most of the demand may use ${share}`);
  });

  it('gives shares that add up to at most 1, whether all demands are known or none', () => {
    const rates = fc.array(fc.double({ min: 0, max: 100, noNaN: true }), {
      minLength: 1,
      maxLength: 7,
    });
    fc.assert(
      fc.property(rates, fc.nat(6), fc.boolean(), (writeRates, leaderIndex, demandsUnknown) => {
        const demands = writeRates.map((rate, i) =>
          demand(i === leaderIndex % writeRates.length, rate),
        );
        const sum = demands.reduce((total, own, i) => {
          const peers = demands.filter((_, j) => j !== i);
          return total + shareOf(own, demandsUnknown ? peers.map(() => null) : peers);
        }, 0);
        assert.ok(sum <= 1 + 1e-9, `${sum}`);
      }),
      { seed: 9 },
    );
  });
});
