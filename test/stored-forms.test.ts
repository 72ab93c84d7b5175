/**
 * The formats of stored records and of messages between controllers, byte for byte as version 0.1.0 writes
 * them. They must not change: a leader reads records that an older version wrote, and controllers of
 * different versions exchange messages during a rollout.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { EventLoop } from '../src/controller/runtime/event-loop.js';
import { CompletionRecords } from '../src/controller/jobs/completion-records.js';
import { terminalRecord, readTerminalState } from '../src/controller/jobs/job-records.js';
import { LearnedStatistics } from '../src/controller/leader/learned-statistics.js';
import { readLeaderRecord, writeLeaderRecord } from '../src/controller/leadership/leader-record.js';
import {
  decodeLeaseGrantRequest,
  encodeLeaseGrantRequest,
} from '../src/controller/leadership/lease-grant-request.js';
import { decodePeerMessage, encodePeerMessage } from '../src/controller/peers/message-codec.js';
import { GangReservations } from '../src/controller/placement/placers/gang-reservations.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { Settings } from '../src/controller/settings/settings.js';
import type { RecordStore } from '../src/controller/store/record-store.js';
import { encodePage } from '../src/controller/store/page-codec.js';
import { PageTable } from '../src/controller/store/page-table.js';
import { decodeBody, encodeBody } from '../src/controller/wire/cbor.js';
import { readCatalogue, writeCatalogue } from '../src/controller/wire/cloud.js';
import { readJobSpec, writeJobSpec } from '../src/controller/wire/jobs.js';
import { MachineStore } from '../src/controller/workers/machine-store.js';
import { MachineRegistry } from '../src/controller/workers/machine-registry.js';
import { FencingTokenSync } from '../src/controller/workers/fencing-token-sync.js';
import { restoreAssignment } from '../src/controller/model/entities.js';
import { standalonePlatform } from './platform.js';
import { digestScenarios } from './simulation/digest/digest-scenarios.js';
import { storedFormsOf, type StoredForms } from './simulation/digest/stored-forms.js';
import { acceptedJob, FakeClock, idleRuntime } from './fakes.js';
import { immediateRecords } from './fake-records.js';

const FIXTURE_URL = new URL('fixtures/stored-forms.json', import.meta.url);
const fixture = JSON.parse(readFileSync(FIXTURE_URL, 'utf8')) as StoredForms;
const settings = new Settings(standalonePlatform(), defaultProperties());
/** Size limit of a value at the state store, in bytes. */
const VALUE_BYTES = 16 * 1024;

function decodedValue(kind: string): unknown {
  return decodeBody(Buffer.from(fixture.values[kind]?.bytes ?? '', 'hex'));
}

function assertSameBytes(kind: string, value: unknown): void {
  assert.equal(encodeBody(value).toString('hex'), fixture.values[kind]?.bytes);
}

function parsedRecord(kind: string): { key: string; value: unknown; text: string } {
  const { key = '', text = '' } = fixture.records[kind] ?? {};
  return { key, text, value: JSON.parse(text) as unknown };
}

/** A wall-clock time, in milliseconds, that is later than every time in the fixture. */
const WALL_CLOCK_MS = 1.8e12;

/** Creates a machine store over the given records, and the registry into which it restores machines. */
function machineStore(records: RecordStore): { registry: MachineRegistry; store: MachineStore } {
  const clock = new FakeClock(WALL_CLOCK_MS);
  const eventLoop = new EventLoop(idleRuntime(clock), clock.log);
  const tokenSync = new FencingTokenSync(eventLoop, 1);
  const registry = new MachineRegistry(eventLoop, settings, tokenSync, () => undefined);
  const store = new MachineStore(eventLoop, settings, records, registry, {
    taskRestored: (machine, task, assignedAt) => {
      const assignment = restoreAssignment(task, null, machine, assignedAt);
      machine.assignments.set(assignment.name, assignment);
    },
    assignmentsRecorded: () => undefined,
  });
  return { registry, store };
}

describe('the formats that the present version writes', () => {
  it('match the fixture byte for byte', async () => {
    assert.deepEqual(await storedFormsOf(digestScenarios.slice(3, 5)), fixture);
  });

  it('all have an example in the fixture', () => {
    const values = ['catalogue', 'final/ cancelled', 'final/ done', 'lead', 'live/', 'page/'];
    assert.deepEqual(Object.keys(fixture.values).sort(), values);
    const records = ['h/', 'i/', 'learned/', 'm/', 'p/'];
    const kinds = Object.keys(fixture.records).filter((kind) => !kind.endsWith(' deleted'));
    assert.deepEqual(kinds.sort(), records);
    const fields = ['accepted', 'finals', 'progress', 'reply', 'request', 'status'];
    for (const field of fields) assert.ok(fixture.messages[field] !== undefined, field);
  });
});

describe('a state store value in the fixture', () => {
  it('with the leader record is read, and written to the same bytes', () => {
    const leader = readLeaderRecord(decodedValue('lead'), 7);
    assert.ok(leader !== null);
    assert.equal(leader.term, 7);
    assertSameBytes('lead', writeLeaderRecord(leader));
  });

  for (const state of ['done', 'cancelled'] as const)
    it(`with the terminal state of a ${state} job is read, and written to the same bytes`, () => {
      const value = decodedValue(`final/ ${state}`);
      assert.equal(readTerminalState(value), state);
      assertSameBytes(`final/ ${state}`, terminalRecord(state, (value as { at: number }).at));
    });

  it('with an accepted job is read, and written to the same bytes', () => {
    const { job, at } = decodedValue('live/') as { job: unknown; at: number };
    const spec = readJobSpec(job);
    assert.equal(`live/${spec.id}`, fixture.values['live/']?.key);
    assert.equal(typeof at, 'number');
    assertSameBytes('live/', { job: writeJobSpec(spec), at });
  });

  it('with the machine types is read, and written to the same bytes', () => {
    const types = readCatalogue(decodedValue('catalogue'));
    assert.deepEqual(
      types.map(({ name }) => name),
      ['big', 'small'],
    );
    assertSameBytes('catalogue', writeCatalogue(types));
  });

  it('with a page of records is read, and written back without deleted records', () => {
    const { key = '' } = fixture.values['page/'] ?? {};
    const value = decodedValue('page/') as { seq: number; entries: (string | null)[] };
    const pages = new PageTable(() => VALUE_BYTES);
    pages.load([{ key, value, version: 3 }]);
    const page = pages.pages.get(key);
    assert.ok(page !== undefined);
    const liveEntries = value.entries.flatMap((entry, i) =>
      i % 2 === 0 && value.entries[i + 1] !== null ? [entry, value.entries[i + 1]] : [],
    );
    // Reading the page drops deletion entries, because no other page has an older value of a deleted record.
    assert.deepEqual(encodePage(page, value.seq), { seq: value.seq, entries: liveEntries });
  });
});

describe('a page record in the fixture', () => {
  it("with a machine's tasks is read, and written to the same text", () => {
    const { key, value, text } = parsedRecord('m/');
    const records = immediateRecords({ [key]: value });
    const { registry, store } = machineStore(records);
    store.restore();
    const machine = registry.getOrCreate(key.slice('m/'.length));
    assert.ok(machine.assignments.size > 1);
    records.set(key, undefined, 'deferrable');
    store.markChanged(machine);
    store.flush();
    assert.equal(JSON.stringify([...records.list('')]), `[{"key":"${key}","value":${text}}]`);
  });

  it("with a job's completed tasks is read, and written as the same value", () => {
    const { key, value, text } = parsedRecord('p/');
    const id = key.split('/')[1] ?? '';
    const tasks = Buffer.from(value as string, 'base64').length * 8;
    const job = acceptedJob({ id, tasks });
    new CompletionRecords(immediateRecords({ [key]: value }), () => undefined).load(
      new Map([[id, job]]),
    );
    assert.ok(job.doneCount > 0);
    const records = immediateRecords();
    const completions = new CompletionRecords(records, () => undefined);
    for (const [task, done] of job.done.entries()) if (done === 1) completions.add(job, task);
    completions.flush();
    assert.deepEqual([...records.list('')], [{ key, value: JSON.parse(text) as unknown }]);
  });

  it("with a machine's images is read, and written as the same value", () => {
    const { key, value } = parsedRecord('i/');
    const records = immediateRecords({ [key]: value });
    const { registry, store } = machineStore(records);
    store.restore();
    const machine = registry.getOrCreate(key.slice('i/'.length));
    assert.ok(machine.images.size > 1);
    records.set(key, undefined, 'deferrable');
    store.markImagesChanged(machine);
    store.flush();
    assert.deepEqual([...records.list('')], [{ key, value }]);
  });

  it("with a gang's reserved machines is read", () => {
    const { key, value } = parsedRecord('h/');
    const id = key.slice('h/'.length);
    const job = acceptedJob({ id, kind: 'gang' });
    const clock = new FakeClock(1000);
    const eventLoop = new EventLoop(idleRuntime(clock), clock.log);
    const records = immediateRecords({ [key]: value });
    type Parts = ConstructorParameters<typeof GangReservations>[0];
    new GangReservations({ eventLoop, records } as unknown as Parts).load({
      jobs: new Map([[id, job]]),
    });
    assert.deepEqual(job.reservation?.machines, value);
  });

  it('with the learned statistics of a class is read, and written to the same text', () => {
    const { key, value, text } = parsedRecord('learned/');
    const { since } = (value as { arrivals: { since: number } }).arrivals;
    // The process starts when the recorded arrivals start, and its monotonic clock equals the wall clock.
    const clock = new FakeClock(since);
    const statistics = new LearnedStatistics(
      new EventLoop(idleRuntime(clock), clock.log),
      settings,
    );
    clock.time += 600_000;
    statistics.load(immediateRecords({ [key]: value }), []);
    const records = immediateRecords();
    statistics.save(records);
    assert.equal(JSON.stringify([...records.list('')]), `[{"key":"${key}","value":${text}}]`);
  });
});

describe('a message between controllers in the fixture', () => {
  for (const [fields, hex] of Object.entries(fixture.messages))
    it(`with ${fields === '' ? 'no fields' : fields} is read, and written to the same bytes`, () => {
      const message = decodePeerMessage(Buffer.from(hex, 'hex'));
      const filledFields = Object.entries(message).filter(([, value]) =>
        Array.isArray(value) ? value.length > 0 : value !== null,
      );
      assert.equal(filledFields.map(([name]) => name).join('+'), fields);
      assert.equal(encodePeerMessage(message).toString('hex'), hex);
    });

  it('that requests a lease grant contains the term in CBOR', () => {
    const body = Buffer.from('a1647465726d1a0001e240', 'hex');
    assert.equal(decodeLeaseGrantRequest(body), 123_456);
    assert.deepEqual(encodeLeaseGrantRequest(123_456), body);
  });
});
