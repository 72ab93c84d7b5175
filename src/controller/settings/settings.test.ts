import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { SettingsError } from './platform.js';
import { defaultProperties, formatProperties, readProperties } from './properties.js';

describe('properties', () => {
  it('ships a file that documents every key with its default', () => {
    const shipped = readFileSync(
      new URL('../../../deploy/bitternvale.properties', import.meta.url),
      'utf8',
    );
    assert.equal(shipped, formatProperties());
    assert.deepEqual(readProperties(shipped), defaultProperties());
  });

  it('names what is wrong', () => {
    assert.throws(() => readProperties('no.such.key = 1'), /no\.such\.key: unknown key/);
    assert.throws(
      () => readProperties('fleet.strikes = many'),
      /fleet\.strikes: expected a number/,
    );
    assert.throws(() => readProperties('fleet.strikes = 1e9'), SettingsError);
  });
});
