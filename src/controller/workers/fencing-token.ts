/**
 * Fencing tokens of workers.
 *
 * A fencing token combines the leader's term (high part) with a fencing epoch (low part), which the
 * leader raises for each worker separately. A worker refuses commands whose token is lower than the
 * highest token it has seen. Raising the epoch therefore invalidates all copies of the direct
 * commands sent to that worker before, including copies that the network delivers later. After a
 * `clear` that carries the raised token, the worker refuses an old start of the same attempt
 * (docs/design.md, invariant 6).
 */

import { combineInts, highPart, type Int } from '../wire/integers.js';

/** Number of fencing epochs within one term. */
const FENCING_EPOCHS_PER_TERM = 2 ** 20;

/**
 * Highest fencing epoch of normal operation. From this epoch on, no direct starts are sent to the
 * worker, and the epoch is no longer raised just to check whether responses reach the worker. The
 * remaining epochs are reserved for invalidating direct starts that were already sent.
 */
export const FENCING_EPOCH_LIMIT = FENCING_EPOCHS_PER_TERM - 2;

/** Combines a term and a fencing epoch into a token. */
export function makeFencingToken(term: number, fencingEpoch: number): Int {
  return combineInts(term, FENCING_EPOCHS_PER_TERM, fencingEpoch);
}

/** Returns the term of a token. */
export function termOfToken(token: Int): number {
  return Number(highPart(token, FENCING_EPOCHS_PER_TERM));
}
