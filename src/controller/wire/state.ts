/** Bodies of the state store's protocol: keys, transactions, leases and watches. */
import { isMap, type Fields } from './cbor.js';
import {
  readList,
  readOptionalBoolean,
  readSmallInt,
  readText,
  readTexts,
  requireMap,
} from './fields.js';

/** Condition of a transaction: the key must have this version; version 0 means that it must not exist. */
export interface Condition {
  key: string;
  version: number;
}

/** A write to one key. A put may bind the key to a lease; the key is deleted when the lease ends. */
export type Write = { put: string; value: unknown; lease?: number } | { delete: string };

/** A key with its value and the version from its last write. */
export interface KeyValue {
  key: string;
  value: unknown;
  version: number;
}

/** A change of one key, reported by a watch. */
export type WatchEvent =
  { kind: 'put'; key: string; value: unknown; version: number } | { kind: 'delete'; key: string };

/** Maximum accepted revision, version or lease id. No deployment runs long enough to come near 2^53. */
const MAX_INTEGER = Number.MAX_SAFE_INTEGER;

function requireStateMap(body: unknown): Fields {
  return requireMap(body, 'state');
}

/** Reads the revision of the state store at the time of a response. */
export function readRevision(body: unknown): number {
  return readSmallInt(requireStateMap(body), 'ledger', 0, MAX_INTEGER);
}

/** Reads a key with its value and version. */
export function readKeyValue(body: unknown): KeyValue {
  const fields = requireStateMap(body);
  return {
    key: readText(fields, 'k'),
    value: fields['value'],
    version: readSmallInt(fields, 'stamp', 0, MAX_INTEGER),
  };
}

/** One page of the keys that start with a prefix. */
export interface RangePage {
  items: KeyValue[];
  /** Whether another page follows. */
  more: boolean;
  revision: number;
}

/** Reads a response with one page of the keys that start with a prefix. */
export function readRange(body: unknown): RangePage {
  const fields = requireStateMap(body);
  return {
    items: readList(fields, 'entries').map(readKeyValue),
    more: readOptionalBoolean(fields, 'has_next'),
    revision: readSmallInt(fields, 'ledger', 0, MAX_INTEGER),
  };
}

/** Reads the response to a rejected transaction: the keys whose conditions did not hold. */
export function readFailedKeys(body: unknown): string[] {
  return readTexts(requireStateMap(body), 'failed');
}

/** Returns true if the body of a response with status 400 says that the lease no longer exists. */
export function isLeaseNotFound(body: unknown): boolean {
  return isMap(body) && body['error'] === 'no such lease';
}

/** Reads the response to a lease request: the id of the lease. */
export function readLeaseId(body: unknown): number {
  return readSmallInt(requireStateMap(body), 'permit', 0, MAX_INTEGER);
}

/** The changes up to `revision` that a response to a watch request reports. */
export interface WatchEvents {
  events: WatchEvent[];
  revision: number;
}

/** Reads a response to a watch request. */
export function readWatchEvents(body: unknown): WatchEvents {
  const fields = requireStateMap(body);
  return {
    events: readList(fields, 'log').map(readWatchEvent),
    revision: readSmallInt(fields, 'ledger', 0, MAX_INTEGER),
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

/** Encodes the body of a transaction. */
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
