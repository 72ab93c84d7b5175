/** CBOR bodies, and typed access to the fields of their maps. */
import { decode, encode } from 'cborg';

const strict = {
  allowUndefined: false,
  allowNaN: false,
  allowInfinity: false,
  rejectDuplicateMapKeys: true,
  useMaps: false,
};

/** A CBOR map with texts as keys. */
export type Fields = Record<string, unknown>;

/** The CBOR form of a value. */
export function encodeBody(value: unknown): Buffer {
  const bytes = encode(value);
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Throws on anything that is not one whole CBOR item of the kinds the protocol uses. */
export function decodeBody(bytes: Uint8Array): unknown {
  const value: unknown = decode(bytes, strict);
  return value;
}

/** Whether a decoded value is a map. */
export function isMap(value: unknown): value is Fields {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array)
  );
}

/** Whether a decoded value is a list. */
export function isList(value: unknown): value is unknown[] {
  return Array.isArray(value);
}

/** A body that does not follow the protocol; the message names the field. */
export class WireError extends Error {}

/** A text. */
export function text(map: Fields, name: string): string {
  const value = map[name];
  if (typeof value !== 'string') throw new WireError(`${name}: expected text`);
  return value;
}

/** A text, or null where it is absent. */
export function textOrNull(map: Fields, name: string): string | null {
  const value = map[name];
  return value === undefined || value === null ? null : text(map, name);
}

/** A finite decimal number, zero or more. */
export function amount(map: Fields, name: string, max = 1e12): number {
  const value = map[name];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0 || value > max)
    throw new WireError(`${name}: expected a number from 0 to ${max}`);
  return value;
}

/** A number as `amount` reads it, or null where it is absent. */
export function amountOrNull(map: Fields, name: string): number | null {
  const value = map[name];
  return value === undefined || value === null ? null : amount(map, name);
}

/**
 * Integers may reach 2^64. Those past 2^53 arrive as bigints and stay so; comparisons between the
 * two kinds are exact in JavaScript, so only the rare large one pays.
 */
export type Int = number | bigint;

/** A whole number from 0 to below 2^64. */
export function int(map: Fields, name: string): Int {
  const value = map[name];
  if (typeof value === 'bigint' && value >= 0n && value < 1n << 64n) return value;
  if (typeof value === 'number' && Number.isSafeInteger(value) && value >= 0) return value;
  throw new WireError(`${name}: expected a whole number`);
}

/** An integer that is small by its meaning. */
export function smallInt(map: Fields, name: string, min: number, max: number): number {
  const value = map[name];
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < min || value > max)
    throw new WireError(`${name}: expected a whole number from ${min} to ${max}`);
  return value;
}

/** True or false. */
export function flag(map: Fields, name: string): boolean {
  const value = map[name];
  if (typeof value !== 'boolean') throw new WireError(`${name}: expected true or false`);
  return value;
}

/** True or false; false where it is absent. */
export function flagOrFalse(map: Fields, name: string): boolean {
  const value = map[name];
  return value === undefined || value === null ? false : flag(map, name);
}

/** A list of anything. */
export function list(map: Fields, name: string): unknown[] {
  const value = map[name];
  if (!Array.isArray(value)) throw new WireError(`${name}: expected a list`);
  return value;
}

/** A list of texts, or null where it is absent. */
export function textsOrNull(map: Fields, name: string): string[] | null {
  const value = map[name];
  if (value === undefined || value === null) return null;
  return list(map, name).map((item) => {
    if (typeof item !== 'string') throw new WireError(`${name}: expected texts`);
    return item;
  });
}
