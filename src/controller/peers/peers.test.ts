import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FakeClock, idleRuntime } from '../../../test/fakes.js';
import { exampleStatus } from '../../../test/peer-message.js';
import { EventLoop } from '../runtime/event-loop.js';
import { seededRandom } from '../runtime/random.js';
import type { Runtime } from '../runtime/runtime.js';
import { decodePeerMessage } from './message-codec.js';
import { Peers } from './peers.js';

const ignore = (): void => undefined;

/** Creates the `Peers` of a controller whose only peer is on `kiln-2`. */
function createPeers(runtime: Runtime): Peers {
  const options = { hosts: ['kiln-2'], statusIntervalMs: 1000, announcementDelayMs: 100 };
  return new Peers(new EventLoop(runtime, new FakeClock(0).log), options, () => exampleStatus, {
    jobAccepted: ignore,
    statusReceived: ignore,
    jobEnded: ignore,
    jobProgressed: ignore,
    requestForwarded: ignore,
  });
}

describe('Peers', () => {
  // Guards against replies to the wrong request: when every process numbered its requests from 1, a process
  // that restarted within a fraction of a second could get replies to requests of the process before it.
  it('assigns request ids that the previous process on the same host has not used', () => {
    const ids: number[] = [];
    for (const seed of [1, 2]) {
      const peers = createPeers({
        ...idleRuntime(new FakeClock(0)),
        random: seededRandom(seed),
        sendPeer: (_host, bytes) => ids.push(decodePeerMessage(bytes).request?.id ?? -1),
      });
      for (let i = 0; i < 100; i++)
        peers.forward('kiln-2', 'GET', '/submissions/req-1', Buffer.alloc(0), 1000, ignore);
    }
    assert.equal(new Set(ids).size, 200);
  });
});
