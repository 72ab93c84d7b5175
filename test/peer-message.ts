/** An example message between controllers, for unit tests. */
import type { PeerMessage, PeerStatus } from '../src/controller/peers/message.js';

/** The status in the example message. */
export const exampleStatus: PeerStatus = {
  host: 'kiln-1',
  identity: 'x',
  stateOkAgeMs: 12.5,
  leaderHost: '',
  term: 7,
  wantedWrites: 1.5,
  strayReports: 0.5,
};

/** A message in which every field but the reply is set. */
export const exampleMessage: PeerMessage = {
  status: exampleStatus,
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
