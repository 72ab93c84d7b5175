import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { EventLoop } from '../runtime/event-loop.js';
import { LeaseGrant } from './lease-grant.js';

const GRANT_MS = 300;
const settings = { leaseGrantMs: GRANT_MS };

describe('LeaseGrant', () => {
  it('lasts longer than the leader relies on it, by a margin for clock drift', () => {
    const runtime = new ManualRuntime();
    const grant = new LeaseGrant(new EventLoop(runtime, silentLogger), settings);
    const remainingMs = (): number => grant.remainingMs;
    assert.equal(remainingMs(), 0);
    grant.grant();
    assert.ok(remainingMs() > GRANT_MS);
    runtime.advance(GRANT_MS + 3);
    assert.equal(remainingMs(), 0);
  });

  // The previous process on this host may have given a grant just before it ended.
  it('binds a process from its start although it has given no grant itself', () => {
    const runtime = new ManualRuntime();
    runtime.advance(1000);
    const startedAt = 900;
    const eventLoop = { now: () => runtime.now(), runtime: { startedAt } };
    const grant = new LeaseGrant(eventLoop, settings);
    assert.ok(grant.remainingMs > GRANT_MS - 100);
  });
});
