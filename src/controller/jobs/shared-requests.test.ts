import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SharedRequests } from './shared-requests.js';

describe('SharedRequests', () => {
  it('lets others join a request after it is opened and before it is sealed', () => {
    const requests = new SharedRequests<string>();
    const request = requests.create('req-1', 'first');
    assert.ok(!requests.join('req-1', 'too early'));
    request.open();
    assert.ok(requests.join('req-1', 'second'));
    assert.ok(!requests.join('req-2', 'other key'));
    request.seal();
    assert.ok(!requests.join('req-1', 'too late'));
    assert.deepEqual(request.waiters, ['first', 'second']);
  });

  it('keeps a newer request with the same key open when the older one is sealed again', () => {
    const requests = new SharedRequests<string>();
    const older = requests.create('req-1', 'first');
    older.open();
    older.seal();
    const newer = requests.create('req-1', 'second');
    newer.open();
    older.seal();
    assert.ok(requests.join('req-1', 'third'));
    assert.deepEqual(newer.waiters, ['second', 'third']);
  });
});
