import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, mkdtempSync, readFileSync, renameSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { parse } from 'smol-toml';
import type { Version } from './version.js';

type ControllerModule = typeof import('../../src/controller/controller.js');
type PlatformModule = typeof import('../../src/controller/settings/platform.js');
type PropertiesModule = typeof import('../../src/controller/settings/properties.js');
type SettingsModule = typeof import('../../src/controller/settings/settings.js');

/** The version that serves the operators now, or why it can't be had. */
export type Production = { version: Version } | { version: null; reason: string };

const root = fileURLToPath(new URL('../../', import.meta.url));

/** The commit named in deploy/service.toml; where none is, the one that is checked out. */
function named(): string {
  const { production } = parse(readFileSync(join(root, 'deploy', 'service.toml'), 'utf8'));
  if (production === undefined) return 'HEAD';
  if (typeof production !== 'string') throw new Error('deploy/service.toml: production: no text');
  return production;
}

function git(...args: string[]): Buffer {
  const stdio: ['ignore', 'pipe', 'pipe'] = ['ignore', 'pipe', 'pipe'];
  return execFileSync('git', args, { cwd: root, maxBuffer: 2 ** 28, stdio });
}

/** Puts the commit's sources below target/, at once or not at all, and says where. */
function extracted(commit: string): string {
  const target = join(root, 'target');
  const place = join(target, `production-${commit}`);
  if (existsSync(place)) return place;
  const input = git('archive', commit, 'src');
  mkdirSync(target, { recursive: true });
  const part = mkdtempSync(join(target, 'part-'));
  execFileSync('tar', ['-x', '-C', part], { input });
  try {
    renameSync(part, place);
  } catch (err) {
    // Another run was faster.
    rmSync(part, { recursive: true });
    if (!existsSync(place)) throw err;
  }
  return place;
}

async function load(commit: string): Promise<Version> {
  const base = pathToFileURL(join(extracted(commit), 'src', 'controller')).href;
  const { Controller } = (await import(`${base}/controller.ts`)) as ControllerModule;
  const platform = (await import(`${base}/settings/platform.ts`)) as PlatformModule;
  const properties = (await import(`${base}/settings/properties.ts`)) as PropertiesModule;
  const { Settings } = (await import(`${base}/settings/settings.ts`)) as SettingsModule;
  return {
    ...{ name: 'production', Controller, Settings, readPlatform: platform.readPlatform },
    properties: properties.defaultProperties(),
  };
}

/** Only what git doesn't have is a reason to do without; a commit that it has must load. */
export async function production(): Promise<Production> {
  const name = named();
  let commit: string;
  try {
    commit = git('rev-parse', '--verify', `${name}^{commit}`).toString().trim();
  } catch (err) {
    const { message } = err as Error;
    return { version: null, reason: `needs the history with commit ${name}: ${message.trim()}` };
  }
  return { version: await load(commit) };
}
