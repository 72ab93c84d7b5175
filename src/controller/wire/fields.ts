/**
 * Typed access to the fields of decoded maps. Each function throws a `WireError` that names the field if the
 * field is invalid or, except for optional fields, absent.
 */
import { isMap, type Fields } from './cbor.js';
import { type Int, isInt } from './integers.js';

/** Thrown for a body that does not follow the protocol. The message gives the field's name on the wire. */
export class WireError extends Error {}

/** Returns the body as a map; throws a `WireError` that refers to it as `name` if it is not a map. */
export function requireMap(body: unknown, name: string): Fields {
  if (!isMap(body)) throw new WireError(`${name}: expected a map`);
  return body;
}

/** Reads a string. */
export function readText(map: Fields, name: string): string {
  const value = map[name];
  if (typeof value !== 'string') throw new WireError(`${name}: expected text`);
  return value;
}

/** Reads a finite number from 0 to `max`. */
export function readAmount(map: Fields, name: string, max = 1e12): number {
  const value = map[name];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0 || value > max)
    throw new WireError(`${name}: expected a number from 0 to ${max}`);
  return value;
}

/** Reads an optional finite number from 0 to 1e12; returns null if it is absent or null. */
export function readOptionalAmount(map: Fields, name: string): number | null {
  const value = map[name];
  return value === undefined || value === null ? null : readAmount(map, name);
}

/** Reads an integer from 0 to below 2^64. */
export function readInt(map: Fields, name: string): Int {
  const value = map[name];
  if (!isInt(value)) throw new WireError(`${name}: expected a whole number`);
  return value;
}

/** Reads an integer from `min` to `max`; both bounds must be integers that a number holds exactly. */
export function readSmallInt(map: Fields, name: string, min: number, max: number): number {
  const value = map[name];
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < min || value > max)
    throw new WireError(`${name}: expected a whole number from ${min} to ${max}`);
  return value;
}

/** Reads a boolean. */
export function readBoolean(map: Fields, name: string): boolean {
  const value = map[name];
  if (typeof value !== 'boolean') throw new WireError(`${name}: expected true or false`);
  return value;
}

/** Reads an optional boolean; returns false if it is absent or null. */
export function readOptionalBoolean(map: Fields, name: string): boolean {
  const value = map[name];
  return value === undefined || value === null ? false : readBoolean(map, name);
}

/** Reads a list whose items may have any type. */
export function readList(map: Fields, name: string): unknown[] {
  const value = map[name];
  if (!Array.isArray(value)) throw new WireError(`${name}: expected a list`);
  return value;
}

/** Reads a list of strings. */
export function readTexts(map: Fields, name: string): string[] {
  return readList(map, name).map((item) => {
    if (typeof item !== 'string') throw new WireError(`${name}: expected texts`);
    return item;
  });
}

/** Reads an optional list of strings; returns null if it is absent or null. */
export function readOptionalTexts(map: Fields, name: string): string[] | null {
  const value = map[name];
  return value === undefined || value === null ? null : readTexts(map, name);
}
