import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  bigMachine,
  candidate,
  capacityIn,
  gpuJob,
  passOver,
  runningAssignment,
} from '../../../../test/placement-fixtures.js';
import { spreadReplicas } from './replica-spread.js';

describe('spreadReplicas', () => {
  it('yields a machine without a replica before one that has some', () => {
    const service = gpuJob({ kind: 'service', tasks: 4 });
    const pass = passOver([bigMachine(), bigMachine('n-2')]);
    runningAssignment(service, capacityIn(pass, 'n-1').machine);
    const candidates = ['n-1', 'n-2'].map((id) => candidate(capacityIn(pass, id), 2));
    const order: string[] = [];
    for (const { capacity } of spreadReplicas(service, candidates)) {
      order.push(capacity.machine.id);
      // Simulates the start of a replica, which changes the order of the machines yielded next.
      service.pending.pop();
    }
    assert.deepEqual(order, ['n-2', 'n-1', 'n-2', 'n-1']);
  });
});
