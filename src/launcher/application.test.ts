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

  it('is accepted for the bundle from which it was made', () => {
    const file = writeBundle('same.cjs', 'module.exports = { answer: () => 42 };');
    writeFileSync(cachePath(file), createCache(file));
    assert.equal(compileApplication(file).cachedDataRejected, false);
  });

  // Each test uses a different source, because V8 compiles the same source only once per process.
  it('is rejected for another bundle', () => {
    const file = writeBundle('other.cjs', 'module.exports = {};');
    writeFileSync(cachePath(file), createCache(file));
    writeFileSync(file, 'module.exports = { longer: true };');
    assert.equal(compileApplication(file).cachedDataRejected, true);
  });

  it('is rejected if it is corrupt, and is not required', () => {
    const corrupt = writeBundle('corrupt.cjs', 'module.exports = { corrupt: true };');
    writeFileSync(cachePath(corrupt), Buffer.alloc(10));
    assert.equal(compileApplication(corrupt).cachedDataRejected, true);
    const missing = writeBundle('missing.cjs', 'module.exports = { missing: true };');
    assert.equal(compileApplication(missing).cachedDataRejected, undefined);
  });

  // Guards against a `run` command in deploy/service.toml that sets V8 flags which the build does not set: V8
  // then rejects the cache without reporting it.
  it('is accepted in a process started with the options of deploy/service.toml', () => {
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
