import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { arraySpec } from '../../../test/fakes.js';
import { plainType, settings } from '../../../test/fleet-fixture.js';
import { Machine } from '../model/entities.js';
import { Headroom } from './headroom.js';

describe('Headroom', () => {
  const spec = arraySpec({ cpus: 4 });

  function freeMachine(): Machine {
    const machine = new Machine('n-1', 0, settings);
    machine.type = plainType;
    machine.zone = 'a';
    return machine;
  }

  it('demands capacity for expected tasks that do not fit, until the class is forgotten', () => {
    const headroom = new Headroom({ ratio: 0.5, retentionMs: 1000 });
    headroom.observeClass(spec, 0);
    const runningByClass = new Map([['c', 10]]);
    assert.deepEqual(
      headroom.demand(1000, [freeMachine()], runningByClass).map((demand) => demand.tasks),
      [3],
    );
    assert.deepEqual(headroom.demand(1001, [freeMachine()], runningByClass), []);
    assert.deepEqual(headroom.demand(1000, [], runningByClass), []);
  });

  it('demands nothing when the expected tasks fit on the machines', () => {
    const headroom = new Headroom({ ratio: 0.5, retentionMs: 1000 });
    headroom.observeClass(spec, 0);
    assert.deepEqual(headroom.demand(0, [freeMachine()], new Map()), []);
  });
});
