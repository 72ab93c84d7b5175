import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  bigMachine,
  candidate,
  capacityIn,
  defaultSettings,
  gpuJob,
  passOver,
} from '../../../../test/placement-fixtures.js';
import type { Job } from '../../model/entities.js';
import type { Candidate } from '../search/candidate-finder.js';
import { GangPlacer, pickForGang } from './gang-placer.js';
import type { PlacementPass } from '../pass/placement-pass.js';

describe('GangPlacer', () => {
  const place = (
    gang: Job,
    allowance: number,
    findCandidates: (pass: PlacementPass) => Candidate[],
  ) => {
    const pass = passOver([bigMachine()]);
    const calls: string[] = [];
    new GangPlacer({
      settings: defaultSettings,
      teamUsage: { allowance: () => allowance },
      estimator: { fetchMs: () => 0 },
      candidateFinder: { find: () => findCandidates(pass) },
      taskStarter: {
        nextAttempt: () => 8,
        start: (_job, _capacity, count, attempt) => calls.push(`${count}@${attempt}`),
      },
      reservations: {
        drop: () => calls.push('drop'),
        reserve: () => calls.push('reserve'),
        find: () => assert.fail(),
      },
    }).place(pass, gang);
    return calls;
  };

  it('starts a gang that fits, reserves machines for one that does not, and blocks one over its team limit', () => {
    const gang = gpuJob({ kind: 'gang', tasks: 3 });
    const candidatesFor = (count: number) => (pass: PlacementPass) => [
      candidate(capacityIn(pass, 'n-1'), count),
    ];
    assert.deepEqual(place(gang, 3, candidatesFor(4)), ['3@8', 'drop']);
    assert.deepEqual(place(gang, 3, candidatesFor(2)), ['reserve']);
    assert.deepEqual(place(gang, 2, candidatesFor(4)), ['drop']);
    assert.equal(gang.blockedReason, "its team's limit is used up");
  });

  it('puts half of a spread gang into each zone, and returns null if one zone has too little capacity', () => {
    const pass = passOver([bigMachine('n-1', 'a'), bigMachine('n-2', 'b')]);
    const candidates = ['n-1', 'n-2'].map((id) => candidate(capacityIn(pass, id), 4));
    const picked = pickForGang(gpuJob({ tasks: 4, spread: true }), candidates, null);
    assert.deepEqual(
      picked?.map(({ count }) => count),
      [2, 2],
    );
    assert.equal(pickForGang(gpuJob({ tasks: 5 }), candidates, 'a'), null);
  });
});
