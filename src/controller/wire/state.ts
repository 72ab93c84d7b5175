/** The protocol of the state service: keys, transactions, leases and watches. */
import { isMap, list, smallInt, text, flagOrFalse, WireError, type Fields } from './cbor.js';

/** A key has this version; 0: it does not exist. */
export interface Condition {
  key: string;
  version: number;
}

/** A change of one key; a put may bind it to a lease. */
export type Write = { put: string; value: unknown; lease?: number } | { delete: string };

/** A key with its value. */
export interface KeyValue {
  key: string;
  value: unknown;
  version: number;
}

/** A change that a watch tells of. */
export type WatchEvent =
  { kind: 'put'; key: string; value: unknown; version: number } | { kind: 'delete'; key: string };

const MAX_INTEGER = Number.MAX_SAFE_INTEGER;

function fields(body: unknown): Fields {
  if (!isMap(body)) throw new WireError('state: expected a map');
  return body;
}

/** Revisions of the state service; far below 2^53 in any life of a deployment. */
export function readRevision(body: unknown): number {
  return smallInt(fields(body), 'ledger', 0, MAX_INTEGER);
}

/** Reads one key. */
export function readKeyValue(body: unknown): KeyValue {
  const map = fields(body);
  return {
    key: text(map, 'k'),
    value: map['value'],
    version: smallInt(map, 'stamp', 0, MAX_INTEGER),
  };
}

/** Reads one page of keys. */
export function readRange(body: unknown): { items: KeyValue[]; more: boolean; revision: number } {
  const map = fields(body);
  return {
    items: list(map, 'entries').map(readKeyValue),
    more: flagOrFalse(map, 'has_next'),
    revision: smallInt(map, 'ledger', 0, MAX_INTEGER),
  };
}

/** Reads the keys whose conditions failed. */
export function readFailedKeys(body: unknown): string[] {
  return list(fields(body), 'failed').map((key) => {
    if (typeof key !== 'string') throw new WireError('failed: expected texts');
    return key;
  });
}

/** Of the answers with 400, the one that tells of an ended lease. */
export function isLeaseNotFound(body: unknown): boolean {
  return isMap(body) && body['error'] === 'no such lease';
}

/** Reads the id of a lease. */
export function readLeaseId(body: unknown): number {
  return smallInt(fields(body), 'permit', 0, MAX_INTEGER);
}

/** Reads the changes that a watch tells of. */
export function readWatchEvents(body: unknown): { events: WatchEvent[]; revision: number } {
  const map = fields(body);
  const events = list(map, 'log').map((item): WatchEvent => {
    const event = fields(item);
    if (typeof event['delete'] === 'string') return { kind: 'delete', key: event['delete'] };
    return {
      kind: 'put',
      key: text(event, 'set'),
      value: event['value'],
      version: smallInt(event, 'stamp', 0, MAX_INTEGER),
    };
  });
  return { events, revision: smallInt(map, 'ledger', 0, MAX_INTEGER) };
}

/** The body of a transaction. */
export function writeTransaction(conditions: Condition[], writes: Write[]): Fields {
  return {
    if: conditions.map(({ key, version }) => ({ k: key, stamp: version })),
    writes: writes.map((write) => {
      if ('delete' in write) return { delete: write.delete };
      const put: Fields = { set: write.put, value: write.value };
      if (write.lease !== undefined) put['permit'] = write.lease;
      return put;
    }),
  };
}
