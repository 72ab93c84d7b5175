/** The protocol of the state store: keys, transactions, leases and watches. */
import { isMap, type Fields } from './cbor.js';
import {
  readList,
  readOptionalBoolean,
  readSmallInt,
  readText,
  readTexts,
  requireMap,
} from './fields.js';

/** A condition of a compare-and-swap transaction: the key has this version, or does not exist for 0. */
export interface Condition {
  key: string;
  version: number;
}

/** A write to one key. A put may bind the key to a lease, with which it is deleted. */
export type Write = { put: string; value: unknown; lease?: number } | { delete: string };

/** A key with its value and the version of the last write. */
export interface KeyValue {
  key: string;
  value: unknown;
  version: number;
}

/** A change of a key that a watch reports. */
export type WatchEvent =
  { kind: 'put'; key: string; value: unknown; version: number } | { kind: 'delete'; key: string };

/** Revisions, versions and lease ids stay far below 2^53 in the life of any deployment. */
const MAX_INTEGER = Number.MAX_SAFE_INTEGER;

function requireStateMap(body: unknown): Fields {
  return requireMap(body, 'state');
}

/** Reads the revision of the state store at which a response was made. */
export function readRevision(body: unknown): number {
  return readSmallInt(requireStateMap(body), 'ledger', 0, MAX_INTEGER);
}

/** Reads one key. */
export function readKeyValue(body: unknown): KeyValue {
  const map = requireStateMap(body);
  return {
    key: readText(map, 'k'),
    value: map['value'],
    version: readSmallInt(map, 'stamp', 0, MAX_INTEGER),
  };
}

/** One page of the keys of a range. */
export interface RangePage {
  items: KeyValue[];
  /** Whether another page follows. */
  more: boolean;
  revision: number;
}

/** Reads one page of a range. */
export function readRange(body: unknown): RangePage {
  const map = requireStateMap(body);
  return {
    items: readList(map, 'entries').map(readKeyValue),
    more: readOptionalBoolean(map, 'has_next'),
    revision: readSmallInt(map, 'ledger', 0, MAX_INTEGER),
  };
}

/** Reads the keys whose conditions did not hold. */
export function readFailedKeys(body: unknown): string[] {
  return readTexts(requireStateMap(body), 'failed');
}

/** Whether a response with status 400 says that the lease does not exist any more. */
export function isLeaseNotFound(body: unknown): boolean {
  return isMap(body) && body['error'] === 'no such lease';
}

/** Reads the id of a lease. */
export function readLeaseId(body: unknown): number {
  return readSmallInt(requireStateMap(body), 'permit', 0, MAX_INTEGER);
}

/** The changes that one response to a watch reports, up to a revision. */
export interface WatchEvents {
  events: WatchEvent[];
  revision: number;
}

/** Reads a response to a watch. */
export function readWatchEvents(body: unknown): WatchEvents {
  const map = requireStateMap(body);
  return {
    events: readList(map, 'log').map(readWatchEvent),
    revision: readSmallInt(map, 'ledger', 0, MAX_INTEGER),
  };
}

function readWatchEvent(item: unknown): WatchEvent {
  const fields = requireStateMap(item);
  if (typeof fields['delete'] === 'string') return { kind: 'delete', key: fields['delete'] };
  return {
    kind: 'put',
    key: readText(fields, 'set'),
    value: fields['value'],
    version: readSmallInt(fields, 'stamp', 0, MAX_INTEGER),
  };
}

/** The body of a compare-and-swap transaction. */
export function writeTransaction(conditions: Condition[], writes: Write[]): Fields {
  return { if: conditions.map(writeCondition), writes: writes.map(writeWrite) };
}

function writeCondition({ key, version }: Condition): Fields {
  return { k: key, stamp: version };
}

function writeWrite(write: Write): Fields {
  if ('delete' in write) return { delete: write.delete };
  const put: Fields = { set: write.put, value: write.value };
  if (write.lease !== undefined) put['permit'] = write.lease;
  return put;
}
