import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  bigMachine,
  gpuJob,
  passOver,
  runningAssignment,
} from '../../../../test/placement-fixtures.js';
import { tasksByZone, zoneAllowance, zoneChoices } from './zones.js';

describe('zone rules of a job', () => {
  it('count no tasks whose assignments have ended', () => {
    const job = gpuJob();
    runningAssignment(job, bigMachine('n-1', 'a'));
    runningAssignment(job, bigMachine('n-2', 'b')).phase = 'ended';
    assert.deepEqual([...tasksByZone(job)], [['a', 1]]);
  });

  it('limit a single-zone job to its zone, and a spread job to half of its tasks per zone', () => {
    const counts = new Map([['a', 1]]);
    const { spec } = gpuJob({ tasks: 5 });
    assert.equal(zoneAllowance(spec, 'b', counts), Infinity);
    assert.equal(zoneAllowance({ ...spec, singleZone: true }, 'b', counts), 0);
    assert.equal(zoneAllowance({ ...spec, singleZone: true }, 'a', counts), Infinity);
    assert.equal(zoneAllowance({ ...spec, spread: true }, 'a', counts), 2);
  });

  it('let the zones be searched one by one only for a single-zone job', () => {
    const { cluster } = passOver([bigMachine('n-1', 'a'), bigMachine('n-2', 'b')]);
    assert.deepEqual(zoneChoices(cluster, gpuJob().spec), [null]);
    assert.deepEqual(zoneChoices(cluster, gpuJob({ singleZone: true }).spec), ['a', 'b']);
  });
});
