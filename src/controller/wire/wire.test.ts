import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { arraySpec } from '../../../test/fakes.js';
import { readCatalogue, readMachinePage } from './cloud.js';
import { WireError } from './fields.js';
import { readJobSpec, writeJobSpec } from './jobs.js';
import { readHeartbeat } from './workers.js';

const submission = writeJobSpec(arraySpec());
const readers = { readJobSpec, readHeartbeat, readCatalogue, readMachinePage };

describe('body readers', () => {
  for (const [name, readBody] of Object.entries(readers))
    it(`${name} returns a value or throws a WireError for any input`, () => {
      fc.assert(
        fc.property(
          fc.object({ maxDepth: 3 }),
          fc.constantFrom(...Object.keys(submission)),
          (arbitraryValue, field) => {
            for (const body of [arbitraryValue, { ...submission, [field]: arbitraryValue }]) {
              try {
                readBody(body);
              } catch (err) {
                assert.ok(err instanceof WireError, String(err));
              }
            }
          },
        ),
        { seed: 3, numRuns: 300 },
      );
    });
});
