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

  it('gives leader and followers together the usable part of the requests', () => {
    const followerRate = budget.requestTokens.perSecond;
    budget.setRole(true);
    const leaderRate = budget.requestTokens.perSecond;
    const usable = platform.stateLimits.rps * usableRatio;
    assert.ok(Math.abs(leaderRate + FOLLOWER_COUNT * followerRate - usable) < 1e-9);
    assert.ok(leaderRate > followerRate);
  });

  it('takes more of the writes when peers are idle and it has writes to make', () => {
    const fixedRate = budget.writeTokens.perSecond;
    budget.recordWrites(100);
    const idle = { isLeader: false, writesPerSecond: 0 };
    budget.updateWriteShare([{ ...idle, isLeader: true }, idle]);
    assert.ok(budget.writeTokens.perSecond > fixedRate);
    assert.ok(budget.writeTokens.perSecond <= platform.stateLimits.writeRps * usableRatio);
  });

  it('demands the writes that it has made lately, and those that wait', () => {
    budget.recordWrites(30);
    assert.deepEqual(budget.writeDemand, { isLeader: false, writesPerSecond: 10 });
    budget.queuedWrites = 8;
    assert.equal(budget.writeDemand.writesPerSecond, 14);
    now += 60_000;
    assert.ok(Math.abs(budget.writeDemand.writesPerSecond - 4) < 1e-3);
  });
});
