/** Memory use of a controller: it stays below the settings' memory quota, whether the quota is small or large. */
import assert from 'node:assert/strict';
import { spawnSync, type SpawnSyncReturns } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { buildSync } from 'esbuild';
import { parse } from 'smol-toml';
import { growthPercent, oldGenerationMb } from '../src/controller/runtime/heap-budget.js';
import { platformToml, defaultPlatformOptions } from './platform.js';

const root = fileURLToPath(new URL('../', import.meta.url));
const { run } = parse(readFileSync(join(root, 'deploy', 'service.toml'), 'utf8'));
if (typeof run !== 'string') throw new Error('deploy/service.toml: run is missing or not a string');
const commandLine = run.split(' ');
/** The options of Node.js in the deployed command line. */
const nodeOptions = commandLine.slice(1, commandLine.indexOf('target/main.cjs'));

/** The module under test, bundled for a process that loads no other code. */
const [heapBudgetBundle] = buildSync({
  entryPoints: [join(root, 'src/controller/runtime/heap-budget.ts')],
  ...{ bundle: true, write: false, platform: 'node', format: 'cjs' },
}).outputFiles;

/**
 * Returns a program that fills the heap with `liveMb` of live objects and then replaces all of them, as a
 * leader replaces its records. It prints its peak anonymous memory in MB. Mapped files are left out: they
 * hold the program itself, whose pages are shared and can be read again.
 */
function memoryLoad(ramMb: number, liveMb: number): string {
  return `
    const module = { exports: {} };
    ${heapBudgetBundle?.text ?? ''}
    const budget = new module.exports.HeapBudget({ ramMb: ${ramMb} });
    const { readFileSync } = require('node:fs');
    const anonymousMb = () => Number(/RssAnon:\\s+(\\d+)/.exec(readFileSync('/proc/self/status', 'utf8'))[1]) / 1024;
    const row = (i) => ({ name: 'k' + i, list: [i, i + 1] });
    const rows = [];
    let peakMb = 0;
    const measure = () => { budget.adjust(); peakMb = Math.max(peakMb, anonymousMb()); };
    while (process.memoryUsage().heapUsed < ${liveMb} * 2 ** 20) {
      for (let i = 0; i < 1000; i++) rows.push(row(i));
      measure();
    }
    for (let i = 0; i < rows.length * 2; i++) {
      rows[(i * 7919) % rows.length] = row(i);
      if (i % 5000 === 0) measure();
    }
    process.stdout.write(String(Math.round(peakMb)));`;
}

/** Returns the peak memory in MB of a process with the given quota and live objects. */
function peakMbOf(ramMb: number, liveMb: number): number {
  const result = spawnSync(process.execPath, [...nodeOptions, '-e', memoryLoad(ramMb, liveMb)], {
    encoding: 'utf8',
  });
  assert.equal(result.status, 0, result.stderr);
  return Number(result.stdout);
}

describe('the memory of a controller', () => {
  const directory = mkdtempSync(join(tmpdir(), 'bitternvale-'));
  after(() => rmSync(directory, { recursive: true }));

  /** Runs check-config on settings with the given quota, with the deployed options of Node.js. */
  function checkConfig(ramMb: number): SpawnSyncReturns<string> {
    const config = join(directory, `${ramMb}.toml`);
    writeFileSync(config, platformToml(['kiln-0'], 'kiln-0', { ...defaultPlatformOptions, ramMb }));
    const program = ['--import', 'tsx', 'src/main.ts', 'check-config', '--config', config];
    return spawnSync(process.execPath, [...nodeOptions, ...program], {
      cwd: root,
      encoding: 'utf8',
    });
  }

  it('is bounded by a heap limit that grows with the quota and that check-config prints', () => {
    const smallQuota = checkConfig(146);
    assert.equal(smallQuota.status, 0);
    assert.match(smallQuota.stdout, /^heap keeps at most 52 MB of 146 MB$/m);
    assert.match(checkConfig(2000).stdout, /^heap keeps at most 1257 MB of 2000 MB$/m);
  });

  it('stays below a small quota while the heap is nearly full and all of it is replaced', () => {
    const ramMb = 146;
    const liveMb = oldGenerationMb({ ramMb }) * 0.85;
    const peak = peakMbOf(ramMb, liveMb);
    assert.ok(peak < ramMb, `${peak} MB of ${ramMb} MB`);
  });

  // Guards against a fixed heap limit: the heap of a leader with thousands of machines was once limited to
  // 80 MB, whatever quota the settings gave.
  it('holds the live objects and stays below a large quota', () => {
    const ramMb = 400;
    const liveMb = oldGenerationMb({ ramMb }) * 0.7;
    const peak = peakMbOf(ramMb, liveMb);
    assert.ok(peak > liveMb && peak < ramMb, `${peak} MB of ${ramMb} MB`);
  });

  it('grows by a smaller percentage when the heap is fuller', () => {
    const cases: [number, number][] = [
      [10, 100],
      [50, 60],
      [79, 10],
      [200, 10],
    ];
    for (const [liveMb, percent] of cases) assert.equal(growthPercent(liveMb, 80), percent);
  });
});
