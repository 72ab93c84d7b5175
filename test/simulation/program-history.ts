/** Versions of the project's history, loaded beside the present sources. */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, mkdtempSync, readFileSync, renameSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { parse } from 'smol-toml';
import { onOlderRuntime } from './older-runtime.js';
import type { ProgramVersion } from './program-version.js';

type ControllerModule = typeof import('../../src/controller/controller.js');
type PlatformModule = typeof import('../../src/controller/settings/platform.js');
type PropertiesModule = typeof import('../../src/controller/settings/properties.js');
type SettingsModule = typeof import('../../src/controller/settings/settings.js');

/** A version of the history that serves beside the present one. */
export interface OlderVersion {
  /** How tests name it. */
  name: string;
  /** Whether it knows jobs of the kind `service`, and writes within limits that the state store will have. */
  knowsServicesAndLimits: boolean;
  version: ProgramVersion;
}

/** An older version, or why it can't be had. */
export type VersionLookup =
  { name: string; older: OlderVersion } | { name: string; reason: string };

/** The previous landing on the main branch. */
const PREVIOUS_LANDING = '41e660f42774fdcc4b541cb925a56407228d98fd';

/** The commit with which services and the upcoming limits of the state store became known. */
const SERVICES_AND_LIMITS_SINCE = 'f1ae35564a838d29cfab08cf281fba7d5f513b43';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** The commit in production, which deploy/service.toml names; where it names none, the one checked out. */
function productionCommit(): string {
  const { production } = parse(readFileSync(join(root, 'deploy', 'service.toml'), 'utf8'));
  if (production === undefined) return 'HEAD';
  if (typeof production !== 'string') throw new Error('deploy/service.toml: production: no text');
  return production;
}

/** All commits whose versions serve beside the present one, by the names that tests give them. */
function olderCommits(): { name: string; commit: string }[] {
  return [
    { name: 'production', commit: productionCommit() },
    { name: 'previous landing', commit: PREVIOUS_LANDING },
  ];
}

function git(...args: string[]): Buffer {
  const stdio: ['ignore', 'pipe', 'pipe'] = ['ignore', 'pipe', 'pipe'];
  return execFileSync('git', args, { cwd: root, maxBuffer: 2 ** 28, stdio });
}

/** Puts the commit's sources below target/, at once or not at all, and says where. */
function extractSources(commit: string): string {
  const target = join(root, 'target');
  const directory = join(target, `version-${commit}`);
  if (existsSync(directory)) return directory;
  const input = git('archive', commit, 'src');
  mkdirSync(target, { recursive: true });
  const partialDirectory = mkdtempSync(join(target, 'part-'));
  execFileSync('tar', ['-x', '-C', partialDirectory], { input });
  try {
    renameSync(partialDirectory, directory);
  } catch (err) {
    // Another run was faster.
    rmSync(partialDirectory, { recursive: true });
    if (!existsSync(directory)) throw err;
  }
  return directory;
}

/** Loads the sources of a commit beside the present ones. */
async function load(name: string, commit: string): Promise<ProgramVersion> {
  const base = pathToFileURL(join(extractSources(commit), 'src', 'controller')).href;
  const { Controller } = (await import(`${base}/controller.ts`)) as ControllerModule;
  const platform = (await import(`${base}/settings/platform.ts`)) as PlatformModule;
  const properties = (await import(`${base}/settings/properties.ts`)) as PropertiesModule;
  const { Settings } = (await import(`${base}/settings/settings.ts`)) as SettingsModule;
  return {
    ...{
      name,
      Controller: onOlderRuntime(Controller),
      Settings,
      readPlatform: platform.readPlatform,
    },
    properties: properties.defaultProperties(),
  };
}

/** Whether the commit has what came with `SERVICES_AND_LIMITS_SINCE`. */
function knowsServicesAndLimits(commit: string): boolean {
  return (
    git('rev-list', '--max-count=1', `${SERVICES_AND_LIMITS_SINCE}^!`, `^${commit}`).length === 0
  );
}

async function findVersion(name: string, revision: string): Promise<VersionLookup> {
  let commit: string;
  let hasServicesAndLimits: boolean;
  try {
    commit = git('rev-parse', '--verify', `${revision}^{commit}`).toString().trim();
    hasServicesAndLimits = knowsServicesAndLimits(commit);
  } catch (err) {
    const { message } = err as Error;
    return { name, reason: `needs the history with commit ${revision}: ${message.trim()}` };
  }
  const version = await load(name, commit);
  return { name, older: { name, knowsServicesAndLimits: hasServicesAndLimits, version } };
}

/**
 * The older versions that are played. Only what git doesn't have is a reason to do without; a commit
 * that it has must load.
 */
export async function olderVersions(): Promise<VersionLookup[]> {
  const lookups: VersionLookup[] = [];
  for (const { name, commit } of olderCommits()) lookups.push(await findVersion(name, commit));
  return lookups;
}
