/** The requests for promises and their answers, as they travel between controllers. */
import type { Peers } from '../peers/peers.js';
import type { AskPromise } from './lease-extension.js';
import {
  NOT_PROMISED,
  PROMISE_PATH,
  PROMISED,
  readPromiseRequest,
  writePromiseRequest,
} from './promise-request.js';

/** Gives promises of this controller. */
export interface PromiseGiver {
  /** False if no promise is given. */
  promiseTo(term: number): boolean;
}

/** Asks the other controllers for promises. */
export function askOver(peers: () => Pick<Peers, 'forward'>): AskPromise {
  return (host, term, timeoutMs, done) => {
    const body = writePromiseRequest(term);
    peers().forward(host, 'POST', PROMISE_PATH, body, timeoutMs, (reply) =>
      done(reply?.status === PROMISED),
    );
  };
}

/** Status of the answer to a leader that asks for a promise. */
export function answerPromise(giver: PromiseGiver, body: Buffer): number {
  const term = readPromiseRequest(body);
  return term !== null && giver.promiseTo(term) ? PROMISED : NOT_PROMISED;
}
