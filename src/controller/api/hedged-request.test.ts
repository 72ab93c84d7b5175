import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import type { ApiResponse, Respond } from '../jobs/api-response.js';
import type { ForwardedReply } from '../peers/message.js';
import { EventLoop } from '../runtime/event-loop.js';
import { encodeBody } from '../wire/cbor.js';
import { HedgedRequest } from './hedged-request.js';

const HEARTBEAT_INTERVAL_MS = 1000;
/** Delay before a peer is asked: a twenty-fifth of the heartbeat interval. */
const HEDGE_DELAY_MS = 40;

const OK: ApiResponse = { status: 200, body: { state: 'queued' } };
const UNAVAILABLE: ApiResponse = { status: 503, body: { error: 'not now' } };

function peerReply(status: number, body: unknown = {}): ForwardedReply {
  return { id: 1, status, body: encodeBody(body) };
}

interface StartOptions {
  /** Number of failed calls to the state store since its last success. */
  consecutiveFailures?: number;
  /** How long the oldest call to the state store has been without a response. */
  stalledMs?: number;
  /** Host of a peer that the state store serves, or null if it serves none. */
  servedHost?: string | null;
}

/** Starts a request that this node has not answered yet. */
function start({
  consecutiveFailures = 0,
  stalledMs = 0,
  servedHost = 'kiln-1',
}: StartOptions = {}) {
  const runtime = new ManualRuntime();
  const responses: ApiResponse[] = [];
  const forwarded: { host: string; reply: (reply: ForwardedReply | null) => void }[] = [];
  let answerLocally: Respond = () => assert.fail('not started');
  const context = {
    eventLoop: new EventLoop(runtime, silentLogger),
    settings: { heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS },
    client: { health: { consecutiveFailures, stalledMs } },
    peers: {
      hostServedByStateStore: () => servedHost,
      forward: (
        host: string,
        _method: string,
        _target: string,
        _body: Buffer,
        _timeoutMs: number,
        reply: (reply: ForwardedReply | null) => void,
      ) => void forwarded.push({ host, reply }),
    },
  };
  const request = { method: 'GET', target: '/submissions/req-1', body: Buffer.alloc(0) };
  new HedgedRequest(context, request, (response) => responses.push(response)).start(
    (_request, respond) => {
      answerLocally = respond;
    },
  );
  return {
    ...{ runtime, responses, forwarded },
    answerLocally: (response: ApiResponse) => answerLocally(response),
  };
}

describe('HedgedRequest', () => {
  it('sends the response of this node and asks no peer if the response comes in time', () => {
    const { runtime, responses, forwarded, answerLocally } = start({ consecutiveFailures: 1 });
    answerLocally(OK);
    runtime.advance(HEDGE_DELAY_MS);
    assert.deepEqual(responses, [OK]);
    assert.equal(forwarded.length, 0);
  });

  it('responds with the reply of a peer if the state store serves the peer but not this node', () => {
    const { responses, forwarded, answerLocally } = start({ consecutiveFailures: 1 });
    answerLocally(UNAVAILABLE);
    assert.deepEqual(responses, []);
    assert.deepEqual(
      forwarded.map(({ host }) => host),
      ['kiln-1'],
    );
    forwarded[0]?.reply(peerReply(200, { state: 'queued' }));
    assert.deepEqual(responses, [OK]);
  });

  const failedReplies: [string, ForwardedReply | null][] = [
    ['does not reply', null],
    ['is unavailable too', peerReply(503)],
  ];
  for (const [title, reply] of failedReplies)
    it(`responds with this node's failure if the peer ${title}`, () => {
      const { responses, forwarded, answerLocally } = start({ consecutiveFailures: 1 });
      answerLocally(UNAVAILABLE);
      forwarded[0]?.reply(reply);
      assert.deepEqual(responses, [UNAVAILABLE]);
    });

  const casesWithoutForwarding: [string, StartOptions][] = [
    [
      "this node's share of the request rate is used up but no call failed",
      { consecutiveFailures: 0 },
    ],
    ['the state store serves no peer', { consecutiveFailures: 1, servedHost: null }],
  ];
  for (const [title, startOptions] of casesWithoutForwarding)
    it(`responds with this node's failure at once if ${title}`, () => {
      const { responses, forwarded, answerLocally } = start(startOptions);
      answerLocally(UNAVAILABLE);
      assert.deepEqual(responses, [UNAVAILABLE]);
      assert.equal(forwarded.length, 0);
    });

  it('asks a peer if this node does not respond in time and its calls stall, and sends the first response', () => {
    const { runtime, responses, forwarded, answerLocally } = start({ stalledMs: HEDGE_DELAY_MS });
    runtime.advance(HEDGE_DELAY_MS);
    assert.equal(forwarded.length, 1);
    answerLocally(OK);
    forwarded[0]?.reply(peerReply(200, { state: 'running' }));
    assert.deepEqual(responses, [OK]);
  });

  it('asks no peer if this node does not respond in time but its calls do not stall', () => {
    const { runtime, forwarded } = start({ stalledMs: HEDGE_DELAY_MS - 1 });
    runtime.advance(HEDGE_DELAY_MS);
    assert.equal(forwarded.length, 0);
  });
});
