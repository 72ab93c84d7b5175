import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  bigMachine,
  capacityIn,
  defaultSettings,
  gpuJob,
  passOver,
  runningAssignment,
} from '../../../../test/placement-fixtures.js';
import { silentLogger } from '../../../../test/manual-runtime.js';
import { GangReservations, reservationKey } from './gang-reservations.js';

describe('GangReservations', () => {
  const writtenRecords = new Map<string, unknown>();
  let searches = 0;
  const reservations = new GangReservations({
    eventLoop: { log: silentLogger, now: () => 5 },
    settings: defaultSettings,
    records: {
      *list() {
        yield { key: reservationKey('req-1'), value: ['n-1'] };
        yield { key: reservationKey('req-gone'), value: ['n-1'] };
      },
      set: (key, value) => writtenRecords.set(key, value),
    },
    estimator: { fetchMs: () => 100 },
    reservationCandidateFinder: {
      find: ({ capacities }) => {
        searches++;
        return capacities.map((capacity) => ({
          capacity,
          fillAt: 50,
          victims: [],
          lostWorkMs: 0,
          hasStopping: false,
        }));
      },
    },
    preemptor: { preemptAll: () => true },
  });

  it('restores reservations after a failover, and deletes those of unknown jobs', () => {
    const gang = gpuJob({ kind: 'gang' });
    reservations.load({ jobs: new Map([['req-1', gang]]) });
    assert.deepEqual(gang.reservation?.machines, ['n-1']);
    assert.deepEqual([...writtenRecords], [['h/req-gone', undefined]]);
  });

  it('claims capacity, reuses a recent reservation without another search, and drops it', () => {
    const gang = gpuJob({ kind: 'gang', tasks: 2 });
    const pass = passOver([bigMachine(), bigMachine('n-2')]);
    reservations.reserve(pass, gang);
    assert.deepEqual(writtenRecords.get('h/req-1'), ['n-1', 'n-2']);
    assert.equal(capacityIn(pass, 'n-2').claims[0]?.fillAt, 50);
    assert.equal(reservations.find(pass, gang).readyAt, 150);
    assert.equal(searches, 1);
    reservations.drop(gang);
    assert.deepEqual([gang.reservation, writtenRecords.get('h/req-1')], [null, undefined]);
  });
});

describe('preemption for a reservation', () => {
  const { heartbeatIntervalMs } = defaultSettings;
  const SAVE_S = 20;

  /** Returns how many tasks are preempted if the reservation is expected to be filled in `fillMs`. */
  function preemptedFor(fillMs: number): number {
    let preempted = 0;
    const victim = { ...runningAssignment(gpuJob(), bigMachine()), checkpointSaveS: SAVE_S };
    const reservations = new GangReservations({
      eventLoop: { log: silentLogger, now: () => 0 },
      settings: defaultSettings,
      records: { list: () => [][Symbol.iterator](), set: () => undefined },
      estimator: { fetchMs: () => 0 },
      reservationCandidateFinder: {
        find: ({ capacities }) =>
          capacities.map((capacity) => ({
            ...{ capacity, fillAt: fillMs, victims: [victim], lostWorkMs: 0, hasStopping: false },
          })),
      },
      preemptor: {
        preemptAll: (victims) => {
          preempted += victims.length;
          return true;
        },
      },
    });
    reservations.reserve(passOver([bigMachine()]), gpuJob({ kind: 'gang', tasks: 1 }));
    return preempted;
  }

  // With heartbeats every second, a checkpoint save takes many heartbeat intervals. Gangs then waited for
  // capacity without preempting the tasks that occupied it.
  it('is not delayed by the time that the victims need to save their checkpoints', () => {
    assert.ok(SAVE_S * 1000 > 3 * heartbeatIntervalMs);
    assert.equal(preemptedFor(heartbeatIntervalMs + SAVE_S * 1000), 1);
  });

  it('is delayed while other tasks keep the gang from starting soon', () => {
    assert.equal(preemptedFor(heartbeatIntervalMs + 2 * SAVE_S * 1000), 0);
  });
});
