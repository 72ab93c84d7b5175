import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { formatRequest } from './formatting.js';
import { HttpError, HttpParser } from './parser.js';

const limits = { headBytes: 1024, bodyBytes: 4096 };

/** Returns the status with which the parser rejects the text, or null if it accepts the text. */
function rejectionStatus(text: string): number | null {
  const parser = new HttpParser('request', limits);
  try {
    parser.push(Buffer.from(text, 'latin1'));
    parser.next();
    return null;
  } catch (error) {
    assert.ok(error instanceof HttpError);
    return error.status;
  }
}

describe('HttpParser', () => {
  it('parses messages whose bytes are split at arbitrary positions', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.constantFrom('/a', '/b?x=1'), fc.uint8Array({ maxLength: 300 })), {
          minLength: 1,
          maxLength: 4,
        }),
        fc.array(fc.nat(50), { minLength: 1 }),
        (messages, pieceSizes) => {
          const allBytes = Buffer.concat(
            messages.map(([path, body]) => formatRequest('POST', 'h', path, Buffer.from(body))),
          );
          const parser = new HttpParser('request', limits);
          const parsed: [string, Uint8Array][] = [];
          let offset = 0;
          for (let i = 0; offset < allBytes.length; i++) {
            const size = 1 + (pieceSizes[i % pieceSizes.length] ?? 0);
            parser.push(allBytes.subarray(offset, offset + size));
            offset += size;
            for (let m = parser.next(); m !== null; m = parser.next())
              parsed.push([m.path, new Uint8Array(m.body)]);
          }
          assert.deepEqual(parsed, messages);
          assert.ok(parser.idle);
        },
      ),
      { seed: 1, numRuns: 200 },
    );
  });

  it('throws only HttpError on arbitrary bytes', () => {
    const pieces = fc.oneof(
      fc.uint8Array({ maxLength: 40 }).map((b) => Buffer.from(b)),
      fc
        .constantFrom(
          'POST / HTTP/1.1\r\n',
          'Content-Length: 5\r\n',
          '\r\n',
          'Transfer-Encoding: chunked\r\n',
          '5\r\nabcde\r\n',
          '0\r\n\r\n',
          'x:',
        )
        .map((s) => Buffer.from(s)),
    );
    fc.assert(
      fc.property(fc.array(pieces, { maxLength: 12 }), (input) => {
        const parser = new HttpParser('request', limits);
        try {
          for (const piece of input) {
            parser.push(piece);
            while (parser.next() !== null);
          }
        } catch (err) {
          assert.ok(err instanceof HttpError);
        }
      }),
      { seed: 2, numRuns: 1000 },
    );
  });

  it('parses a chunked body with extensions and a trailer', () => {
    const parser = new HttpParser('request', limits);
    parser.push(
      Buffer.from(
        'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n',
      ),
    );
    assert.equal(parser.next()?.body.toString(), 'abcde');
  });

  const rejected: [string, string, number][] = [
    ['a malformed request line', 'nonsense\r\n\r\n', 400],
    ['an unsupported HTTP version', 'GET /x HTTP/2.0\r\n\r\n', 400],
    ['a malformed header', 'GET /x HTTP/1.1\r\nbad header\r\n\r\n', 400],
    ['a body above the limit', 'POST /x HTTP/1.1\r\nContent-Length: 5000\r\n\r\n', 413],
    ['a negative Content-Length', 'POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n', 400],
    [
      'two different Content-Length headers',
      'POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n',
      400,
    ],
    [
      'a chunked body with a Content-Length',
      'POST /x HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
      400,
    ],
    ['a head above the limit', `GET /x HTTP/1.1\r\nA: ${'x'.repeat(2000)}\r\n\r\n`, 431],
    [
      'a chunk above the limit',
      'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n',
      413,
    ],
  ];
  for (const [description, text, status] of rejected)
    it(`rejects ${description} with status ${status}`, () =>
      assert.equal(rejectionStatus(text), status));
});
