/** Build step that writes the code cache of the bundled application next to the bundle. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { APPLICATION_FILE, cachePath, createCache } from './application.js';

const application = join(__dirname, APPLICATION_FILE);
writeFileSync(cachePath(application), createCache(application));
