import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualEnv, silentLogger } from '../../../test/manual-env.js';
import { oneOf, usual } from '../../../test/platform.js';
import { Core } from '../core/core.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { StateClient } from './client.js';

describe('state client', () => {
  /** How long after its end a watch without an answer is given up. */
  function graceMs(leaseS: number, cancelS: number): number {
    const env = new ManualEnv();
    const platform = oneOf(['kiln-0'], 'kiln-0', { ...usual, leaseS, cancelS });
    const client = new StateClient(
      new Core(env, silentLogger),
      new Settings(platform, defaultProperties()),
    );
    const holdMs = 1000;
    client.follow('lead', 1, holdMs, () => undefined);
    return (env.calls[0]?.call.timeoutMs ?? NaN) - holdMs;
  }

  it('gives a lost watch up in proportion to the lease, at 22 s after 2 s', () => {
    assert.equal(Math.round(graceMs(22, 50) / 10) * 10, 2000);
    assert.ok(graceMs(10, 35) < 1000);
  });
});
