/** Encodes and decodes CBOR bodies. */
import { decode, encode } from 'cborg';

/** Decoder options that reject values which the protocols do not use. */
const STRICT_OPTIONS = {
  allowUndefined: false,
  allowNaN: false,
  allowInfinity: false,
  rejectDuplicateMapKeys: true,
  useMaps: false,
};

/** A decoded CBOR map with string keys. */
export type Fields = Record<string, unknown>;

/** Encodes a value as CBOR. */
export function encodeBody(value: unknown): Buffer {
  const bytes = encode(value);
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/**
 * Decodes a body that consists of exactly one CBOR item. Throws if the item is incomplete, if more bytes
 * follow it, or if it contains anything that the protocols do not use (see `STRICT_OPTIONS`).
 */
export function decodeBody(bytes: Uint8Array): unknown {
  const value: unknown = decode(bytes, STRICT_OPTIONS);
  return value;
}

/** Returns true if a decoded value is a map. */
export function isMap(value: unknown): value is Fields {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array)
  );
}

/** Returns true if a decoded value is a list. */
export function isList(value: unknown): value is unknown[] {
  return Array.isArray(value);
}
