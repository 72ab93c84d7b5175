import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { acceptedJob, FakeClock, idleRuntime } from '../../../test/fakes.js';
import { immediateRecords } from '../../../test/fake-records.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { RecordStore } from '../store/record-store.js';
import { planAssignment, type Assignment, type Machine } from '../model/entities.js';
import { imagesKey, machineKey, MachineStore } from './machine-store.js';
import { MachineRegistry } from './machine-registry.js';
import { FencingTokenSync } from './fencing-token-sync.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const NOW = 1000;

/** A store that writes down what it tells of. */
class Bench {
  readonly told: string[] = [];
  readonly registry: MachineRegistry;
  readonly store: MachineStore;

  constructor(readonly records: RecordStore) {
    const clock = new FakeClock(NOW);
    const eventLoop = new EventLoop(idleRuntime(clock), clock.log);
    const fencingTokens = new FencingTokenSync(eventLoop, 1);
    this.registry = new MachineRegistry(eventLoop, settings, fencingTokens, () => undefined);
    this.store = new MachineStore(eventLoop, settings, records, this.registry, {
      taskRestored: ({ id }, { jobId, task, attempt }, since) =>
        this.told.push(`${id} ${jobId}/${task}@${attempt} since ${since}`),
      assignmentsRecorded: ({ id }) => this.told.push(`recorded ${id}`),
    });
  }

  plan(machine: Machine): Assignment {
    const assignment = planAssignment(acceptedJob(), 0, 9, machine, NOW);
    machine.assignments.set(assignment.name, assignment);
    return assignment;
  }
}

describe('the store of machines', () => {
  it('reads back what it has written', () => {
    const records = immediateRecords();
    const writer = new Bench(records);
    const machine = writer.registry.getOrCreate('n-1');
    writer.registry.setDescription(machine, {
      type: 'g',
      zone: 'a',
      spot: true,
      addr: '10.1.0.1:9',
    });
    machine.agentEpoch = 3;
    machine.images.set('i', 2.5);
    const assignment = writer.plan(machine);
    writer.store.markChanged(machine);
    writer.store.markImagesChanged(machine);
    writer.store.flush();
    assert.equal(assignment.phase, 'recorded');
    assert.deepEqual(writer.told, ['recorded n-1']);

    const reader = new Bench(records);
    reader.store.restore();
    const known = reader.registry.getOrCreate('n-1');
    assert.deepEqual([known.agentEpoch, known.typeName, known.zone], [3, 'g', 'a']);
    assert.deepEqual([known.spot, known.addr], [true, '10.1.0.1:9']);
    assert.deepEqual([...known.images], [['i', 2.5]]);
    assert.deepEqual(reader.told, [`n-1 req-1/0@9 since ${NOW}`]);
  });

  it('writes once what has changed, and no empty record that is not there', () => {
    const bench = new Bench(immediateRecords());
    const machine = bench.registry.getOrCreate('n-1');
    bench.store.markChanged(machine);
    bench.store.flush();
    assert.ok(!bench.records.has(machineKey('n-1')));
    bench.plan(machine);
    bench.store.markChanged(machine);
    bench.store.flush();
    bench.store.flush();
    assert.deepEqual(bench.told, ['recorded n-1']);
  });

  it('removes the records of a machine that is gone', () => {
    const keys = [machineKey('n-1'), imagesKey('n-1')];
    const bench = new Bench(immediateRecords(Object.fromEntries(keys.map((key) => [key, []]))));
    const machine = bench.registry.getOrCreate('n-1');
    bench.store.markImagesChanged(machine);
    bench.store.remove(machine);
    bench.store.flush();
    for (const key of keys) assert.ok(!bench.records.has(key), key);
  });

  it('skips what is no record of a machine', () => {
    const bench = new Bench(immediateRecords({ [machineKey('n-1')]: 'text' }));
    bench.store.restore();
    assert.equal(bench.registry.machines.size, 0);
  });
});
