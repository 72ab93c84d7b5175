import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { stateLimits, UnreliableStateStore } from '../../../test/unreliable-state-store.js';
import { seededRandom } from '../runtime/random.js';
import type { StateLimits } from '../settings/platform.js';
import { PAGE_PREFIX } from './page-codec.js';
import type { RecordStore } from './record-store.js';

/** Returns the records under `k/` that a new leader has loaded. */
function recordsOf(records: RecordStore): Map<string, unknown> {
  return new Map([...records.list('k/')].map(({ key, value }) => [key, value]));
}

/** Values that were set for a key so far, and the index of the last one that was reported as stored. */
interface History {
  values: unknown[];
  storedIndex: number;
}

/** Sets random values of random keys in an unreliable store, and elects new leaders in between. */
class HistoryCheck {
  callbacks = 0;
  private readonly store: UnreliableStateStore;
  private readonly random: () => number;
  private readonly histories = new Map<string, History>();

  constructor(
    seed: number,
    limits: StateLimits,
    private readonly keyCount: number,
    private readonly maxLength: number,
  ) {
    this.store = new UnreliableStateStore(seed, 0.3, limits);
    this.random = seededRandom(seed);
    for (let i = 0; i < keyCount; i++)
      this.histories.set(`k/${i}`, { values: [undefined], storedIndex: 0 });
  }

  run(steps: number): void {
    for (let step = 0; step < steps; step++) {
      for (let i = 0; i < this.keyCount / 4; i++) this.setRandom(`${step}.${i}`);
      this.store.run(this.random() * 300);
      if (this.random() <= 0.1) this.assertFoundByNextLeader();
    }
  }

  private setRandom(valuePrefix: string): void {
    const key = `k/${Math.floor(this.random() * this.keyCount)}`;
    const history = this.histories.get(key);
    assert.ok(history !== undefined);
    const length = Math.floor(this.random() * this.maxLength);
    const value = this.random() < 0.3 ? undefined : `${valuePrefix} ${'"'.repeat(length)}`;
    const index = history.values.push(value) - 1;
    const priority = this.random() < 0.7 ? 'urgent' : 'deferrable';
    this.store.records.set(key, value, priority, () => {
      this.callbacks++;
      history.storedIndex = Math.max(history.storedIndex, index);
    });
  }

  private assertFoundByNextLeader(): void {
    const storedRecords = recordsOf(this.store.electLeader());
    for (const [key, history] of this.histories) {
      const index = history.values.lastIndexOf(storedRecords.get(key));
      assert.ok(
        index >= history.storedIndex,
        `${key}: loaded ${index}, stored ${history.storedIndex}`,
      );
      // Later checks start from the value that the new leader has loaded.
      history.values.push(storedRecords.get(key));
      history.storedIndex = history.values.length - 1;
    }
  }
}

describe('RecordStore', () => {
  // The case of small values guards against incident inc-7e8d: a record was removed from its old page
  // before its new page was written. The leader ended in between, and the tasks of a machine ran twice.
  const sizes: [string, StateLimits, number, number][] = [
    ['large', stateLimits, 12, 3000],
    ['small', { ...stateLimits, valueKb: 2, txnOps: 4 }, 60, 700],
  ];
  for (const [valueSizes, limits, keyCount, maxLength] of sizes)
    it(`lets the next leader load all ${valueSizes} values that were reported as stored, or newer ones`, () => {
      let callbacks = 0;
      fc.assert(
        fc.property(fc.nat(1e9), (seed) => {
          const check = new HistoryCheck(seed, limits, keyCount, maxLength);
          check.run(60);
          callbacks += check.callbacks;
        }),
        { seed: 8, numRuns: 60 },
      );
      assert.ok(callbacks > 1000, `${callbacks} callbacks`);
    });

  // The operators may lower the limits of the state store without notice, even during a commit.
  it('splits its writes and loses no record when the limits of the state store are lowered', () => {
    const store = new UnreliableStateStore(3, 0);
    const random = seededRandom(3);
    const lastValues = new Map<string, unknown>();
    for (let step = 0; step < 300; step++) {
      if (step === 100) store.limits = { ...stateLimits, valueKb: 2, txnOps: 4 };
      for (let i = 0; i < 6; i++) {
        const key = `k/${Math.floor(random() * 60)}`;
        const value = [step, i, 'x'.repeat(Math.floor(random() * 700))];
        lastValues.set(key, value);
        store.records.set(key, value, random() < 0.5 ? 'urgent' : 'deferrable');
      }
      store.run(100);
    }
    store.run(20_000);
    assert.ok(
      store.sizeRefusals > 0 && store.sizeRefusals < 10,
      `${store.sizeRefusals} size refusals`,
    );
    const storedRecords = recordsOf(store.electLeader());
    for (const [key, value] of lastValues) assert.deepEqual(storedRecords.get(key), value, key);
  });

  it('loads a record that exceeds the limits, and writes it again once it is small enough', () => {
    const store = new UnreliableStateStore(4, 0);
    const large = 'x'.repeat(6000);
    store.records.set('k/large', large, 'urgent');
    for (let i = 0; i < 5; i++) store.records.set(`k/${i}`, 'y'.repeat(900), 'urgent');
    store.run(2000);
    store.limits = { ...stateLimits, valueKb: 2, txnOps: 8 };
    store.knownLimits = store.createKnownLimits(stateLimits, store.limits);
    const nextLeaderRecords = store.electLeader();
    assert.equal(recordsOf(nextLeaderRecords).get('k/large'), large);
    let storedCount = 0;
    nextLeaderRecords.set('k/large', `${large}z`, 'urgent', () => storedCount++);
    nextLeaderRecords.set('k/1', 'small', 'urgent', () => storedCount++);
    store.run(2000);
    assert.equal(storedCount, 1, 'only the small record has been stored');
    nextLeaderRecords.set('k/large', 'now it fits', 'urgent', () => storedCount++);
    store.run(2000);
    const storedRecords = recordsOf(store.electLeader());
    assert.equal(storedRecords.get('k/large'), 'now it fits');
    assert.equal(storedRecords.get('k/1'), 'small');
    assert.equal(store.sizeRefusals, 0);
  });

  // Guards against a transaction that no limit of the state store allows: it was sent again for ever, and the
  // transactions that end jobs waited behind it.
  it('gives up a transaction that exceeds the limits, and carries out those behind it', () => {
    const store = new UnreliableStateStore(6, 0);
    const outcomes: string[] = [];
    const transact = (key: string, value: unknown): void =>
      store.records.transact([{ key, version: 0 }], [{ put: key, value }], (outcome) =>
        outcomes.push(`${key} ${outcome}`),
      );
    // The store enforces its lower limits before the leader knows of them.
    store.limits = { ...stateLimits, valueKb: 2, txnOps: 4 };
    let storedCount = 0;
    transact('first', 'x');
    transact('large', 'x'.repeat(5000));
    transact('last', 'x');
    for (let i = 0; i < 8; i++)
      store.records.set(`k/${i}`, 'y'.repeat(900), 'urgent', () => storedCount++);
    store.run(3000);
    assert.deepEqual(outcomes, ['first ok', 'large too-large', 'last ok']);
    assert.equal(storedCount, 8);
    assert.equal(store.records.transactionsGivenUp, 1);
    assert.ok(store.sizeRefusals < 10, `${store.sizeRefusals} size refusals`);
  });

  // Guards against records that stayed unwritten: refusals halve the known size for a while, and a larger record that
  // was set in that time was not written until it was set again.
  it('writes a record that was too large once the known limit has grown', () => {
    const store = new UnreliableStateStore(7, 0);
    store.knownLimits = store.createKnownLimits(stateLimits, { ...stateLimits, valueKb: 2 }, 1000);
    const records = store.electLeader();
    store.knownLimits.recordSizeRefusal();
    let stored = false;
    records.set('k/large', 'x'.repeat(1500), 'urgent', () => (stored = true));
    store.run(500);
    assert.ok(!stored, 'the known limit is half of 2 KiB');
    store.run(2000);
    store.run(100);
    assert.ok(stored);
  });

  // Guards against an incident in which the starts of a service's replicas waited for write tokens behind
  // thousands of other starts.
  it('commits immediate records before urgent ones', () => {
    const store = new UnreliableStateStore(5, 0);
    const order: string[] = [];
    for (let i = 0; i < 300; i++)
      store.records.set(`k/${i}`, 'x'.repeat(5000), 'urgent', () => order.push('urgent'));
    store.records.set('k/last', 'x'.repeat(100), 'immediate', () => order.push('immediate'));
    store.run(3000);
    assert.ok(order.length > 10);
    const index = order.indexOf('immediate');
    assert.ok(index >= 0 && index < 10, `the immediate record was stored after ${index} others`);
  });

  it('commits many small records with few writes, and reuses pages', () => {
    const store = new UnreliableStateStore(1, 0);
    let storedCount = 0;
    const writesBefore = store.writesReceived;
    for (let second = 0; second < 100; second++) {
      for (let i = 0; i < 30; i++) {
        const key = `k/${(second * 37 + i * 11) % 400}`;
        store.records.set(key, ['x'.repeat(100), second, i], 'urgent', () => storedCount++);
        store.run(1000 / 30);
      }
    }
    store.run(2000);
    assert.equal(storedCount, 3000);
    const writes = store.writesReceived - writesBefore;
    assert.ok(writes <= 100 * 30 * 0.6, `${writes} writes`);
    const pages = [...store.items.keys()].filter((key) => key.startsWith(PAGE_PREFIX)).length;
    assert.ok(pages < 40, `${pages} pages for 400 records of 130 bytes`);
  });
});
