import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readLogLevel } from './logger.js';

describe('readLogLevel', () => {
  const levels: [string | undefined, string][] = [
    ['error', 'error'],
    ['info', 'info'],
    ['debug', 'debug'],
    ['verbose', 'info'],
    ['', 'info'],
    [undefined, 'info'],
  ];
  for (const [value, expected] of levels)
    it(`reads the value "${value ?? '(not set)'}" as ${expected}`, () => {
      assert.equal(readLogLevel(value), expected);
    });
});
