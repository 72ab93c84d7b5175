import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { fleetFixture, settings } from '../../../test/fleet-fixture.js';
import type { StateStoreClient } from '../store/client.js';
import { readCatalogue } from '../wire/cloud.js';
import { MachineTypeCatalogue } from './machine-type-catalogue.js';

/** Slightly longer than the time after which the catalogue is refreshed. */
const REFRESH_MS = settings.workerLeaseMs * 3 + 1;

describe('MachineTypeCatalogue', () => {
  const body = { models: [{ name: 'plain', cores: 8, mem_gb: 64, halls: ['a'] }] };

  /** Loads a catalogue while the state store has none, so that the types are read from the cloud. */
  function loadCatalogue() {
    const { runtime, eventLoop } = fleetFixture();
    const client = {
      budget: { requestTokens: { forceTake: () => undefined } },
      read: (_key: string, _timeoutMs: number, done: (result: unknown) => void) =>
        done({ kind: 'ok', value: null }),
    };
    const catalogue = new MachineTypeCatalogue(
      eventLoop,
      settings,
      client as unknown as StateStoreClient,
      () => null,
    );
    catalogue.load();
    return { runtime, catalogue };
  }

  it('requests the types from the cloud until it has them, and again once they are too old', () => {
    const { runtime, catalogue } = loadCatalogue();
    runtime.answer(503);
    assert.equal(catalogue.types, null);
    runtime.advance(1000);
    assert.equal(runtime.answer(200, body).path, '/catalog');
    assert.deepEqual(catalogue.types, readCatalogue(body));
    catalogue.refreshIfDue();
    assert.equal(runtime.calls.length, 0);
    runtime.advance(REFRESH_MS);
    catalogue.refreshIfDue();
    catalogue.refreshIfDue();
    assert.equal(runtime.calls.length, 1);
  });

  it('keeps the known types when the cloud sends a malformed response', () => {
    const { runtime, catalogue } = loadCatalogue();
    runtime.answer(200, body);
    runtime.advance(REFRESH_MS);
    catalogue.refreshIfDue();
    runtime.answer(200, 'malformed');
    assert.deepEqual(catalogue.types, readCatalogue(body));
  });
});
