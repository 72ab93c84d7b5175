/**
 * Typed access to the fields of a TOML table. Each function throws a `SettingsError` if the field is missing
 * or invalid. The message gives the full path of the field: `path` is the part before `name` and ends with a
 * dot, or is empty.
 */
import { parse } from 'smol-toml';
import { SettingsError } from './settings-error.js';

/** A TOML table. */
export type TomlTable = Record<string, unknown>;

const MAX_PORT = 65535;
const IPV4_ADDRESS = /^\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})$/;

/** Parses a TOML document. Throws a `SettingsError` if it is not valid TOML. */
export function parseToml(source: string): TomlTable {
  try {
    return parse(source);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new SettingsError(`not valid TOML: ${message.split('\n', 1)[0] ?? ''}`, { cause: error });
  }
}

/** Reads a required table. */
export function readTable(parent: TomlTable, name: string, path: string): TomlTable {
  const value = parent[name];
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new SettingsError(`${path}${name}: expected a table`);
  return value as TomlTable;
}

/** Reads a list of tables; an absent list is read as an empty one. */
export function readTables(parent: TomlTable, name: string, path: string): TomlTable[] {
  const value = parent[name] ?? [];
  if (!Array.isArray(value)) throw new SettingsError(`${path}${name}: expected a list of tables`);
  return value.map((item: unknown, index) =>
    readTable({ [index]: item }, String(index), `${path}${name}.`),
  );
}

/** Reads a required string that is not empty. */
export function readText(parent: TomlTable, name: string, path: string): string {
  const value = parent[name];
  if (typeof value !== 'string' || value === '')
    throw new SettingsError(`${path}${name}: expected a non-empty string`);
  return value;
}

/** Reads a required IPv4 address with a port. */
export function readAddress(parent: TomlTable, name: string, path: string): string {
  const value = readText(parent, name, path);
  const match = IPV4_ADDRESS.exec(value);
  if (match === null || Number(match[1]) > MAX_PORT)
    throw new SettingsError(
      `${path}${name}: expected an IPv4 address with a port, such as 10.0.0.1:8080, got ${JSON.stringify(value)}`,
    );
  return value;
}

/** Reads a finite number of at least `min`. An absent field is invalid unless there is a `fallback`. */
export function readNumber(
  parent: TomlTable,
  name: string,
  path: string,
  min: number,
  fallback?: number,
): number {
  const value = parent[name] ?? fallback;
  const number = typeof value === 'bigint' ? Number(value) : value;
  if (typeof number !== 'number' || !Number.isFinite(number) || number < min)
    throw new SettingsError(
      `${path}${name}: expected a number of at least ${min}, got ${
        typeof number === 'number' ? String(number) : JSON.stringify(number)
      }`,
    );
  return number;
}
