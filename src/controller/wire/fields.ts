/** Typed access to the fields of decoded maps. Each function throws a `WireError` that names the field. */
import { isMap, type Fields } from './cbor.js';

/** A body that does not follow the protocol. The message names the field by its name on the wire. */
export class WireError extends Error {}

/**
 * An integer below 2^64. Those past 2^53 arrive as bigints and stay so: comparisons between numbers and
 * bigints are exact in JavaScript, so only the rare large integer costs more.
 */
export type Int = number | bigint;

/** The body as a map; `name` says in the error what was expected to be one. */
export function requireMap(body: unknown, name: string): Fields {
  if (!isMap(body)) throw new WireError(`${name}: expected a map`);
  return body;
}

/** A text. */
export function readText(map: Fields, name: string): string {
  const value = map[name];
  if (typeof value !== 'string') throw new WireError(`${name}: expected text`);
  return value;
}

/** A finite number from 0 to `max`. */
export function readAmount(map: Fields, name: string, max = 1e12): number {
  const value = map[name];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0 || value > max)
    throw new WireError(`${name}: expected a number from 0 to ${max}`);
  return value;
}

/** A number as `readAmount` reads it, `null` where it is absent. */
export function readOptionalAmount(map: Fields, name: string): number | null {
  const value = map[name];
  return value === undefined || value === null ? null : readAmount(map, name);
}

/** An integer from 0 to below 2^64. */
export function readInt(map: Fields, name: string): Int {
  const value = map[name];
  if (typeof value === 'bigint' && value >= 0n && value < 1n << 64n) return value;
  if (typeof value === 'number' && Number.isSafeInteger(value) && value >= 0) return value;
  throw new WireError(`${name}: expected a whole number`);
}

/** An integer in a range that a number holds exactly. */
export function readSmallInt(map: Fields, name: string, min: number, max: number): number {
  const value = map[name];
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < min || value > max)
    throw new WireError(`${name}: expected a whole number from ${min} to ${max}`);
  return value;
}

/** True or false. */
export function readBoolean(map: Fields, name: string): boolean {
  const value = map[name];
  if (typeof value !== 'boolean') throw new WireError(`${name}: expected true or false`);
  return value;
}

/** True or false, false where it is absent. */
export function readOptionalBoolean(map: Fields, name: string): boolean {
  const value = map[name];
  return value === undefined || value === null ? false : readBoolean(map, name);
}

/** A list of anything. */
export function readList(map: Fields, name: string): unknown[] {
  const value = map[name];
  if (!Array.isArray(value)) throw new WireError(`${name}: expected a list`);
  return value;
}

/** A list of texts. */
export function readTexts(map: Fields, name: string): string[] {
  return readList(map, name).map((item) => {
    if (typeof item !== 'string') throw new WireError(`${name}: expected texts`);
    return item;
  });
}

/** A list of texts, `null` where it is absent. */
export function readOptionalTexts(map: Fields, name: string): string[] | null {
  const value = map[name];
  return value === undefined || value === null ? null : readTexts(map, name);
}
