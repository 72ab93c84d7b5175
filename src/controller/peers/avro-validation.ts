/**
 * Validates Avro's binary encoding before it is decoded. avsc allocates as many items as the bytes
 * announce, whatever their number, so a few bytes could take all memory of the process.
 */

type PrimitiveSchema = 'null' | 'double' | 'int' | 'long' | 'string' | 'bytes';
type ComplexSchema = RecordSchema | ArraySchema | MapSchema | EnumSchema;
type SingleSchema = PrimitiveSchema | ComplexSchema;

/** The schemas that messages are made of; a list is a union. */
export type Schema = SingleSchema | SingleSchema[];

/** Fields in the order of their encoding. */
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

/** Bytes that are not a value of their schema. */
export class AvroEncodingError extends Error {
  override readonly name = 'AvroEncodingError';
}

const DOUBLE_BYTES = 8;
/** Bytes of the longest integer, which has 64 bits, 7 in each byte. */
const MAX_INTEGER_BYTES = 10;

/** Throws an `AvroEncodingError` unless the bytes are one whole value of the schema. */
export function validateAvroEncoding(schema: Schema, bytes: Buffer): void {
  const reader = new AvroReader(bytes);
  skip(schema, reader);
  if (reader.remaining > 0) throw new AvroEncodingError('trailing bytes');
}

/** Reads forward through the bytes, never past their end. */
class AvroReader {
  private position = 0;

  constructor(private readonly bytes: Buffer) {}

  get remaining(): number {
    return this.bytes.length - this.position;
  }

  /** Skips bytes without reading them. */
  skip(count: number): void {
    if (count < 0 || count > this.remaining) throw new AvroEncodingError('length out of range');
    this.position += count;
  }

  /** A zigzag integer of variable length; only those within the safe integers are exact. */
  readInteger(): number {
    let value = 0;
    for (let i = 0; i < MAX_INTEGER_BYTES; i++) {
      const byte = this.bytes[this.position++];
      if (byte === undefined) throw new AvroEncodingError('truncated');
      value += (byte & 0x7f) * 2 ** (7 * i);
      if (byte < 0x80) return value % 2 === 0 ? value / 2 : -(value + 1) / 2;
    }
    throw new AvroEncodingError('integer too long');
  }

  /** The index of one of `count` choices. */
  readIndex(count: number): number {
    const index = this.readInteger();
    if (index < 0 || index >= count) throw new AvroEncodingError('unknown type or symbol');
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

/** Items come in blocks, each with its count, up to an empty one. Every item takes a byte or more. */
function skipBlocks(reader: AvroReader, skipItem: () => void): void {
  for (;;) {
    const encodedCount = reader.readInteger();
    if (encodedCount === 0) return;
    // A negative count is followed by the block's size in bytes.
    if (encodedCount < 0) reader.readInteger();
    const count = Math.abs(encodedCount);
    if (count > reader.remaining) throw new AvroEncodingError('more items than bytes');
    for (let i = 0; i < count; i++) skipItem();
  }
}
