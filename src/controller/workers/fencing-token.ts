/**
 * Fencing tokens of workers.
 *
 * A fencing token combines the leader's term with a fencing epoch below it, which the leader raises for
 * one worker at a time. A worker refuses commands whose token is lower than the highest it has seen.
 * Raising the epoch therefore invalidates every copy, in flight or yet to be repeated, of the direct
 * commands sent to that worker before: a `clear` that travels with the raised token cannot be followed
 * by an old start of the same attempt (docs/design.md, invariant 6).
 */

/** Number of fencing epochs within one term. */
const FENCING_EPOCHS_PER_TERM = 2 ** 20;

/**
 * From this epoch on the worker gets no direct starts, and the epoch is no longer raised only to
 * find out whether the worker receives responses: the epochs left are needed to invalidate the direct
 * starts that are already out.
 */
export const FENCING_EPOCH_LIMIT = FENCING_EPOCHS_PER_TERM - 2;

/** Combines a term and a fencing epoch into a token. */
export function makeFencingToken(term: number, fencingEpoch: number): number {
  return term * FENCING_EPOCHS_PER_TERM + fencingEpoch;
}

/** Extracts the term of a token; workers may report tokens beyond the safe integers. */
export function termOfToken(token: number | bigint): number {
  if (typeof token === 'bigint') return Number(token / BigInt(FENCING_EPOCHS_PER_TERM));
  return Math.floor(token / FENCING_EPOCHS_PER_TERM);
}
