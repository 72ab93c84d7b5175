import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { writeShare, type WriteDemand } from './write-share.js';

const LIMIT = 30;
const FOLLOWERS = 0.3;
const part = (isLeader: boolean, writesPerSecond: number): WriteDemand => ({
  isLeader,
  writesPerSecond,
});

describe('shares of the puts', () => {
  it('are fixed by role where nothing is heard', () => {
    const silent = [null, null, null, null];
    assert.ok(Math.abs(writeShare(part(true, 50), silent, FOLLOWERS, LIMIT) - 0.7) < 1e-9);
    assert.ok(Math.abs(writeShare(part(false, 50), silent, FOLLOWERS, LIMIT) - 0.075) < 1e-9);
    assert.equal(writeShare(part(true, 0), [], FOLLOWERS, LIMIT), 1);
  });

  it('follow what is wanted, and together never exceed the limit', () => {
    const idle = part(false, 0);
    const share = writeShare(part(false, 20), [part(true, 5), idle, idle, idle], FOLLOWERS, LIMIT);
    assert.ok(share > 0.6, `a node with all the submissions may use ${share}`);
    fc.assert(
      fc.property(
        fc.array(fc.double({ min: 0, max: 100, noNaN: true }), { minLength: 1, maxLength: 7 }),
        fc.nat(6),
        fc.array(fc.boolean(), { minLength: 7, maxLength: 7 }),
        (wants, leader, deaf) => {
          const parts = wants.map((w, i) => part(i === leader % wants.length, w));
          // Each hears all others, or none.
          const sum = parts.reduce((total, own, i) => {
            const heard = parts.filter((_, j) => j !== i).map((p) => (deaf[0] === true ? null : p));
            return total + writeShare(own, heard, FOLLOWERS, LIMIT);
          }, 0);
          assert.ok(sum <= 1 + 1e-9, `${sum}`);
        },
      ),
      { seed: 9 },
    );
  });
});
