/**
 * Validation of Avro's binary encoding before decoding. The avsc library allocates arrays and maps of the
 * encoded length without checking it against the size of the message, so a message of a few bytes could
 * exhaust the memory of the process.
 */

type PrimitiveSchema = 'null' | 'double' | 'int' | 'long' | 'string' | 'bytes';
type ComplexSchema = RecordSchema | ArraySchema | MapSchema | EnumSchema;
type SingleSchema = PrimitiveSchema | ComplexSchema;

/** The subset of Avro schemas that messages use; a list of schemas is a union. */
export type Schema = SingleSchema | SingleSchema[];

/** Schema of a record, with its fields in the order in which they are encoded. */
export interface RecordSchema {
  type: 'record';
  name: string;
  fields: { name: string; type: Schema }[];
}

interface ArraySchema {
  type: 'array';
  items: Schema;
}

interface MapSchema {
  type: 'map';
  values: Schema;
}

interface EnumSchema {
  type: 'enum';
  name: string;
  symbols: string[];
}

/** Thrown if bytes do not encode exactly one value of a schema. */
export class AvroEncodingError extends Error {
  override readonly name = 'AvroEncodingError';
}

const DOUBLE_BYTES = 8;
/** Length of the longest encoded integer, in bytes. Each byte holds 7 of its 64 bits. */
const MAX_INTEGER_BYTES = 10;

/** Throws an `AvroEncodingError` unless the bytes encode exactly one value of the schema. */
export function validateAvroEncoding(schema: Schema, bytes: Buffer): void {
  const reader = new AvroReader(bytes);
  skip(schema, reader);
  if (reader.remaining > 0)
    throw new AvroEncodingError(
      `trailing bytes: ${reader.remaining} of ${bytes.length} follow the value`,
    );
}

/** Reads the bytes in order and throws an `AvroEncodingError` rather than read past their end. */
class AvroReader {
  private position = 0;

  constructor(private readonly bytes: Buffer) {}

  get remaining(): number {
    return this.bytes.length - this.position;
  }

  /** Skips `count` bytes. */
  skip(count: number): void {
    if (count < 0 || count > this.remaining)
      throw new AvroEncodingError(
        `length out of range: value of ${count} bytes, ${this.remaining} bytes left`,
      );
    this.position += count;
  }

  /**
   * Reads an integer in Avro's variable-length zigzag encoding. The result is exact only if it is a safe
   * integer.
   */
  readInteger(): number {
    let value = 0;
    for (let i = 0; i < MAX_INTEGER_BYTES; i++) {
      const byte = this.bytes[this.position++];
      if (byte === undefined)
        throw new AvroEncodingError(`truncated integer at the end of ${this.bytes.length} bytes`);
      value += (byte & 0x7f) * 2 ** (7 * i);
      if (byte < 0x80) return value % 2 === 0 ? value / 2 : -(value + 1) / 2;
    }
    throw new AvroEncodingError(`integer too long: more than ${MAX_INTEGER_BYTES} bytes`);
  }

  /** Reads the index of a type in a union or of a symbol in an enum, from 0 to `count` - 1. */
  readIndex(count: number): number {
    const index = this.readInteger();
    if (index < 0 || index >= count)
      throw new AvroEncodingError(
        `unknown type or symbol: index ${index}, expected 0 to ${count - 1}`,
      );
    return index;
  }
}

function skip(schema: Schema, reader: AvroReader): void {
  if (Array.isArray(schema)) {
    const chosenSchema = schema[reader.readIndex(schema.length)];
    if (chosenSchema !== undefined) skip(chosenSchema, reader);
  } else if (typeof schema === 'string') skipPrimitive(schema, reader);
  else skipComplex(schema, reader);
}

function skipPrimitive(schema: PrimitiveSchema, reader: AvroReader): void {
  switch (schema) {
    case 'null':
      return;
    case 'double':
      return reader.skip(DOUBLE_BYTES);
    case 'int':
    case 'long':
      reader.readInteger();
      return;
    case 'string':
    case 'bytes':
      return reader.skip(reader.readInteger());
  }
}

function skipComplex(schema: ComplexSchema, reader: AvroReader): void {
  switch (schema.type) {
    case 'record':
      for (const field of schema.fields) skip(field.type, reader);
      return;
    case 'enum':
      reader.readIndex(schema.symbols.length);
      return;
    case 'array':
      return skipBlocks(reader, () => skip(schema.items, reader));
    case 'map':
      return skipBlocks(reader, () => {
        skip('string', reader);
        skip(schema.values, reader);
      });
  }
}

/**
 * Skips the items of an array or a map. They are encoded in blocks, each with its item count; a block of 0
 * items ends the array or map. Every item takes at least one byte, so a count above the remaining bytes is
 * invalid.
 */
function skipBlocks(reader: AvroReader, skipItem: () => void): void {
  for (;;) {
    const encodedCount = reader.readInteger();
    if (encodedCount === 0) return;
    // After a negative count, the block's size in bytes is encoded.
    if (encodedCount < 0) reader.readInteger();
    const count = Math.abs(encodedCount);
    if (count > reader.remaining)
      throw new AvroEncodingError(
        `more items than bytes: block of ${count} items, ${reader.remaining} bytes left`,
      );
    for (let i = 0; i < count; i++) skipItem();
  }
}
