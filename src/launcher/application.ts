/** Compiles and runs the bundled application, using its V8 code cache if that is valid. */
import { readFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import { dirname } from 'node:path';
import { setFlagsFromString } from 'node:v8';
import { Script } from 'node:vm';

/** Name of the bundle, which is in the same directory as the launcher. */
export const APPLICATION_FILE = 'application.cjs';

/** Suffix that is appended to a bundle's name to get the name of its code cache file. */
const CACHE_SUFFIX = '.cache';

/** Type of the function that `Module.wrap` puts around the source of a CommonJS module. */
type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  directory: string,
) => void;

/** Returns the path of a bundle's code cache. */
export function cachePath(file: string): string {
  return file + CACHE_SUFFIX;
}

function readCache(file: string): Buffer | undefined {
  try {
    return readFileSync(cachePath(file));
  } catch {
    // The cache only makes the start faster: the program also starts without it.
    return undefined;
  }
}

/**
 * Compiles a bundle, using its code cache if it has one. V8 rejects a cache that was made by another version
 * of V8, with other flags or from another source, and then compiles the source.
 */
export function compileApplication(file: string): Script {
  const cachedData = readCache(file);
  return new Script(Module.wrap(readFileSync(file, 'utf8')), {
    filename: file,
    ...(cachedData === undefined ? {} : { cachedData }),
  });
}

/** Runs a bundle as a CommonJS module. */
export function loadApplication(file: string): void {
  const moduleFunction = compileApplication(file).runInThisContext() as ModuleFunction;
  const module = { exports: {} };
  moduleFunction(module.exports, createRequire(file), module, file, dirname(file));
}

/**
 * Creates the code cache of a bundle, with every function compiled. V8 accepts a cache only if the flags of the
 * process that uses it equal the flags of this process when it calls `createCachedData`. Lazy compilation, the
 * default, is therefore switched on again before the call.
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
