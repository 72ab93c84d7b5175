/** The program versions that controller processes run. */
import { Controller } from '../../src/controller/controller.js';
import { readPlatform } from '../../src/controller/settings/platform.js';
import { defaultProperties, type Properties } from '../../src/controller/settings/properties.js';
import { Settings } from '../../src/controller/settings/settings.js';

/** The program that a controller's process runs, and its operators' settings. */
export interface ProgramVersion {
  name: string;
  Controller: typeof Controller;
  Settings: typeof Settings;
  readPlatform: typeof readPlatform;
  properties: Properties;
}

/** The sources as they are here. */
export function presentVersion(properties = defaultProperties()): ProgramVersion {
  return { name: 'present', Controller, Settings, readPlatform, properties };
}
