import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { arraySpec } from '../../../test/fakes.js';
import { standalonePlatform } from '../../../test/platform.js';
import { Job, Machine } from '../model/entities.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { clusterView, type ClusterViewSource } from './cluster-view.js';

const MACHINE_COUNT = 4500;
const JOB_COUNT = 400;
/** Largest response to a user, in bytes of its JSON form (PROTOCOL). */
const MAX_RESPONSE_BYTES = 64 * 1024;

interface View {
  machines: { id: string }[];
  machine_count: number;
  holds: { machine_count: number }[];
  cut: string[];
}

describe('clusterView', () => {
  const settings = new Settings(standalonePlatform(), defaultProperties());
  const machineIds = Array.from(
    { length: MACHINE_COUNT },
    (_, index) => `n-${String(index).padStart(6, '0')}`,
  );

  function source(after: string): ClusterViewSource {
    const machines = new Map(machineIds.map((id) => [id, new Machine(id, 0, settings)]));
    const jobs = new Map<string, Job>();
    for (let index = 0; index < JOB_COUNT; index++) {
      const id = `req-${index}`;
      const isGang = index % 2 === 0;
      const job = new Job(arraySpec({ id, kind: isGang ? 'gang' : 'service' }), 0, 1, 0);
      if (isGang)
        job.reservation = {
          ...{ machines: machineIds.slice(0, 30), reservedAt: 0, searchedAt: 0 },
          ...{ fillAt: Infinity, readyAt: Infinity },
        };
      jobs.set(id, job);
    }
    return {
      ...{ settings, after, term: 1, mayActAsLeader: true, now: 0, types: [] },
      table: { jobs },
      workers: {
        ...{ machines, assignedCount: 0, isAlive: () => true },
        teams: { state: () => [] },
      },
      placement: { shortages: [...jobs.values()].map((job) => ({ job, tasks: 1 })) },
      fleet: { bootingCount: 0 },
    };
  }

  const view = (after = ''): View => clusterView(source(after)) as View;

  // Guards against lists that are truncated without notice: a response once contained only the first 200
  // machines and did not show that there were more.
  it('stays within the response size limit and names the truncated lists', () => {
    const firstView = view();
    assert.ok(JSON.stringify(firstView).length < MAX_RESPONSE_BYTES);
    assert.equal(firstView.machine_count, MACHINE_COUNT);
    assert.equal(firstView.holds[0]?.machine_count, 30);
    assert.deepEqual(firstView.cut, ['machines', 'holds', 'services', 'lacking']);
  });

  it('lists all machines over several responses when `after` is the last listed id', () => {
    const listedIds: string[] = [];
    for (let hasMore = true; hasMore;) {
      const { machines, cut } = view(listedIds.at(-1) ?? '');
      listedIds.push(...machines.map(({ id }) => id));
      hasMore = cut.includes('machines');
    }
    assert.deepEqual(listedIds, machineIds);
  });
});
