import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import { defaultPlatformOptions, platformToml } from '../../test/platform.js';
import { checkConfig } from './check-config.js';
import { CommandError } from './command-error.js';
import { loadSettings, readJsonFile } from './input-files.js';

const directory = mkdtempSync(join(tmpdir(), 'bitternvale-'));
after(() => rmSync(directory, { recursive: true }));

/** Writes a file and returns its path. */
function writeTestFile(name: string, content: string): string {
  const path = join(directory, name);
  writeFileSync(path, content);
  return path;
}

const platformSource = platformToml(['kiln-0', 'kiln-1'], 'kiln-0', defaultPlatformOptions);
const configPath = writeTestFile('settings.toml', platformSource);

describe('loadSettings', () => {
  const missingPath = join(directory, 'absent.toml');
  const invalidPath = writeTestFile('invalid.toml', platformSource.replace(/^site .*/m, ''));
  const shortCancelPath = writeTestFile(
    'short.toml',
    platformSource.replace(/^cancel_s .*/m, 'cancel_s = 26.0'),
  );
  const invalidPropertiesPath = writeTestFile('invalid.properties', 'fleet.strikes = many');
  const cases: [string, Parameters<typeof loadSettings>[0], string][] = [
    ['a missing file', { config: missingPath }, `${missingPath}: ENOENT`],
    [
      'the file and the invalid field',
      { config: invalidPath },
      `${invalidPath}: site: expected a non-empty string`,
    ],
    [
      'the file and the invalid property',
      { config: configPath, properties: invalidPropertiesPath },
      `${invalidPropertiesPath}: fleet.strikes: expected a number`,
    ],
    [
      'a field that contradicts another one',
      { config: shortCancelPath },
      'params.workers.cancel_s: 26 is too short',
    ],
  ];
  for (const [namedItem, files, message] of cases)
    it(`throws a CommandError that names ${namedItem}`, () =>
      assert.throws(
        () => loadSettings(files),
        (error) => error instanceof CommandError && error.message.startsWith(message),
      ));
});

describe('checkConfig', () => {
  it('reports values derived from the settings, one per line', () => {
    const lines = checkConfig(loadSettings({ config: configPath })).split('\n');
    assert.equal(lines[0], 'host kiln-0, 1 peers, 0 teams');
    assert.match(lines[1] ?? '', /^leader lease \d+ ms, renewed every \d+ ms, used for \d+ ms$/);
    assert.equal(lines.length, 6);
    assert.equal(lines.at(-1), '');
  });
});

describe('readJsonFile', () => {
  it('returns the parsed value', () => {
    assert.deepEqual(readJsonFile(writeTestFile('job.json', '{"id":"req-1"}')), { id: 'req-1' });
  });

  it('throws a CommandError that names a file that is not JSON', () => {
    assert.throws(
      () => readJsonFile(configPath),
      new CommandError(`${configPath}: not valid JSON`),
    );
  });
});
