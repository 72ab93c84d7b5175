import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { EventLoop } from '../runtime/event-loop.js';
import { LeaseExtension } from './lease-extension.js';
import { answerLeaseGrantRequest } from './lease-grant-exchange.js';
import { decodeLeaseGrantRequest, encodeLeaseGrantRequest } from './lease-grant-request.js';
import { LeaseGrant } from './lease-grant.js';

const PROMISE_MS = 300;
const settings = { leaseGrantMs: PROMISE_MS };

describe('a promise not to act as leader', () => {
  it('lasts longer than the leader counts on it', () => {
    const runtime = new ManualRuntime();
    const promise = new LeaseGrant(new EventLoop(runtime, silentLogger), settings);
    const remaining = (): number => promise.remainingMs;
    assert.equal(remaining(), 0);
    promise.grant();
    assert.ok(remaining() > PROMISE_MS);
    runtime.advance(PROMISE_MS + 3);
    assert.equal(remaining(), 0);
  });

  // A process that is back within the time may have given a promise just before it ended.
  it('is taken to have been given just before the process started', () => {
    const runtime = new ManualRuntime();
    runtime.advance(1000);
    const startedAt = 900;
    const eventLoop = { now: () => runtime.now(), runtime: { startedAt } };
    const promise = new LeaseGrant(eventLoop, settings);
    assert.ok(promise.remainingMs > PROMISE_MS - 100);
  });

  it('is not given to what cannot be read', () => {
    const giver = { grantLease: (term: number) => term === 7 };
    assert.equal(answerLeaseGrantRequest(giver, encodeLeaseGrantRequest(7)), 200);
    assert.equal(answerLeaseGrantRequest(giver, encodeLeaseGrantRequest(6)), 409);
    assert.equal(answerLeaseGrantRequest(giver, Buffer.from('broken')), 409);
    assert.equal(decodeLeaseGrantRequest(Buffer.alloc(0)), null);
  });
});

describe('the extension of a lease', () => {
  /** A leader with two peers, whose lease has so much left; `answers` settles each request. */
  function setUp(leaseLeftMs: number) {
    const runtime = new ManualRuntime();
    const asked: { host: string; answer: (promised: boolean) => void }[] = [];
    const extension = new LeaseExtension(
      new EventLoop(runtime, silentLogger),
      settings,
      ['kiln-1', 'kiln-2'],
      (host, _term, _timeoutMs, done) => void asked.push({ host, answer: done }),
    );
    let useful = true;
    extension.begin(
      5,
      () => leaseLeftMs,
      () => useful,
    );
    const answer = (...promised: boolean[]): void => {
      for (const each of promised) asked.shift()?.answer(each);
    };
    return { runtime, asked, extension, answer, stop: () => (useful = false) };
  }

  it('lasts while all the others promise again and again', () => {
    const { runtime, extension, answer } = setUp(50);
    for (let round = 0; round < 20; round++) {
      answer(true, true);
      assert.ok(extension.active);
      runtime.advance(PROMISE_MS / 3);
    }
    runtime.advance(PROMISE_MS);
    assert.ok(!extension.active, 'nobody has promised lately');
  });

  it('needs the promise of every other controller', () => {
    const { runtime, extension, answer } = setUp(50);
    answer(true, false);
    runtime.advance(10);
    assert.ok(!extension.active);
  });

  it('counts from when it asked, not from the answers', () => {
    const { runtime, extension, answer } = setUp(1000);
    runtime.advance(90);
    answer(true, true);
    runtime.advance(PROMISE_MS - 91);
    assert.ok(extension.active);
    runtime.advance(1);
    assert.ok(!extension.active);
  });

  // Another may have led, ended and come back without a memory of it.
  it('does not begin again once there was a gap', () => {
    const { runtime, extension, answer, asked } = setUp(50);
    runtime.advance(60);
    answer(true, true);
    assert.ok(!extension.active);
    asked.length = 0;
    runtime.advance(PROMISE_MS * 3);
    assert.equal(asked.length, 0);
    extension.end();
    assert.ok(!extension.active);
  });

  it('ends when it is of no use', () => {
    const { runtime, extension, answer, asked, stop } = setUp(50);
    answer(true, true);
    stop();
    runtime.advance(PROMISE_MS / 3);
    assert.equal(asked.length, 0);
    assert.ok(!extension.active);
  });
});
