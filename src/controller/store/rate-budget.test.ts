import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { defaultPlatformOptions, platformOf } from '../../../test/platform.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { RateBudget } from './rate-budget.js';

const HOSTS = ['kiln-0', 'kiln-1', 'kiln-2'];
const FOLLOWER_COUNT = HOSTS.length - 1;

describe('RateBudget', () => {
  const platform = platformOf(HOSTS, 'kiln-0', defaultPlatformOptions);
  const settings = new Settings(platform, defaultProperties());
  const usableRatio = settings.get('state.headroom.ratio');
  let now = 0;
  let budget: RateBudget;

  beforeEach(() => {
    now = 0;
    budget = new RateBudget(() => now, settings);
  });

  it('divides the usable rate of requests among the leader and the followers', () => {
    const followerRate = budget.requestTokens.perSecond;
    budget.setRole(true);
    const leaderRate = budget.requestTokens.perSecond;
    const usable = platform.stateLimits.rps * usableRatio;
    assert.ok(Math.abs(leaderRate + FOLLOWER_COUNT * followerRate - usable) < 1e-9);
    assert.ok(leaderRate > followerRate);
  });

  it('increases its share of the writes if it has demand and its peers are idle', () => {
    const fixedRate = budget.writeTokens.perSecond;
    budget.recordWrites(100);
    const idle = { isLeader: false, writesPerSecond: 0 };
    budget.updateWriteShare([{ ...idle, isLeader: true }, idle]);
    assert.ok(budget.writeTokens.perSecond > fixedRate);
    assert.ok(budget.writeTokens.perSecond <= platform.stateLimits.writeRps * usableRatio);
  });

  it('includes recent and queued writes in its demand', () => {
    budget.recordWrites(30);
    assert.deepEqual(budget.writeDemand, { isLeader: false, writesPerSecond: 10 });
    budget.queuedWrites = 8;
    assert.equal(budget.writeDemand.writesPerSecond, 14);
    now += 60_000;
    assert.ok(Math.abs(budget.writeDemand.writesPerSecond - 4) < 1e-3);
  });
});
