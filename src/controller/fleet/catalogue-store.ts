/**
 * The stored form of the machine types. They are in one key if they fit in a value of the state store. Otherwise they are
 * in several keys, and the one key names the set of them. Older versions can't read that and ask the cloud.
 */
import type { Logger } from '../runtime/runtime.js';
import type { StateStoreClient } from '../store/client.js';
import { storedSize } from '../store/page.js';
import type { RecordStore } from '../store/record-store.js';
import type { ReadResult } from '../store/results.js';
import { isMap, type Fields } from '../wire/cbor.js';
import { writeCatalogue, type MachineType } from '../wire/cloud.js';
import type { KeyValue } from '../wire/state.js';

/** Key of all machine types, if they fit in one value, and otherwise of a `PartSet`. */
const CATALOGUE_KEY = 'catalogue';
/** Prefix of the keys of the parts. The number of the part follows it. */
const PART_PREFIX = 'catalogue/';
const TIMEOUT_MS = 1500;
/** Upper bound of the size of a part without its machine types, in bytes of JSON (`storedSize`). */
const PART_OVERHEAD = 80;

/** The part of the leader's term that is needed to store the catalogue. */
export interface CatalogueWriter {
  /** Whether the term has ended. */
  readonly closed: boolean;
  readonly records: Pick<RecordStore, 'transact'>;
}

/** A set of parts that were written together. `set` is the wall clock time in ms at which they were written. */
interface PartSet {
  parts: number;
  set: number;
}

/** One part of the stored catalogue, with the number of parts in its set. */
interface CataloguePart extends PartSet {
  models: unknown[];
}

/** Receives the stored catalogue as the cloud's response has it, or null if none can be read. */
export type CatalogueCallback = (body: unknown) => void;

/** Reads and writes the stored catalogue. */
export class CatalogueStore {
  constructor(
    private readonly client: Pick<StateStoreClient, 'read' | 'readPrefix' | 'budget'>,
    private readonly log: Pick<Logger, 'warn'>,
    private readonly wallClock: () => number,
  ) {}

  /** Reads the stored catalogue. */
  read(done: CatalogueCallback): void {
    this.readKey((result) => {
      const value = result.kind === 'ok' ? (result.value?.value ?? null) : null;
      const partSet = readPartSet(value);
      if (partSet === null) done(value);
      else this.readParts((items) => done(joinParts(partSet, items ?? [])));
    });
  }

  /**
   * Stores the machine types unless they are stored already.
   * @param types - returns the types, given the stored ones; null if none are known
   */
  save(writer: CatalogueWriter, types: (stored: unknown) => MachineType[] | null): void {
    this.readKey((result) => {
      if (result.kind === 'failed' || writer.closed) return;
      const stored = result.value;
      const partSet = readPartSet(stored?.value);
      const knownTypes = types(partSet === null ? (stored?.value ?? null) : null);
      if (knownTypes === null) return;
      this.saveChanged(writer, writeCatalogue(knownTypes), stored);
    });
  }

  private saveChanged(writer: CatalogueWriter, value: Fields, stored: KeyValue | null): void {
    if (JSON.stringify(stored?.value) === JSON.stringify(value)) return;
    const isWhole = storedSize(value) <= this.maxValueSize;
    if (isWhole) put(writer, CATALOGUE_KEY, stored, value);
    if (isWhole && readPartSet(stored?.value) === null) return;
    this.readParts((items) => {
      if (items === null || writer.closed) return;
      if (isWhole) for (const item of items) remove(writer, item);
      else this.saveParts(writer, value, stored, items);
    });
  }

  private readKey(done: (result: ReadResult<KeyValue | null>) => void): void {
    this.client.budget.requestTokens.forceTake();
    this.client.read(CATALOGUE_KEY, TIMEOUT_MS, done);
  }

  /** Reads all parts, of any set; passes null if they can't be read. */
  private readParts(done: (items: KeyValue[] | null) => void): void {
    this.client.readPrefix(PART_PREFIX, TIMEOUT_MS, (result) =>
      done(result.kind === 'ok' ? result.value.items : null),
    );
  }

  private get maxValueSize(): number {
    return this.client.budget.limits.maxValueSize;
  }

  /** Writes each part in a transaction of its own, since together they may exceed one, and then names the set. */
  private saveParts(
    writer: CatalogueWriter,
    value: Fields,
    storedSet: KeyValue | null,
    storedParts: readonly KeyValue[],
  ): void {
    const partSet = readPartSet(storedSet?.value);
    if (
      partSet !== null &&
      JSON.stringify(joinParts(partSet, storedParts)) === JSON.stringify(value)
    )
      return;
    const parts = splitModels(value['models'] as unknown[], this.maxValueSize - PART_OVERHEAD);
    if (parts === null)
      return this.log.warn({}, 'a machine type exceeds the size of a value; catalogue not stored');
    const newSet: PartSet = { parts: parts.length, set: Math.round(this.wallClock()) };
    const unused = new Map(storedParts.map((item) => [item.key, item]));
    for (const [number, models] of parts.entries()) {
      const key = partKey(number);
      const part: CataloguePart = { models, ...newSet };
      put(writer, key, unused.get(key) ?? null, part);
      unused.delete(key);
    }
    put(writer, CATALOGUE_KEY, storedSet, newSet);
    for (const item of unused.values()) remove(writer, item);
  }
}

function partKey(number: number): string {
  return `${PART_PREFIX}${number}`;
}

function put(writer: CatalogueWriter, key: string, stored: KeyValue | null, value: unknown): void {
  const version = stored?.version ?? 0;
  writer.records.transact([{ key, version }], [{ put: key, value }], () => undefined);
}

function remove(writer: CatalogueWriter, { key, version }: KeyValue): void {
  writer.records.transact([{ key, version }], [{ delete: key }], () => undefined);
}

/** Divides the machine types into lists of at most `maxSize`; returns null if one type is larger. */
function splitModels(models: readonly unknown[], maxSize: number): unknown[][] | null {
  const parts: unknown[][] = [];
  let partSize = Infinity;
  for (const model of models) {
    const size = storedSize(model) + 1;
    if (size > maxSize) return null;
    if (partSize + size > maxSize) {
      parts.push([]);
      partSize = 0;
    }
    parts.at(-1)?.push(model);
    partSize += size;
  }
  return parts;
}

/** Returns the catalogue of a set of parts, or null if a part of the set is missing. */
function joinParts(partSet: PartSet, items: readonly KeyValue[]): unknown {
  const partsByKey = new Map(items.map(({ key, value }) => [key, readPart(value)]));
  const models: unknown[] = [];
  for (let number = 0; number < partSet.parts; number++) {
    const part = partsByKey.get(partKey(number));
    if (part?.set !== partSet.set) return null;
    models.push(...part.models);
  }
  return { models };
}

/** Reads the name of a set of parts; returns null for any other value, such as a whole catalogue. */
function readPartSet(value: unknown): PartSet | null {
  if (!isMap(value)) return null;
  const { parts, set } = value;
  return typeof parts === 'number' && typeof set === 'number' ? { parts, set } : null;
}

function readPart(value: unknown): CataloguePart | null {
  const partSet = readPartSet(value);
  if (partSet === null || !isMap(value) || !Array.isArray(value['models'])) return null;
  return { ...partSet, models: value['models'] };
}
