/** Reads the files passed to commands: the platform's settings, the operators' properties, and jobs. */
import { readFileSync } from 'node:fs';
import { readPlatform } from '../controller/settings/platform.js';
import { defaultProperties, readProperties } from '../controller/settings/properties.js';
import { SettingsError } from '../controller/settings/settings-error.js';
import { Settings } from '../controller/settings/settings.js';
import { CommandError } from './command-error.js';

/** Paths of the settings files, from the command-line options. */
export interface SettingsFiles {
  config: string;
  /** If absent, all properties have their defaults. */
  properties?: string;
}

/**
 * Reads and checks both settings files. Throws a `CommandError` if a file cannot be read or a field is invalid.
 * The error names the file and, for an invalid field, also the field. If fields contradict one another, it names
 * the fields but no file.
 */
export function loadSettings(files: SettingsFiles): Settings {
  const platform = readSettingsFile(files.config, readPlatform);
  const properties =
    files.properties === undefined
      ? defaultProperties()
      : readSettingsFile(files.properties, readProperties);
  try {
    return new Settings(platform, properties);
  } catch (error) {
    if (error instanceof SettingsError) throw new CommandError(error.message, { cause: error });
    throw error;
  }
}

/** Reads a JSON file. Throws a `CommandError` that names the file if it cannot be read or is not JSON. */
export function readJsonFile(file: string): unknown {
  const source = readTextFile(file);
  try {
    return JSON.parse(source) as unknown;
  } catch (error) {
    throw new CommandError(`${file}: not valid JSON`, { cause: error });
  }
}

function readSettingsFile<Value>(file: string, read: (source: string) => Value): Value {
  const source = readTextFile(file);
  try {
    return read(source);
  } catch (error) {
    if (error instanceof SettingsError)
      throw new CommandError(`${file}: ${error.message}`, { cause: error });
    throw error;
  }
}

function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? 'cannot be read';
    throw new CommandError(`${file}: ${reason}`, { cause: error });
  }
}
