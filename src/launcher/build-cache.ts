/** Build step that writes the code cache of the bundled application next to the bundle. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { APPLICATION_FILE, cachePath, createCache } from './application.js';

const applicationPath = join(__dirname, APPLICATION_FILE);
writeFileSync(cachePath(applicationPath), createCache(applicationPath));
