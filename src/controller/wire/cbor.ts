/** CBOR bodies. */
import { decode, encode } from 'cborg';

const STRICT_OPTIONS = {
  allowUndefined: false,
  allowNaN: false,
  allowInfinity: false,
  rejectDuplicateMapKeys: true,
  useMaps: false,
};

/** A CBOR map with texts as keys. */
export type Fields = Record<string, unknown>;

/** The CBOR encoding of a value. */
export function encodeBody(value: unknown): Buffer {
  const bytes = encode(value);
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Decodes a body. Throws on anything but one whole CBOR item of the kinds that the protocols use. */
export function decodeBody(bytes: Uint8Array): unknown {
  const value: unknown = decode(bytes, STRICT_OPTIONS);
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
