import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { immediateRecords } from '../../../test/fake-records.js';
import { acceptedJob, FakeClock, idleRuntime } from '../../../test/fakes.js';
import { ATTEMPT, settings, TERM } from '../../../test/workers-fixture.js';
import { type Assignment, type Machine, planAssignment } from '../model/entities.js';
import { EventLoop } from '../runtime/event-loop.js';
import type { RecordStore } from '../store/record-store.js';
import { FencingTokenSync } from './fencing-token-sync.js';
import { MachineRegistry } from './machine-registry.js';
import { imagesKey, machineKey, MachineStore } from './machine-store.js';

const NOW = 1000;

/** A store and its registry; records the events of the store in order. */
class Fixture {
  readonly events: string[] = [];
  readonly registry: MachineRegistry;
  readonly store: MachineStore;

  constructor(readonly records: RecordStore) {
    const clock = new FakeClock(NOW);
    const eventLoop = new EventLoop(idleRuntime(clock), clock.log);
    const fencingTokens = new FencingTokenSync(eventLoop, TERM);
    this.registry = new MachineRegistry(eventLoop, settings, fencingTokens, () => undefined);
    this.store = new MachineStore(eventLoop, settings, records, this.registry, {
      taskRestored: ({ id }, { jobId, task, attempt }, assignedAt) =>
        this.events.push(`restored ${id} ${jobId}/${task}@${attempt} at ${assignedAt}`),
      assignmentsRecorded: ({ id }) => this.events.push(`recorded ${id}`),
    });
  }

  /** Adds to the machine an assignment that is not recorded yet. */
  planAssignment(machine: Machine): Assignment {
    const assignment = planAssignment(acceptedJob(), 0, ATTEMPT, machine, NOW);
    machine.assignments.set(assignment.name, assignment);
    return assignment;
  }
}

describe('MachineStore', () => {
  it('restores machines, assignments and images that another leader has written', () => {
    const records = immediateRecords();
    const writer = new Fixture(records);
    const machine = writer.registry.getOrCreate('n-1');
    writer.registry.setDescription(machine, {
      type: 'g',
      zone: 'a',
      spot: true,
      addr: '10.1.0.1:9',
    });
    machine.agentEpoch = 3;
    machine.images.set('i', 2.5);
    const assignment = writer.planAssignment(machine);
    writer.store.markChanged(machine);
    writer.store.markImagesChanged(machine);
    writer.store.flush();
    assert.equal(assignment.phase, 'recorded');
    assert.deepEqual(writer.events, ['recorded n-1']);

    const reader = new Fixture(records);
    reader.store.restore();
    const restored = reader.registry.getOrCreate('n-1');
    assert.deepEqual([restored.agentEpoch, restored.typeName, restored.zone], [3, 'g', 'a']);
    assert.deepEqual([restored.spot, restored.addr], [true, '10.1.0.1:9']);
    assert.deepEqual([...restored.images], [['i', 2.5]]);
    assert.deepEqual(reader.events, [`restored n-1 req-1/0@${ATTEMPT} at ${NOW}`]);
  });

  it('writes a changed machine once, and creates no record for a machine without tasks', () => {
    const fixture = new Fixture(immediateRecords());
    const machine = fixture.registry.getOrCreate('n-1');
    fixture.store.markChanged(machine);
    fixture.store.flush();
    assert.ok(!fixture.records.has(machineKey('n-1')));
    fixture.planAssignment(machine);
    fixture.store.markChanged(machine);
    fixture.store.flush();
    fixture.store.flush();
    assert.deepEqual(fixture.events, ['recorded n-1']);
  });

  it('removes both records of a machine that is gone', () => {
    const keys = [machineKey('n-1'), imagesKey('n-1')];
    const fixture = new Fixture(immediateRecords(Object.fromEntries(keys.map((key) => [key, []]))));
    const machine = fixture.registry.getOrCreate('n-1');
    fixture.store.markImagesChanged(machine);
    fixture.store.remove(machine);
    fixture.store.flush();
    for (const key of keys) assert.ok(!fixture.records.has(key), key);
  });

  it('ignores a stored value that is not a machine record', () => {
    const fixture = new Fixture(immediateRecords({ [machineKey('n-1')]: 'text' }));
    fixture.store.restore();
    assert.equal(fixture.registry.machines.size, 0);
  });
});
