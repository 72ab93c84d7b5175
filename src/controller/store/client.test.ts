import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { platformOf, defaultOptions } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { StateStoreClient } from './client.js';

describe('state client', () => {
  /** How long after its end a watch without an answer is given up. */
  function graceMs(leaseS: number, cancelS: number): number {
    const runtime = new ManualRuntime();
    const platform = platformOf(['kiln-0'], 'kiln-0', { ...defaultOptions, leaseS, cancelS });
    const client = new StateStoreClient(
      new EventLoop(runtime, silentLogger),
      new Settings(platform, defaultProperties()),
    );
    const holdMs = 1000;
    client.watch('lead', 1, holdMs, () => undefined);
    return (runtime.calls[0]?.call.timeoutMs ?? NaN) - holdMs;
  }

  it('gives a lost watch up in proportion to the lease, at 22 s after 2 s', () => {
    assert.equal(Math.round(graceMs(22, 50) / 10) * 10, 2000);
    assert.ok(graceMs(10, 35) < 1000);
  });
});
