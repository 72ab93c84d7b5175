import { isMap, list, smallInt, text, flagOrFalse, WireError, type Fields } from './cbor.js';

export interface Condition {
  key: string;
  version: number;
}

export type Write = { put: string; value: unknown; lease?: number } | { delete: string };

export interface Item {
  key: string;
  value: unknown;
  version: number;
}

export type Event =
  { kind: 'put'; key: string; value: unknown; version: number } | { kind: 'delete'; key: string };

const MAX = Number.MAX_SAFE_INTEGER;

function fields(body: unknown): Fields {
  if (!isMap(body)) throw new WireError('state: expected a map');
  return body;
}

/** Revisions of the state service; far below 2^53 in any life of a deployment. */
export function readRevision(body: unknown): number {
  return smallInt(fields(body), 'ledger', 0, MAX);
}

export function readItem(body: unknown): Item {
  const m = fields(body);
  return { key: text(m, 'k'), value: m['value'], version: smallInt(m, 'stamp', 0, MAX) };
}

export function readRange(body: unknown): { items: Item[]; more: boolean; revision: number } {
  const m = fields(body);
  return {
    items: list(m, 'entries').map(readItem),
    more: flagOrFalse(m, 'has_next'),
    revision: smallInt(m, 'ledger', 0, MAX),
  };
}

export function readFailed(body: unknown): string[] {
  return list(fields(body), 'failed').map((k) => {
    if (typeof k !== 'string') throw new WireError('failed: expected texts');
    return k;
  });
}

/** Of the answers with 400, the one that tells of an ended lease. */
export function isNoLease(body: unknown): boolean {
  return isMap(body) && body['error'] === 'no such lease';
}

export function readLease(body: unknown): number {
  return smallInt(fields(body), 'permit', 0, MAX);
}

export function readEvents(body: unknown): { events: Event[]; revision: number } {
  const m = fields(body);
  const events = list(m, 'log').map((e): Event => {
    const f = fields(e);
    if (typeof f['delete'] === 'string') return { kind: 'delete', key: f['delete'] };
    return {
      kind: 'put',
      key: text(f, 'set'),
      value: f['value'],
      version: smallInt(f, 'stamp', 0, MAX),
    };
  });
  return { events, revision: smallInt(m, 'ledger', 0, MAX) };
}

export function writeTransaction(conditions: Condition[], writes: Write[]): Fields {
  return {
    if: conditions.map((c) => ({ k: c.key, stamp: c.version })),
    writes: writes.map((w) => {
      if ('delete' in w) return { delete: w.delete };
      const put: Fields = { set: w.put, value: w.value };
      if (w.lease !== undefined) put['permit'] = w.lease;
      return put;
    }),
  };
}
