import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { decodePeer, encodePeer, frame, Unframer, type PeerMessage } from './peers.js';

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
