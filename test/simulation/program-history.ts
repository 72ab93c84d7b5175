/** Loads older program versions from the git history, to run them together with the current one. */
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

/** An older program version that runs together with the current one. */
export interface OlderVersion {
  /** The name of the version in test titles. */
  name: string;
  /**
   * Whether the version supports jobs of the kind `service` and keeps its writes within the
   * announced upcoming limits of the state store.
   */
  supportsServicesAndLimits: boolean;
  version: ProgramVersion;
}

/** An older version, or the reason why it is not available. */
export type VersionLookup =
  { name: string; older: OlderVersion } | { name: string; reason: string };

/** The commit of the previous landing on the main branch. */
const PREVIOUS_LANDING = '41e660f42774fdcc4b541cb925a56407228d98fd';

/** The commit that introduced services and the announcement of upcoming state store limits. */
const SERVICES_AND_LIMITS_SINCE = 'f1ae35564a838d29cfab08cf281fba7d5f513b43';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Returns the commit that deploy/service.toml gives as `production`, or HEAD if it gives none. */
function productionCommit(): string {
  const { production } = parse(readFileSync(join(root, 'deploy', 'service.toml'), 'utf8'));
  if (production === undefined) return 'HEAD';
  if (typeof production !== 'string')
    throw new Error('deploy/service.toml: production must be a string with a commit');
  return production;
}

/** Returns the commits to run with the current version, and their names in test titles. */
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

/**
 * Extracts a commit's sources below target/ and returns their directory. The directory is renamed
 * into place when it is complete, so that a partial directory is never used.
 */
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
    // Another process may have extracted the same commit in the meantime.
    rmSync(partialDirectory, { recursive: true });
    if (!existsSync(directory)) throw err;
  }
  return directory;
}

/** Loads the program of a commit in addition to the current one. */
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

/** Returns whether the commit is or descends from `SERVICES_AND_LIMITS_SINCE`. */
function includesServicesAndLimits(commit: string): boolean {
  return (
    git('rev-list', '--max-count=1', `${SERVICES_AND_LIMITS_SINCE}^!`, `^${commit}`).length === 0
  );
}

async function findVersion(name: string, revision: string): Promise<VersionLookup> {
  let commit: string;
  let supportsServicesAndLimits: boolean;
  try {
    commit = git('rev-parse', '--verify', `${revision}^{commit}`).toString().trim();
    supportsServicesAndLimits = includesServicesAndLimits(commit);
  } catch (err) {
    const { message } = err as Error;
    return {
      name,
      reason: `needs a git history that contains commit ${revision}: ${message.trim()}`,
    };
  }
  const version = await load(name, commit);
  return { name, older: { name, supportsServicesAndLimits, version } };
}

/**
 * Looks up the older versions. A version counts as unavailable only if git does not have its
 * commit. If the commit exists but fails to load, the function throws.
 */
export async function olderVersions(): Promise<VersionLookup[]> {
  const lookups: VersionLookup[] = [];
  for (const { name, commit } of olderCommits()) lookups.push(await findVersion(name, commit));
  return lookups;
}
