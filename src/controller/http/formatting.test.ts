import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { formatResponse } from './formatting.js';

describe('formatResponse', () => {
  it('rounds Retry-After up to whole seconds, at least 1, and announces that the connection closes', () => {
    const bytes = formatResponse({ status: 503, body: Buffer.alloc(0), retryAfterS: 0.2 }, true);
    assert.match(bytes.toString(), /^HTTP\/1\.1 503 .*\r\n(?:.*\r\n)*Retry-After: 1\r\n/);
    assert.match(bytes.toString(), /Connection: close\r\n/);
  });
});
