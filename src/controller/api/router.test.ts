import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { standalonePlatform } from '../../../test/platform.js';
import { Controller } from '../controller.js';
import type { ApiResponse } from '../jobs/api-response.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { toApiResponse } from './peer-response.js';

const NO_BODY = Buffer.alloc(0);

describe('the API of a node without a leader or a state store', () => {
  let runtime = new ManualRuntime();
  let controller: Controller;

  beforeEach(() => {
    runtime = new ManualRuntime();
    const settings = new Settings(standalonePlatform(), defaultProperties());
    controller = new Controller(runtime, silentLogger, settings, 'kiln-0-1');
  });

  function request(method: string, path: string, body: Buffer = NO_BODY): ApiResponse | undefined {
    let receivedResponse: ApiResponse | undefined;
    controller.request(method, path, body, (response) => {
      receivedResponse = response;
    });
    runtime.advance(0);
    return receivedResponse;
  }

  const cases: { title: string; request: [string, string, Buffer?]; expected: ApiResponse }[] = [
    {
      title: 'responds with 404 to an unknown path',
      request: ['GET', '/nothing'],
      expected: { status: 404, body: { error: 'no such path' } },
    },
    {
      title: 'responds with 405 and the allowed method to a request with another method',
      request: ['POST', '/ready'],
      expected: { status: 405, body: { error: 'method not allowed' }, allow: 'GET' },
    },
    {
      title: 'responds with 405 to a cancellation by GET',
      request: ['GET', '/submissions/req-1/abort'],
      expected: { status: 405, body: { error: 'method not allowed' }, allow: 'POST' },
    },
    {
      title: 'responds with 400 to a body that is not CBOR',
      request: ['POST', '/v1/report', Buffer.from([0xff])],
      expected: { status: 400, body: { error: 'body: not CBOR' } },
    },
    {
      title: 'responds with 503 to a readiness probe',
      request: ['GET', '/ready'],
      expected: { status: 503, body: { ready: false } },
    },
    {
      title: 'responds with 503 to a request for the view of the cluster',
      request: ['GET', '/cluster?after=m-1'],
      expected: { status: 503, body: { error: 'no leader just now' }, retryAfterS: 1 },
    },
    {
      title: 'responds with 503 to a request for metrics before the metrics module is loaded',
      request: ['GET', '/metrics'],
      expected: { status: 503, body: { error: 'starting' }, retryAfterS: 5 },
    },
  ];
  for (const { title, request: requestArguments, expected } of cases)
    it(title, () => assert.deepEqual(request(...requestArguments), expected));
});

describe('toApiResponse', () => {
  it('returns status 503 if the body of a reply cannot be decoded', () => {
    assert.deepEqual(toApiResponse({ id: 1, status: 200, body: Buffer.from([0xff]) }), {
      status: 503,
      body: { error: 'broken answer of a peer' },
    });
  });

  it('keeps the status of a reply without a body', () => {
    assert.deepEqual(toApiResponse({ id: 1, status: 204, body: NO_BODY }), { status: 204 });
  });
});
