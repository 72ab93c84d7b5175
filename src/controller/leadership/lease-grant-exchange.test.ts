import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ForwardedReply } from '../peers/message.js';
import { encodeBody } from '../wire/cbor.js';
import { answerLeaseGrantRequest, requestLeaseGrantsOver } from './lease-grant-exchange.js';
import {
  decodeLeaseGrantRequest,
  encodeLeaseGrantRequest,
  LeaseGrantRequestError,
} from './lease-grant-request.js';

describe('answerLeaseGrantRequest', () => {
  const grantor = { grantLease: (term: number) => term === 7 };
  const cases = [
    { title: 'a request that the grantor grants', body: encodeLeaseGrantRequest(7), status: 200 },
    { title: 'a request that the grantor denies', body: encodeLeaseGrantRequest(6), status: 409 },
    { title: 'a malformed request', body: Buffer.from('broken'), status: 409 },
  ];
  for (const { title, body, status } of cases)
    it(`answers ${title} with ${status}`, () =>
      assert.equal(answerLeaseGrantRequest(grantor, body), status));
});

describe('decodeLeaseGrantRequest', () => {
  const malformed = {
    'an empty body': Buffer.alloc(0),
    'a body that is not a map': encodeBody([7]),
    'a term that is not a number': encodeBody({ term: '7' }),
  };
  for (const [title, body] of Object.entries(malformed))
    it(`throws on ${title}`, () =>
      assert.throws(() => decodeLeaseGrantRequest(body), LeaseGrantRequestError));
});

describe('requestLeaseGrantsOver', () => {
  const replies: { title: string; reply: ForwardedReply | null; granted: boolean }[] = [
    {
      title: 'a reply with status 200',
      reply: { id: 1, status: 200, body: Buffer.alloc(0) },
      granted: true,
    },
    {
      title: 'a reply with status 409',
      reply: { id: 1, status: 409, body: Buffer.alloc(0) },
      granted: false,
    },
    {
      title: 'a 404 from an older version that does not know the request',
      reply: { id: 1, status: 404, body: Buffer.alloc(0) },
      granted: false,
    },
    { title: 'a missing reply', reply: null, granted: false },
  ];
  for (const { title, reply, granted } of replies)
    it(`takes ${title} as ${granted ? 'a grant' : 'no grant'}`, () => {
      const results: boolean[] = [];
      const requestGrant = requestLeaseGrantsOver(() => ({
        forward: (_host, _method, _path, _body, _timeoutMs, done) => done(reply),
      }));
      requestGrant('kiln-1', 7, 300, (result) => results.push(result));
      assert.deepEqual(results, [granted]);
    });
});
