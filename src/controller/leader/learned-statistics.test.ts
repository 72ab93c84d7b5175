import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { immediateRecords } from '../../../test/fake-records.js';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { standalonePlatform } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { LearnedStatistics } from './learned-statistics.js';

describe('LearnedStatistics', () => {
  it('loads the statistics that it has saved, and replaces the single record of older versions', () => {
    const eventLoop = new EventLoop(new ManualRuntime(), silentLogger);
    const settings = new Settings(standalonePlatform(), defaultProperties());
    const records = immediateRecords({ learned: { ratios: { c: [1, 2] } } });
    const saved = new LearnedStatistics(eventLoop, settings);
    saved.load(records, []);
    saved.save(records);
    assert.ok(!records.has('learned'), 'the single record of older versions was not deleted');
    const loaded = new LearnedStatistics(eventLoop, settings);
    loaded.load(records, []);
    assert.deepEqual(saved.estimates.exportStatistics(), { c: [1, 2] });
    assert.deepEqual(loaded.estimates.exportStatistics(), saved.estimates.exportStatistics());
  });
});
