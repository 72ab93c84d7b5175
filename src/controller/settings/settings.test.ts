import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { platformToml, defaultOptions, type PlatformOptions } from '../../../test/platform.js';

import { memoryWarning } from '../runtime/heap-budget.js';
import { readPlatform, SettingsError } from './platform.js';
import { defaultProperties, formatProperties, readProperties } from './properties.js';
import { Settings } from './settings.js';

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

describe("the platform's settings", () => {
  const hosts = ['kiln-0', 'kiln-1'];
  const text = (parts: Partial<PlatformOptions>): string =>
    platformToml(hosts, 'kiln-0', { ...defaultOptions, ...parts });
  const read = (source: string): Settings =>
    new Settings(readPlatform(source), defaultProperties());
  const team = (amounts: string): string => `[[params.teams]]\nname = "red"\n${amounts}\n`;

  const contradictions: [string, string, RegExp][] = [
    ['a lease below the report interval', text({ leaseS: 2 }), /^params\.workers\.lease_s: /],
    ['a lease of one report interval', text({ leaseS: 3 }), /^params\.workers\.lease_s: /],
    ['no time to cancel in', text({ cancelS: 26 }), /^params\.workers\.cancel_s: /],
    ['a value that holds no record', text({ valueKb: 0.5 }), /^params\.state\.value_kb: /],
    ['a transaction of one change', text({ txnOps: 1 }), /^params\.state\.txn_ops: /],
    [
      'a cap of GPUs below the guarantee',
      text({ teams: team('gpus = 9\ngpus_max = 8') }),
      /^params\.teams\.0\.gpus_max: /,
    ],
    [
      'a cap of processors below the guarantee',
      text({ teams: team('cpus = 9.0\ncpus_max = 8.0') }),
      /^params\.teams\.0\.cpus_max: /,
    ],
    ['a peer named as itself', text({}).replaceAll('kiln-1', 'kiln-0'), /^peers\.0\.host_name: /],
  ];
  for (const [what, source, line] of contradictions)
    it(`ends the start with one line on ${what}`, () =>
      assert.throws(
        () => read(source),
        (err) =>
          err instanceof SettingsError && line.test(err.message) && !err.message.includes('\n'),
      ));

  it('takes a team without caps, caps at the guarantee, and fields that it does not know', () => {
    const teams = team('gpus = 9') + team('gpus = 8\ngpus_max = 8\nspare = "x"');
    const source = text({ teams }).replace('[params.quota]', '[params.quota]\nmagic = [1]');
    assert.equal(read(`novelty = 1\n${source}`).platform.teams.length, 2);
  });

  // A place where cancel_s leaves little beside lease_s was refused, though a shorter lease fits it.
  it('shortens the lease of the leader where cancel_s leaves little time', () => {
    const usualLease = read(text({})).leaderLeaseMs;
    const short = read(text({ leaseS: 6, cancelS: 12, reportS: 1 }));
    assert.equal(usualLease, defaultOptions.leaseS * 1000 * short.get('leadership.lease.ratio'));
    assert.ok(short.leaderLeaseMs < 6000 * short.get('leadership.lease.ratio'));
    assert.ok(short.leaderLeaseMs * 2 <= short.maxWatchStalenessMs + 1);
    assert.ok(
      short.maxWatchStalenessMs + 6000 + 4000 < 12_000,
      'the bound on cancelled tasks still holds',
    );
  });

  it('tells where the heap may outgrow the memory of the process', () => {
    const warning = (ramMb: number) => memoryWarning(readPlatform(text({ ramMb })).quota);
    assert.equal(warning(146), null);
    assert.match(warning(100) ?? '', /^params\.quota\.ram_mb: 100 /);
  });
});
