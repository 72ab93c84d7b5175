/** Compiles the bundled application, from its code cache where that is valid. */
import { readFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import { dirname } from 'node:path';
import { setFlagsFromString } from 'node:v8';
import { Script } from 'node:vm';

/** The bundle, beside the launcher. */
export const APPLICATION_FILE = 'application.cjs';

/** Suffix of a bundle's code cache file. */
const CACHE_SUFFIX = '.cache';

/** A CommonJS module as `Module.wrap` makes it. */
type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  directory: string,
) => void;

/** Path of the code cache of a bundle. */
export function cachePath(file: string): string {
  return file + CACHE_SUFFIX;
}

function readCache(file: string): Buffer | undefined {
  try {
    return readFileSync(cachePath(file));
  } catch {
    // The cache only saves time: the program also starts without it.
    return undefined;
  }
}

/** Compiles a bundle. V8 refuses a cache made by another version, with other flags or of another source. */
export function compileApplication(file: string): Script {
  const cachedData = readCache(file);
  return new Script(Module.wrap(readFileSync(file, 'utf8')), {
    filename: file,
    ...(cachedData === undefined ? {} : { cachedData }),
  });
}

/** Runs a bundle as a CommonJS module of its own. */
export function loadApplication(file: string): void {
  const moduleFunction = compileApplication(file).runInThisContext() as ModuleFunction;
  const module = { exports: {} };
  moduleFunction(module.exports, createRequire(file), module, file, dirname(file));
}

/**
 * The code cache of a bundle, with every function compiled. V8 accepts a cache only under the flags
 * that were set when it was made, so lazy compilation is on again by then.
 */
export function createCache(file: string): Buffer {
  setFlagsFromString('--no-lazy');
  let script: Script;
  try {
    script = new Script(Module.wrap(readFileSync(file, 'utf8')), { filename: file });
  } finally {
    setFlagsFromString('--lazy');
  }
  return script.createCachedData();
}
