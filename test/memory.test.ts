/** The memory of a controller: the heap keeps within what the settings give, in small places and large. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
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
if (typeof run !== 'string') throw new Error('deploy/service.toml: run: no text');
const words = run.split(' ');
const options = words.slice(1, words.indexOf('target/main.cjs'));

/** The module under test, for a process that holds nothing else. */
const [bundled] = buildSync({
  entryPoints: [join(root, 'src/controller/runtime/heap-budget.ts')],
  ...{ bundle: true, write: false, platform: 'node', format: 'cjs' },
}).outputFiles;

/**
 * Keeps `liveMb` alive and replaces all of it again and again, as a leader replaces its records; prints
 * the peak of memory in MB, without the files that the process maps: the program itself, which is
 * shared and read back.
 */
function churn(ramMb: number, liveMb: number): string {
  return `
    const module = { exports: {} };
    ${bundled?.text ?? ''}
    const budget = new module.exports.HeapBudget({ ramMb: ${ramMb} });
    const { readFileSync } = require('node:fs');
    const anonymousMb = () => Number(/RssAnon:\\s+(\\d+)/.exec(readFileSync('/proc/self/status', 'utf8'))[1]) / 1024;
    const row = (i) => ({ name: 'k' + i, list: [i, i + 1] });
    const rows = [];
    let peakMb = 0;
    const look = () => { budget.adjust(); peakMb = Math.max(peakMb, anonymousMb()); };
    while (process.memoryUsage().heapUsed < ${liveMb} * 2 ** 20) {
      for (let i = 0; i < 1000; i++) rows.push(row(i));
      look();
    }
    for (let i = 0; i < rows.length * 2; i++) {
      rows[(i * 7919) % rows.length] = row(i);
      if (i % 5000 === 0) look();
    }
    process.stdout.write(String(Math.round(peakMb)));`;
}

function peakMb(ramMb: number, liveMb: number): number {
  const controllerProcess = spawnSync(process.execPath, [...options, '-e', churn(ramMb, liveMb)], {
    encoding: 'utf8',
  });
  assert.equal(controllerProcess.status, 0, controllerProcess.stderr);
  return Number(controllerProcess.stdout);
}

describe('memory of a controller', () => {
  const directory = mkdtempSync(join(tmpdir(), 'bitternvale-'));
  after(() => rmSync(directory, { recursive: true }));

  /** Checks the settings of a place with so much memory, with the deployed options. */
  function checkConfig(ramMb: number) {
    const config = join(directory, `${ramMb}.toml`);
    writeFileSync(config, platformToml(['kiln-0'], 'kiln-0', { ...defaultPlatformOptions, ramMb }));
    const program = ['--import', 'tsx', 'src/main.ts', 'check-config', '--config', config];
    return spawnSync(process.execPath, [...options, ...program], { cwd: root, encoding: 'utf8' });
  }

  it('is printed by check-config, and follows the settings', () => {
    const small = checkConfig(146);
    assert.equal(small.status, 0);
    assert.match(small.stdout, /^heap keeps at most 52 MB of 146 MB$/m);
    assert.match(checkConfig(2000).stdout, /^heap keeps at most 1257 MB of 2000 MB$/m);
  });

  it('holds in a small place while the heap is nearly full and all of it changes', () => {
    const ramMb = 146;
    const liveMb = oldGenerationMb({ ramMb }) * 0.85;
    const peak = peakMb(ramMb, liveMb);
    assert.ok(peak < ramMb, `${peak} MB of ${ramMb} MB`);
  });

  // The heap of a leader with thousands of machines was bounded at 80 MB, whatever the settings gave.
  it('lets the heap use the memory of a large place', () => {
    const ramMb = 400;
    const liveMb = oldGenerationMb({ ramMb }) * 0.7;
    const peak = peakMb(ramMb, liveMb);
    assert.ok(peak > liveMb && peak < ramMb, `${peak} MB of ${ramMb} MB`);
  });

  it('grows less the less is free', () => {
    assert.equal(growthPercent(10, 80), 100);
    assert.equal(growthPercent(50, 80), 60);
    assert.equal(growthPercent(79, 80), 10);
    assert.equal(growthPercent(200, 80), 10);
  });
});
