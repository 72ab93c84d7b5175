import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { Core } from '../core/core.js';
import type { Env, Logger } from '../core/env.js';
import { uniform } from '../core/random.js';
import { decodePeer, encodePeer, frame, Peers, Unframer, type PeerMessage } from './peers.js';

const message: PeerMessage = {
  status: {
    host: 'kiln-1',
    identity: 'x',
    stateOkAgeMs: 12.5,
    leaderHost: '',
    term: 7,
    wantedWrites: 1.5,
    strayReports: 0.5,
  },
  finals: [{ id: 'req-1', state: 'done' }],
  accepted: ['req-3'],
  progress: [
    { id: 'req-2', state: 'running', done: 1, running: 2, exits: { error: 1 }, blocked: '' },
  ],
  request: {
    from: 'kiln-1',
    id: 3,
    method: 'GET',
    path: '/submissions/req-1',
    body: Buffer.from('x'),
  },
  reply: null,
};

describe('peers', () => {
  it('round-trips messages through frames cut anywhere', () => {
    const bytes = Buffer.concat([frame(encodePeer(message)), frame(encodePeer(message))]);
    for (let cut = 1; cut < bytes.length; cut++) {
      const u = new Unframer();
      const got = [...u.push(bytes.subarray(0, cut)), ...u.push(bytes.subarray(cut))];
      assert.equal(got.length, 2);
      for (const g of got) assert.equal(JSON.stringify(decodePeer(g)), JSON.stringify(message));
    }
  });

  // A process back in a fraction of a second numbered its requests from 1 again, as the one before.
  it('takes no answer that was meant for the process before on its host', () => {
    const nothing = (): void => undefined;
    const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };
    const ids: number[] = [];
    for (const seed of [1, 2]) {
      const random = uniform(seed);
      const env: Env = {
        now: () => 0,
        wall: () => 0,
        random,
        soon: nothing,
        timer: () => ({ cancel: nothing }),
        call: nothing,
        mayCall: () => true,
        sendPeer: (_, bytes) => ids.push(decodePeer(bytes).request?.id ?? -1),
      };
      const { status } = message;
      assert.ok(status);
      const peers = new Peers(new Core(env, silent), ['kiln-2'], () => status, {
        ...{ accepted: nothing, status: nothing, final: nothing, progress: nothing },
        request: nothing,
      });
      for (let i = 0; i < 100; i++)
        peers.forward('kiln-2', 'GET', '/submissions/req-1', Buffer.alloc(0), 1000, nothing);
    }
    assert.equal(new Set(ids).size, 200);
  });

  it('refuses broken bytes without harm', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => {
        try {
          decodePeer(Buffer.from(bytes));
        } catch (err) {
          assert.ok(err instanceof Error);
        }
      }),
      { seed: 5, numRuns: 500 },
    );
    assert.throws(() => new Unframer().push(Buffer.from([255, 255, 255, 255])));
  });
});
