import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { EventLoop, EventLoopScope } from './event-loop.js';

describe('EventLoop', () => {
  let runtime: ManualRuntime;
  let handled: string[];

  beforeEach(() => {
    runtime = new ManualRuntime();
    handled = [];
  });

  it('handles events in the order of posting, and runs the hooks after each batch', () => {
    const eventLoop = new EventLoop(runtime, silentLogger, 2);
    eventLoop.onBatchEnd(() => handled.push('first hook'));
    eventLoop.onBatchEnd(() => handled.push('second hook'));
    for (const name of ['a', 'b', 'c']) eventLoop.post(name, () => handled.push(name));
    assert.deepEqual(handled, [], 'post handles no event itself');
    runtime.advance(0);
    const hooks = ['first hook', 'second hook'];
    assert.deepEqual(handled, ['a', 'b', ...hooks, 'c', ...hooks]);
  });

  it('logs the error of a handler that throws, and handles the next event', () => {
    const errors: object[] = [];
    const log = { ...silentLogger, error: (fields: object) => errors.push(fields) };
    const eventLoop = new EventLoop(runtime, log);
    const err = new Error('broken');
    eventLoop.post('faulty', () => {
      throw err;
    });
    eventLoop.post('next', () => handled.push('next'));
    runtime.advance(0);
    assert.deepEqual(errors, [{ event: 'faulty', err }]);
    assert.deepEqual(handled, ['next']);
  });

  it('posts an event after its delay, unless the timer was cancelled', () => {
    const eventLoop = new EventLoop(runtime, silentLogger);
    eventLoop.after(10, 'kept', () => handled.push('kept'));
    eventLoop.after(10, 'cancelled', () => handled.push('cancelled')).cancel();
    runtime.advance(9);
    assert.deepEqual(handled, []);
    runtime.advance(1);
    assert.deepEqual(handled, ['kept']);
  });

  it('posts a periodic event once in each interval', () => {
    const eventLoop = new EventLoop(runtime, silentLogger);
    eventLoop.every(10, 'tick', () => handled.push(`tick at ${eventLoop.now()}`));
    for (let i = 0; i < 6; i++) runtime.advance(5);
    assert.deepEqual(handled, ['tick at 10', 'tick at 20', 'tick at 30']);
  });
});

describe('EventLoopScope', () => {
  // Guards against work of an ended term: a timer of the term repeated the release of machines in a later term.
  it('handles no event, timer or hook after it is closed, and leaves the other events alone', () => {
    const runtime = new ManualRuntime();
    const handled: string[] = [];
    const eventLoop = new EventLoop(runtime, silentLogger);
    const scope = new EventLoopScope(eventLoop);
    scope.onBatchEnd(() => handled.push('hook'));
    scope.post('before', () => handled.push('before'));
    runtime.advance(0);
    scope.after(10, 'timer', () => handled.push('timer'));
    scope.post('queued', () => handled.push('queued'));
    eventLoop.post('other', () => handled.push('other'));
    scope.close();
    runtime.advance(20);
    assert.deepEqual(handled, ['before', 'hook', 'other']);
  });
});
