/**
 * Collects one example of each form of stored record and of each form of message between
 * controllers.
 */
import { decodePeerMessage } from '../../../src/controller/peers/message-codec.js';
import { decodeBody, encodeBody } from '../../../src/controller/wire/cbor.js';
import type { DigestScenario } from './digest-scenarios.js';
import { playDigestScenario } from './play-digest-scenario.js';
import type { Transaction } from '../state-store/key-value-store.js';
import { TrafficDigest } from './traffic-digest.js';

/** A value in the state store; `bytes` is its CBOR encoding in hex. */
export interface StoredExample {
  key: string;
  bytes: string;
}

/** A record in a page of records; `text` is its JSON. */
export interface RecordExample {
  key: string;
  text: string;
}

/** The longest example of each form of stored value, record and message. */
export interface StoredForms {
  /**
   * Values in the state store, by key prefix; values of ended jobs are also distinguished by state.
   */
  values: Record<string, StoredExample>;
  /** Records in pages, by key prefix; deletions of records are separate forms. */
  records: Record<string, RecordExample>;
  /**
   * Messages between controllers, in hex. Each key lists the names of the message's non-empty
   * fields.
   */
  messages: Record<string, string>;
}

/** Returns a key up to and including its first slash; the whole key if it has none. */
function keyPrefix(key: string): string {
  const slash = key.indexOf('/');
  return slash < 0 ? key : key.slice(0, slash + 1);
}

/** Returns the key prefix, followed by the job's state if the value is that of an ended job. */
function valueForm(key: string, value: unknown): string {
  const prefix = keyPrefix(key);
  return prefix === 'final/' ? `${prefix} ${(value as { state: string }).state}` : prefix;
}

function nonEmptyFieldNames(frame: Uint8Array): string {
  const fields = Object.entries(decodePeerMessage(Buffer.from(frame)));
  const nonEmptyFields = fields.filter(([, value]) =>
    Array.isArray(value) ? value.length > 0 : value !== null,
  );
  return nonEmptyFields.map(([name]) => name).join('+');
}

/** Keeps the longest example of each form that the controllers write or send. */
class StoredFormsCollector extends TrafficDigest {
  readonly forms: StoredForms = { values: {}, records: {}, messages: {} };

  override add(kind: string, details: readonly (string | number)[], bytes: Uint8Array): void {
    super.add(kind, details, bytes);
    if (kind === 'frame sent') this.addMessage(bytes);
    else if (kind === 'call' && details.includes('/multi'))
      for (const { set, value } of (decodeBody(Buffer.from(bytes)) as Transaction).writes ?? [])
        if (set !== undefined) this.addValue(set, value);
  }

  private addMessage(frame: Uint8Array): void {
    const { messages } = this.forms;
    const fields = nonEmptyFieldNames(frame);
    const hex = Buffer.from(frame).toString('hex');
    if (hex.length > (messages[fields]?.length ?? 0)) messages[fields] = hex;
  }

  private addValue(key: string, value: unknown): void {
    const { values } = this.forms;
    const bytes = encodeBody(value).toString('hex');
    const form = valueForm(key, value);
    if (bytes.length > (values[form]?.bytes.length ?? 0)) values[form] = { key, bytes };
    if (form === 'page/') this.addRecords((value as { entries: (string | null)[] }).entries);
  }

  private addRecords(entries: readonly (string | null)[]): void {
    const { records } = this.forms;
    for (let i = 0; i + 1 < entries.length; i += 2) {
      const key = entries[i] ?? '';
      const text = entries[i + 1] ?? null;
      const form = text === null ? `${keyPrefix(key)} deleted` : keyPrefix(key);
      const json = text ?? 'null';
      if (json.length > (records[form]?.text.length ?? 0)) records[form] = { key, text: json };
    }
  }
}

/** Runs the scenarios and returns the forms that the current version stores and sends. */
export async function storedFormsOf(scenarios: readonly DigestScenario[]): Promise<StoredForms> {
  const collector = new StoredFormsCollector();
  for (const scenario of scenarios) await playDigestScenario(scenario, collector);
  return collector.forms;
}
