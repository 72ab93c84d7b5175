import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { standalonePlatform } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import type { Shortage } from '../placement/pass/placement-pass.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { readCatalogue, type ListedMachine, type MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';
import { Machine } from '../workers/machine.js';
import type { BootingMachines } from './booting-machines.js';
import { MachineTypeCatalogue } from './machine-type-catalogue.js';
import { CloudClient, type LaunchResult } from './cloud-client.js';
import { MachineInventory } from './machine-inventory.js';
import { ScaleIn } from './scale-in.js';
import { ScaleOut } from './scale-out.js';
import { UnusedMachines, type WorkloadState } from './unused-machines.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const lagMs = settings.platform.cloudLimits.listLagS * 1000;
const silentMs = settings.workerLeaseExpiryMs * settings.get('fleet.silent.ratio');
const idleMs = settings.workerLeaseMs * settings.get('fleet.idle.ratio');
const plain: MachineType = {
  ...{ name: 'plain', cpus: 8, gpus: 0, memoryGb: 64, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 1, spotPrice: 1, bootS: 10, zones: ['a'] },
};

/** The machines as the workers' slice keeps them, with silence as the test says. */
class Machines {
  readonly machines = new Map<string, Machine>();
  readonly assignedCountByClass = new Map<string, number>();
  readonly term = 7;
  readonly silence = new Map<string, number>();

  add(id: string, now = 0): Machine {
    const machine = new Machine(id, now, settings);
    machine.type = plain;
    machine.typeName = plain.name;
    machine.cloudState = 'running';
    machine.cloudStateAt = now;
    this.machines.set(id, machine);
    return machine;
  }

  isAlive(machine: Machine): boolean {
    return this.unresponsiveMs(machine) === 0;
  }

  unresponsiveMs(machine: Machine): number {
    return this.silence.get(machine.id) ?? 0;
  }

  unacknowledgedMs(): number {
    return 0;
  }

  removeMachine(machine: Machine): void {
    this.machines.delete(machine.id);
  }

  setDescription(machine: Machine, type: string): void {
    machine.typeName = type;
  }
}

function setUp() {
  const runtime = new ManualRuntime();
  const eventLoop = new EventLoop(runtime, silentLogger);
  const workers = new Machines();
  const booting: BootingMachines = new Map();
  return { runtime, eventLoop, workers, booting };
}

describe('cloud client', () => {
  it('reads the list page by page', () => {
    const { runtime, eventLoop } = setUp();
    const page = (id: string, more: boolean) => ({
      kilns: [...[{ id, address: 'x:1', model: 'plain', hall: 'a', loaners: false }]].map(
        (machine) => ({ ...machine, status: 'running', age_s: 1 }),
      ),
      has_next: more,
    });
    const lists: (ListedMachine[] | null)[] = [];
    new CloudClient(eventLoop, settings).listMachines((machines) => lists.push(machines));
    assert.equal(runtime.answer(200, page('n-1', true)).path, '/machines?limit=500');
    assert.equal(runtime.answer(200, page('n-2', false)).path, '/machines?limit=500&from=n-1');
    assert.deepEqual(
      lists.map((list) => list?.map((machine) => machine.id)),
      [['n-1', 'n-2']],
    );
  });

  // A list of several thousand machines needs more calls than there are tokens at once; it failed at
  // the first page without one, and nothing was rented then.
  it('reads a list of any length, within the rate and with calls left for rentals', () => {
    const { runtime, eventLoop } = setUp();
    const cloud = new CloudClient(eventLoop, settings);
    const pages = 24;
    const lists: (ListedMachine[] | null)[] = [];
    cloud.listMachines((machines) => lists.push(machines));
    let asked = 0;
    for (let ms = 0; lists.length === 0 && ms < 60_000; ms += 50) {
      if (runtime.calls.length > 0) {
        asked++;
        const id = `n-${String(asked).padStart(6, '0')}`;
        const machine = { id, address: 'x:1', model: 'plain', hall: 'a', loaners: false };
        runtime.answer(200, {
          kilns: [{ ...machine, status: 'running', age_s: 1 }],
          has_next: asked < pages,
        });
      }
      runtime.advance(50);
    }
    assert.equal(lists[0]?.length, pages);
    const { rps } = settings.platform.cloudLimits;
    assert.ok(cloud.listIntervalMs(pages * 500) >= (pages / rps) * 1000 * 2);
    assert.ok(cloud.listIntervalMs(100) < 1000);
  });

  it('tells rentals that are refused from those that may have been made', () => {
    const { runtime, eventLoop } = setUp();
    const cloud = new CloudClient(eventLoop, settings);
    const results: LaunchResult[] = [];
    const request = { name: 't7-1', kind: { type: plain, zone: 'a', spot: false }, count: 1 };
    for (const [status, body] of [
      [0],
      [409],
      [200, 'broken'],
      [200, { kilns: ['n-1'] }],
    ] as const) {
      cloud.launch(request, (result) => results.push(result));
      runtime.answer(status, body);
    }
    assert.deepEqual(results, [
      { kind: 'lost' },
      { kind: 'refused' },
      { kind: 'refused' },
      { kind: 'rented', machineIds: ['n-1'] },
    ]);
  });

  it('pauses when the cloud has said that there are too many calls', () => {
    const { runtime, eventLoop } = setUp();
    const cloud = new CloudClient(eventLoop, settings);
    cloud.release(['n-1'], () => undefined);
    runtime.answer(429);
    assert.ok(!cloud.acquireReleaseToken());
    runtime.advance(1000);
    assert.ok(cloud.acquireReleaseToken());
  });
});

describe('machine releases', () => {
  it('are repeated until the cloud confirms, and remembered for a while', () => {
    const { runtime, eventLoop, workers } = setUp();
    const machine = workers.add('n-1');
    const cloud = new CloudClient(eventLoop, settings);
    const scaleIn = new ScaleIn(eventLoop, settings, { workers, cloud, holdsLease: () => true });
    scaleIn.release(['n-1'], 'test');
    assert.ok(machine.releasing);
    runtime.answer(500);
    assert.equal(workers.machines.size, 1);
    runtime.advance(1000);
    runtime.answer(200);
    assert.equal(workers.machines.size, 0);
    runtime.advance(lagMs);
    assert.ok(scaleIn.isReleasing('n-1'));
    runtime.advance(lagMs * 3 + 5000);
    assert.ok(!scaleIn.isReleasing('n-1'));
  });

  it('go out in batches of a hundred, and only from an acting leader', () => {
    const { runtime, eventLoop, workers } = setUp();
    let holdsLease = false;
    const cloud = new CloudClient(eventLoop, settings);
    const scaleIn = new ScaleIn(eventLoop, settings, {
      workers,
      cloud,
      holdsLease: () => holdsLease,
    });
    scaleIn.release(
      Array.from({ length: 150 }, (_, index) => `n-${index}`),
      'test',
    );
    assert.equal(runtime.calls.length, 0);
    holdsLease = true;
    runtime.advance(1000);
    assert.deepEqual(
      runtime.calls.map(({ call }) => (call.body as { kilns: string[] }).kilns.length),
      [100, 50],
    );
  });
});

describe('machine list', () => {
  function read(entries: Partial<ListedMachine>[], known: string[], releasing: string[] = []) {
    const { runtime, eventLoop, workers, booting } = setUp();
    for (const id of known) workers.add(id);
    const released: string[] = [];
    const listed = entries.map((entry): ListedMachine => ({
      ...{ id: 'n-1', addr: 'x:1', type: 'plain', zone: 'a', spot: false, ageS: 2 },
      ...{ state: 'running', ...entry },
    }));
    const list = new MachineInventory(eventLoop, settings, {
      ...{ workers, booting, types: () => [plain], holdsLease: () => true },
      cloud: { listMachines: (done) => done(listed), listIntervalMs: () => 0 },
      scaleIn: {
        isReleasing: (id) => releasing.includes(id),
        release: (ids) => void released.push(...ids),
      },
    });
    list.step(0);
    return { runtime, list, workers, booting, released };
  }

  it('updates the known, returns the failed and expects the others to come up', () => {
    const { list, workers, booting, released } = read(
      [{ id: 'n-1' }, { id: 'n-2', state: 'failed' }, { id: 'n-3' }, { id: 'n-4' }],
      ['n-1'],
      ['n-4'],
    );
    assert.ok(list.synced);
    assert.equal(workers.machines.get('n-1')?.addr, 'x:1');
    assert.deepEqual(released, ['n-2']);
    assert.deepEqual(
      [...booting],
      [
        [
          'n-3',
          {
            ...{ type: plain, zone: 'a', spot: false },
            listedAsRunning: true,
            requestedAt: -2000,
            knownSince: 0,
          },
        ],
      ],
    );
  });

  it('takes a machine for absent only when it has long not been listed', () => {
    const { runtime, list, workers } = read([], ['n-1']);
    const machine = workers.machines.get('n-1');
    assert.equal(machine?.cloudState, 'running');
    runtime.advance(lagMs * 4 + settings.heartbeatIntervalMs + 1);
    list.step(runtime.now());
    assert.equal(machine.cloudState, 'absent');
  });
});

describe('unused machines', () => {
  const quiet: WorkloadState = { noWork: false, scaleOutRefused: false, arrivalsStopped: false };

  function search() {
    const { eventLoop, workers, booting } = setUp();
    const shortages: Shortage[] = [];
    const unused = new UnusedMachines(eventLoop, settings, {
      ...{ workers, booting, placement: { shortages } },
      scaleIn: { isReleasing: () => false },
    });
    return { workers, booting, unused };
  }

  it('are those that failed, never came up or are silent', () => {
    const { workers, booting, unused } = search();
    workers.add('failed').cloudState = 'failed';
    workers.add('silent');
    workers.silence.set('silent', silentMs + 1);
    workers.add('up');
    const listed = { type: plain, zone: 'a', spot: false, requestedAt: -Infinity };
    booting.set('late', { ...listed, knownSince: 0, listedAsRunning: false });
    assert.deepEqual(unused.find(0, quiet), ['late', 'failed', 'silent']);
    assert.equal(booting.size, 0);
  });

  // A new leader reads the list before machines have found it: those without a record were released.
  it('are not those that run by the list and have not found this leader yet', () => {
    const { booting, unused } = search();
    const listed = {
      type: plain,
      zone: 'a',
      spot: false,
      requestedAt: -Infinity,
      listedAsRunning: true,
    };
    booting.set('cut off', { ...listed, knownSince: 0 });
    assert.deepEqual(unused.find(silentMs, quiet), []);
    assert.deepEqual(unused.find(silentMs + 1, quiet), ['cut off']);
  });

  it('are forgotten when the cloud no longer lists them', () => {
    const { workers, unused } = search();
    workers.add('gone').cloudState = 'absent';
    workers.silence.set('gone', silentMs + 1);
    assert.deepEqual(unused.find(silentMs * 2, quiet), []);
    assert.equal(workers.machines.size, 1);
    assert.deepEqual(unused.find(silentMs * 2 + 1, quiet), []);
    assert.equal(workers.machines.size, 0);
  });

  it('leave one idle machine of a kind, except where there is no work', () => {
    const { workers, unused } = search();
    for (const id of ['n-1', 'n-2', 'n-3']) workers.add(id);
    assert.deepEqual(unused.find(idleMs, quiet), []);
    assert.deepEqual(unused.find(idleMs + 1, quiet), ['n-1', 'n-2']);
    const rest = unused.find(idleMs + 1, { ...quiet, noWork: true });
    assert.ok(rest.includes('n-3'));
  });

  // Kept for jobs that don't come, they would cost as much as those that work.
  it('are idle for no longer than a boot takes once no jobs arrive any more', () => {
    const { workers, unused } = search();
    for (const id of ['n-1', 'n-2', 'n-3']) workers.add(id);
    const bootMs = plain.bootS * 1000;
    const stopped = { ...quiet, arrivalsStopped: true };
    assert.deepEqual(unused.find(bootMs, stopped), []);
    assert.deepEqual(unused.find(bootMs + 1, quiet), []);
    assert.deepEqual(unused.find(bootMs + 1, stopped), ['n-1', 'n-2']);
  });
});

describe('renting', () => {
  it('repeats a lost request under its name and pauses after a refusal', () => {
    const { runtime, eventLoop, workers, booting } = setUp();
    const cloud = new CloudClient(eventLoop, settings);
    const renting = new ScaleOut(eventLoop, settings, {
      ...{ workers, cloud, booting, holdsLease: () => true },
      placement: { shortages: [] },
    });
    const spec: JobSpec = {
      ...{ id: 'req-1', class: 'c', team: 't', kind: 'array', priority: 'normal', tasks: 2 },
      ...{ cpus: 4, gpus: 0, memoryGb: 1, image: 'i', imageGb: 1, types: null, zone: null },
      ...{
        singleZone: false,
        spread: false,
        spot: false,
        estimatedRunS: 10,
        checkpointIntervalS: 0,
        checkpointSaveS: 0,
      },
      deadlineS: null,
    };
    renting.observeJob(spec, 0);
    renting.step(0, [plain], true);
    assert.ok(renting.hasOpenRequests);
    const first = runtime.answer(0);
    const second = runtime.answer(200, { kilns: [] });
    assert.deepEqual(second.body, first.body);
    assert.equal((first.body as { hire: string }).hire, 't7-1');
    assert.ok(!renting.hasOpenRequests);
    assert.ok(renting.capacityRefused(0));
    renting.step(0, [plain], true);
    assert.equal(runtime.calls.length, 0);
  });
});

describe('catalogue', () => {
  const body = { models: [{ name: 'plain', cores: 8, mem_gb: 64, halls: ['a'] }] };

  function load() {
    const { runtime, eventLoop } = setUp();
    const client = {
      requestTokens: { forceTake: () => undefined },
      read: (_key: string, _timeoutMs: number, done: (got: unknown) => void) =>
        done({ kind: 'ok', value: null }),
    };
    const catalogue = new MachineTypeCatalogue(
      eventLoop,
      settings,
      client as unknown as StateStoreClient,
      () => null,
    );
    catalogue.load();
    return { runtime, catalogue };
  }

  it('asks the cloud until it answers, and again when the types are old', () => {
    const { runtime, catalogue } = load();
    runtime.answer(503);
    assert.equal(catalogue.types, null);
    runtime.advance(1000);
    assert.equal(runtime.answer(200, body).path, '/catalog');
    assert.deepEqual(catalogue.types, readCatalogue(body));
    catalogue.refreshIfDue();
    assert.equal(runtime.calls.length, 0);
    runtime.advance(settings.workerLeaseMs * 3 + 1);
    catalogue.refreshIfDue();
    catalogue.refreshIfDue();
    assert.equal(runtime.calls.length, 1);
  });

  it('keeps what it knows when the cloud answers something broken', () => {
    const { runtime, catalogue } = load();
    runtime.answer(200, body);
    runtime.advance(settings.workerLeaseMs * 3 + 1);
    catalogue.refreshIfDue();
    runtime.answer(200, 'broken');
    assert.deepEqual(catalogue.types, readCatalogue(body));
  });
});
