/** The program version that a controller process runs. */
import { Controller } from '../../src/controller/controller.js';
import { readPlatform } from '../../src/controller/settings/platform.js';
import { defaultProperties, type Properties } from '../../src/controller/settings/properties.js';
import { Settings } from '../../src/controller/settings/settings.js';

/** The program that a controller process runs, and the operators' properties for it. */
export interface ProgramVersion {
  name: string;
  Controller: typeof Controller;
  Settings: typeof Settings;
  readPlatform: typeof readPlatform;
  properties: Properties;
}

/** Returns the version of the current sources. */
export function presentVersion(properties = defaultProperties()): ProgramVersion {
  return { name: 'present', Controller, Settings, readPlatform, properties };
}
