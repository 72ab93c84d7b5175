/** Build step: writes the code cache beside the bundled application. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { APPLICATION_FILE, cachePath, createCache } from './application.js';

const application = join(__dirname, APPLICATION_FILE);
writeFileSync(cachePath(application), createCache(application));
