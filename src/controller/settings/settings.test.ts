import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import {
  platformToml,
  defaultPlatformOptions,
  type PlatformOptions,
} from '../../../test/platform.js';

import { memoryWarning } from '../runtime/heap-budget.js';
import { readPlatform } from './platform.js';
import { defaultProperties, formatProperties, readProperties } from './properties.js';
import { SettingsError } from './settings-error.js';
import { Settings } from './settings.js';

describe('properties file', () => {
  it('is shipped with the default and the description of every property', () => {
    const shipped = readFileSync(
      new URL('../../../deploy/bitternvale.properties', import.meta.url),
      'utf8',
    );
    assert.equal(shipped, formatProperties());
    assert.deepEqual(readProperties(shipped), defaultProperties());
  });

  const invalid: [string, string, RegExp][] = [
    ['an unknown key', 'no.such.key = 1', /no\.such\.key: unknown key/],
    ['a value that is not a number', 'fleet.strikes = many', /fleet\.strikes: expected a number/],
    ['a number out of range', 'fleet.strikes = 1e9', /fleet\.strikes: expected a number/],
  ];
  for (const [defect, source, message] of invalid)
    it(`with ${defect} is rejected with a SettingsError that names the key`, () =>
      assert.throws(
        () => readProperties(source),
        (error) => error instanceof SettingsError && message.test(error.message),
      ));
});

describe('platform settings', () => {
  const hosts = ['kiln-0', 'kiln-1'];
  const tomlWith = (overrides: Partial<PlatformOptions>): string =>
    platformToml(hosts, 'kiln-0', { ...defaultPlatformOptions, ...overrides });
  const readSettings = (source: string): Settings =>
    new Settings(readPlatform(source), defaultProperties());
  const teamToml = (fields: string): string => `[[params.teams]]\nname = "red"\n${fields}\n`;

  const contradictions: [string, string, RegExp][] = [
    [
      'a lease below the heartbeat interval',
      tomlWith({ leaseS: 2 }),
      /^params\.workers\.lease_s: /,
    ],
    ['a lease of one heartbeat interval', tomlWith({ leaseS: 3 }), /^params\.workers\.lease_s: /],
    [
      'a cancel_s that is too short for the lease',
      tomlWith({ cancelDeadlineS: 26 }),
      /^params\.workers\.cancel_s: /,
    ],
    [
      'a value size too small for any record',
      tomlWith({ valueKb: 0.5 }),
      /^params\.state\.value_kb: /,
    ],
    ['a transaction size limit of one write', tomlWith({ txnOps: 1 }), /^params\.state\.txn_ops: /],
    [
      'a cap of GPUs below the guarantee',
      tomlWith({ teamsToml: teamToml('gpus = 9\ngpus_max = 8') }),
      /^params\.teams\.0\.gpus_max: /,
    ],
    [
      'a cap of CPUs below the guarantee',
      tomlWith({ teamsToml: teamToml('cpus = 9.0\ncpus_max = 8.0') }),
      /^params\.teams\.0\.cpus_max: /,
    ],
    [
      'a peer with the same name as the host',
      tomlWith({}).replaceAll('kiln-1', 'kiln-0'),
      /^peers\.0\.host_name: /,
    ],
  ];
  for (const [contradiction, source, message] of contradictions)
    it(`with ${contradiction} are rejected with one line that names the field`, () =>
      assert.throws(
        () => readSettings(source),
        (error) =>
          error instanceof SettingsError &&
          message.test(error.message) &&
          !error.message.includes('\n'),
      ));

  it('accept a team without caps, caps equal to the guarantee, and unknown fields', () => {
    const teams = teamToml('gpus = 9') + teamToml('gpus = 8\ngpus_max = 8\nspare = "x"');
    const source = tomlWith({ teamsToml: teams }).replace(
      '[params.quota]',
      '[params.quota]\nmagic = [1]',
    );
    assert.equal(readSettings(`novelty = 1\n${source}`).platform.teams.length, 2);
  });

  // Guards against rejecting a deployment whose cancel_s is not much longer than its lease_s: with a shorter
  // leader lease its settings are valid.
  it('result in a shorter leader lease if cancel_s leaves little time', () => {
    const defaultLeaseMs = readSettings(tomlWith({})).leaderLeaseMs;
    const shortCancel = readSettings(
      tomlWith({ leaseS: 6, cancelDeadlineS: 12, heartbeatIntervalS: 1 }),
    );
    assert.equal(
      defaultLeaseMs,
      defaultPlatformOptions.leaseS * 1000 * shortCancel.get('leadership.lease.ratio'),
    );
    assert.ok(shortCancel.leaderLeaseMs < 6000 * shortCancel.get('leadership.lease.ratio'));
    assert.ok(shortCancel.leaderLeaseMs * 2 <= shortCancel.maxWatchStalenessMs + 1);
    assert.ok(
      shortCancel.maxWatchStalenessMs + 6000 + 4000 < 12_000,
      'staleness, worker lease and response time limit add up to less than cancel_s',
    );
  });

  it('cause a warning if the memory of the process is too small for the heap', () => {
    const warning = (ramMb: number) => memoryWarning(readPlatform(tomlWith({ ramMb })).quota);
    assert.equal(warning(146), null);
    assert.match(warning(100) ?? '', /^params\.quota\.ram_mb: 100 /);
  });
});
