import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { bigMachine } from '../../../../test/placement-fixtures.js';
import type { Machine } from '../../model/entities.js';
import { isSchedulable } from './schedulable-machines.js';

describe('isSchedulable', () => {
  const responsiveWorkers = { isAlive: () => true };

  it('accepts a machine whose worker is responsive and has acknowledged the fencing token', () => {
    assert.ok(isSchedulable(bigMachine(), 0, responsiveWorkers));
  });

  it('excludes a machine whose worker is unresponsive', () => {
    assert.ok(!isSchedulable(bigMachine(), 0, { isAlive: () => false }));
  });

  const unschedulableStates: Partial<Machine>[] = [
    { type: null },
    { tokenAcknowledged: false },
    { releasing: true },
    { interruptionAt: 5 },
    { unschedulableUntil: 1 },
    { cloudState: 'failed' },
  ];
  for (const state of unschedulableStates)
    it(`excludes a machine with ${JSON.stringify(state)}`, () => {
      assert.ok(!isSchedulable(Object.assign(bigMachine(), state), 0, responsiveWorkers));
    });
});
