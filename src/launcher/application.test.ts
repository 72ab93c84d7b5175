import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { parse } from 'smol-toml';
import { cachePath, compileApplication, createCache } from './application.js';

describe("the application's code cache", () => {
  const directory = mkdtempSync(join(tmpdir(), 'bitternvale-'));
  after(() => rmSync(directory, { recursive: true }));

  function writeBundle(name: string, source: string): string {
    const file = join(directory, name);
    writeFileSync(file, source);
    return file;
  }

  it('is accepted for the bundle that it was made from', () => {
    const file = writeBundle('same.cjs', 'module.exports = { answer: () => 42 };');
    writeFileSync(cachePath(file), createCache(file));
    assert.equal(compileApplication(file).cachedDataRejected, false);
  });

  // Each bundle has a source of its own: V8 compiles the same source only once in a process.
  it('is rejected for another bundle', () => {
    const file = writeBundle('other.cjs', 'module.exports = {};');
    writeFileSync(cachePath(file), createCache(file));
    writeFileSync(file, 'module.exports = { longer: true };');
    assert.equal(compileApplication(file).cachedDataRejected, true);
  });

  it('is rejected where it is corrupt, and not needed where it is missing', () => {
    const corrupt = writeBundle('corrupt.cjs', 'module.exports = { corrupt: true };');
    writeFileSync(cachePath(corrupt), Buffer.alloc(10));
    assert.equal(compileApplication(corrupt).cachedDataRejected, true);
    const missing = writeBundle('missing.cjs', 'module.exports = { missing: true };');
    assert.equal(compileApplication(missing).cachedDataRejected, undefined);
  });

  // The cache was refused without a word where `run` set flags of V8 that the build did not set.
  it('is accepted in a process that is started as deploy/service.toml says', () => {
    const root = fileURLToPath(new URL('../../', import.meta.url));
    const deploy = parse(readFileSync(join(root, 'deploy', 'service.toml'), 'utf8'));
    const [node, ...nodeArguments] = (deploy['run'] as string).split(' ');
    assert.equal(node, 'node');
    const options = nodeArguments.slice(0, nodeArguments.indexOf('target/main.cjs'));
    const file = writeBundle('deployed.cjs', 'module.exports = { answer: () => 42 };');
    writeFileSync(cachePath(file), createCache(file));
    const childSource = `
      const { readFileSync } = require('node:fs');
      const { wrap } = require('node:module');
      const { Script } = require('node:vm');
      const file = ${JSON.stringify(file)};
      const cachedData = readFileSync(${JSON.stringify(cachePath(file))});
      const script = new Script(wrap(readFileSync(file, 'utf8')), { filename: file, cachedData });
      process.stdout.write(String(script.cachedDataRejected));`;
    const { stdout } = spawnSync(process.execPath, [...options, '-e', childSource], {
      encoding: 'utf8',
    });
    assert.equal(stdout, 'false');
  });
});
