import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { EventLoop } from '../runtime/event-loop.js';
import { LeaseExtension } from './lease-extension.js';

const GRANT_MS = 300;

/** Starts the extension of a leader that has two peers and holds its lease until `leaseHeldUntil`. */
function setUp(leaseHeldUntil: number) {
  const runtime = new ManualRuntime();
  const requests: { host: string; reply: (granted: boolean) => void }[] = [];
  const extension = new LeaseExtension(
    new EventLoop(runtime, silentLogger),
    { leaseGrantMs: GRANT_MS },
    ['kiln-1', 'kiln-2'],
    (host, _term, _timeoutMs, done) => void requests.push({ host, reply: done }),
  );
  let isUseful = true;
  extension.begin({ term: 5, leaseHeldUntil: () => leaseHeldUntil, isUseful: () => isUseful });
  /** Answers the oldest pending requests, one per argument. */
  const reply = (...answers: boolean[]): void => {
    for (const isGranted of answers) requests.shift()?.reply(isGranted);
  };
  return { runtime, requests, extension, reply, stopUse: () => (isUseful = false) };
}

describe('LeaseExtension', () => {
  it('is active while both peers grant every round, and ends when the last grants expire', () => {
    const { runtime, extension, reply } = setUp(50);
    for (let round = 0; round < 20; round++) {
      reply(true, true);
      assert.ok(extension.isActive);
      runtime.advance(GRANT_MS / 3);
    }
    runtime.advance(GRANT_MS);
    assert.ok(!extension.isActive, 'the extension is active though all grants have expired');
  });

  it('is not active if one of the peers denies its grant', () => {
    const { runtime, extension, reply } = setUp(50);
    reply(true, false);
    runtime.advance(10);
    assert.ok(!extension.isActive);
  });

  it('lasts for the duration of a grant, counted from the requests and not from the replies', () => {
    const { runtime, extension, reply } = setUp(1000);
    runtime.advance(90);
    reply(true, true);
    runtime.advance(GRANT_MS - 91);
    assert.ok(extension.isActive);
    runtime.advance(1);
    assert.ok(!extension.isActive);
  });

  // Between the lease and the grants another controller may have acted as leader. If that controller has
  // restarted since then, it no longer knows that it was leader and gives grants again.
  it('stops requesting grants after a gap between the lease and the grants', () => {
    const { runtime, extension, reply, requests } = setUp(50);
    runtime.advance(60);
    reply(true, true);
    assert.ok(!extension.isActive);
    requests.length = 0;
    runtime.advance(GRANT_MS * 3);
    assert.equal(requests.length, 0);
    extension.end();
    assert.ok(!extension.isActive);
  });

  it('ends when it is no longer useful', () => {
    const { runtime, extension, reply, requests, stopUse } = setUp(50);
    reply(true, true);
    stopUse();
    runtime.advance(GRANT_MS / 3);
    assert.equal(requests.length, 0);
    assert.ok(!extension.isActive);
  });
});
