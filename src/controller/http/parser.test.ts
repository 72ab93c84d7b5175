import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { formatRequest } from './formatting.js';
import { HttpError, HttpParser } from './parser.js';

const limits = { headBytes: 1024, bodyBytes: 4096 };

/** Status with which the text is rejected, `null` if it is accepted. */
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
  it('reads messages however their bytes are split', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.constantFrom('/a', '/b?x=1'), fc.uint8Array({ maxLength: 300 })), {
          minLength: 1,
          maxLength: 4,
        }),
        fc.array(fc.nat(50), { minLength: 1 }),
        (messages, pieceSizes) => {
          const all = Buffer.concat(
            messages.map(([path, body]) => formatRequest('POST', 'h', path, Buffer.from(body))),
          );
          const parser = new HttpParser('request', limits);
          const parsed: [string, Uint8Array][] = [];
          let offset = 0;
          for (let i = 0; offset < all.length; i++) {
            const size = 1 + (pieceSizes[i % pieceSizes.length] ?? 0);
            parser.push(all.subarray(offset, offset + size));
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

  it('throws nothing but HttpError on arbitrary bytes', () => {
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
      fc.property(fc.array(pieces, { maxLength: 12 }), (parts) => {
        const parser = new HttpParser('request', limits);
        try {
          for (const part of parts) {
            parser.push(part);
            while (parser.next() !== null);
          }
        } catch (err) {
          assert.ok(err instanceof HttpError);
        }
      }),
      { seed: 2, numRuns: 1000 },
    );
  });

  it('reads chunked bodies with extensions and trailers', () => {
    const parser = new HttpParser('request', limits);
    parser.push(
      Buffer.from(
        'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n',
      ),
    );
    assert.equal(parser.next()?.body.toString(), 'abcde');
  });

  const rejected: [string, string, number][] = [
    ['a bad request line', 'nonsense\r\n\r\n', 400],
    ['an unknown version', 'GET /x HTTP/2.0\r\n\r\n', 400],
    ['a bad header', 'GET /x HTTP/1.1\r\nbad header\r\n\r\n', 400],
    ['a too large body', 'POST /x HTTP/1.1\r\nContent-Length: 5000\r\n\r\n', 413],
    ['a negative length', 'POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n', 400],
    ['two lengths', 'POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n', 400],
    [
      'a length of a chunked body',
      'POST /x HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
      400,
    ],
    ['a too large head', `GET /x HTTP/1.1\r\nA: ${'x'.repeat(2000)}\r\n\r\n`, 431],
    ['a too large chunk', 'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n', 413],
  ];
  for (const [description, text, status] of rejected)
    it(`rejects ${description} with status ${status}`, () =>
      assert.equal(rejectionStatus(text), status));
});
