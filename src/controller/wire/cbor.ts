import { decode, encode } from 'cborg';

const strict = {
  allowUndefined: false,
  allowNaN: false,
  allowInfinity: false,
  rejectDuplicateMapKeys: true,
  useMaps: false,
};

export type Fields = Record<string, unknown>;

export function encodeBody(value: unknown): Buffer {
  const bytes = encode(value);
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Throws on anything that is not one whole CBOR item of the kinds the protocol uses. */
export function decodeBody(bytes: Uint8Array): unknown {
  const value: unknown = decode(bytes, strict);
  return value;
}

export function isMap(value: unknown): value is Fields {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array)
  );
}

export function isList(value: unknown): value is unknown[] {
  return Array.isArray(value);
}

export class WireError extends Error {}

export function text(map: Fields, name: string): string {
  const v = map[name];
  if (typeof v !== 'string') throw new WireError(`${name}: expected text`);
  return v;
}

export function textOrNull(map: Fields, name: string): string | null {
  const v = map[name];
  return v === undefined || v === null ? null : text(map, name);
}

/** A finite decimal number, zero or more. */
export function amount(map: Fields, name: string, max = 1e12): number {
  const v = map[name];
  if (typeof v !== 'number' || !Number.isFinite(v) || v < 0 || v > max)
    throw new WireError(`${name}: expected a number from 0 to ${max}`);
  return v;
}

export function amountOrNull(map: Fields, name: string): number | null {
  const v = map[name];
  return v === undefined || v === null ? null : amount(map, name);
}

/**
 * Integers may reach 2^64. Those past 2^53 arrive as bigints and stay so; comparisons between the
 * two kinds are exact in JavaScript, so only the rare large one pays.
 */
export type Int = number | bigint;

export function int(map: Fields, name: string): Int {
  const v = map[name];
  if (typeof v === 'bigint' && v >= 0n && v < 1n << 64n) return v;
  if (typeof v === 'number' && Number.isSafeInteger(v) && v >= 0) return v;
  throw new WireError(`${name}: expected a whole number`);
}

/** An integer that is small by its meaning. */
export function smallInt(map: Fields, name: string, min: number, max: number): number {
  const v = map[name];
  if (typeof v !== 'number' || !Number.isSafeInteger(v) || v < min || v > max)
    throw new WireError(`${name}: expected a whole number from ${min} to ${max}`);
  return v;
}

export function flag(map: Fields, name: string): boolean {
  const v = map[name];
  if (typeof v !== 'boolean') throw new WireError(`${name}: expected true or false`);
  return v;
}

export function flagOrFalse(map: Fields, name: string): boolean {
  const v = map[name];
  return v === undefined || v === null ? false : flag(map, name);
}

export function list(map: Fields, name: string): unknown[] {
  const v = map[name];
  if (!Array.isArray(v)) throw new WireError(`${name}: expected a list`);
  return v;
}

export function textsOrNull(map: Fields, name: string): string[] | null {
  const v = map[name];
  if (v === undefined || v === null) return null;
  return list(map, name).map((x) => {
    if (typeof x !== 'string') throw new WireError(`${name}: expected texts`);
    return x;
  });
}
