import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { silentLogger } from '../../../test/manual-runtime.js';
import type { StateStoreClient } from '../store/client.js';
import { storedSize } from '../store/page.js';
import { readCatalogue, type MachineType } from '../wire/cloud.js';
import type { Condition, KeyValue, Write } from '../wire/state.js';
import { CatalogueStore, type CatalogueWriter } from './catalogue-store.js';

const SMALL_VALUE_BYTES = 2048;

function machineTypes(count: number, price = 1): MachineType[] {
  const models = Array.from({ length: count }, (_, i) => ({
    ...{ name: `type-${i}`, cores: 64, cards: 0, mem_gb: 256, local_gb: 200, fetch_gb_per_s: 1 },
    ...{ hourly: price, market_price: 0.5, boot_s: 30, halls: ['thermi', 'kalamaria'] },
  }));
  return readCatalogue({ models });
}

/** A state store that refuses values above `maxValueSize`, and the catalogue store that uses it. */
class CatalogueFixture implements CatalogueWriter {
  readonly closed = false;
  readonly items = new Map<string, KeyValue>();
  maxValueSize = SMALL_VALUE_BYTES;
  refused = 0;
  private revision = 0;
  private readonly client = {
    budget: { requestTokens: { forceTake: () => undefined }, limits: this },
    read: (key: string, _timeoutMs: number, done: (result: unknown) => void) =>
      done({ kind: 'ok', value: this.items.get(key) ?? null }),
    readPrefix: (prefix: string, _timeoutMs: number, done: (result: unknown) => void) => {
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
      done({ kind: 'ok', value: { items, revision: this.revision } });
    },
  };
  readonly store = new CatalogueStore(
    this.client as unknown as StateStoreClient,
    silentLogger,
    () => this.revision,
  );
  readonly records = {
    transact: (conditions: Condition[], writes: Write[]) => this.transact(conditions, writes),
  };

  private transact(conditions: Condition[], writes: Write[]): void {
    this.revision++;
    for (const { key, version } of conditions)
      assert.equal(this.items.get(key)?.version ?? 0, version);
    for (const write of writes)
      if ('delete' in write) this.items.delete(write.delete);
      else if (storedSize(write.value) > this.maxValueSize) this.refused++;
      else
        this.items.set(write.put, { key: write.put, value: write.value, version: this.revision });
  }

  save(types: MachineType[]): void {
    this.store.save(this, () => types);
  }

  /** The types that a controller reads which starts while the cloud is out. */
  get storedTypes(): MachineType[] | null {
    let body: unknown = null;
    this.store.read((stored) => (body = stored));
    return body === null ? null : readCatalogue(body);
  }
}

describe('CatalogueStore', () => {
  let fixture: CatalogueFixture;

  beforeEach(() => {
    fixture = new CatalogueFixture();
  });

  // Guards against a catalogue that outgrew a value: its transaction was refused for ever, and the ends of jobs
  // waited behind it.
  it('stores any number of types in values that the state store accepts', () => {
    for (const count of [1, 16, 100, 200, 8]) {
      fixture.save(machineTypes(count));
      assert.deepEqual(fixture.storedTypes, machineTypes(count));
    }
    assert.equal(fixture.refused, 0);
  });

  it('replaces the one key by parts when the limit is lowered, and writes nothing that is stored', () => {
    fixture.maxValueSize = 8 * SMALL_VALUE_BYTES;
    fixture.save(machineTypes(16));
    assert.deepEqual([...fixture.items.keys()], ['catalogue']);
    fixture.maxValueSize = SMALL_VALUE_BYTES;
    fixture.save(machineTypes(16, 2));
    const { value } = fixture.items.get('catalogue') ?? {};
    assert.throws(() => readCatalogue(value), 'an older version takes a part for the catalogue');
    assert.deepEqual(fixture.storedTypes, machineTypes(16, 2));
    const stored = [...fixture.items.values()];
    fixture.save(machineTypes(16, 2));
    assert.deepEqual([...fixture.items.values()], stored);
    fixture.maxValueSize = 8 * SMALL_VALUE_BYTES;
    fixture.save(machineTypes(16));
    assert.deepEqual([...fixture.items.keys()], ['catalogue']);
  });

  it('reads no incomplete set of parts', () => {
    fixture.save(machineTypes(40));
    fixture.items.delete('catalogue/1');
    assert.equal(fixture.storedTypes, null);
  });
});
