/**
 * Worker tokens.
 *
 * A worker's token is the leader's term and, below it, an epoch that the leader raises for one
 * worker at a time. Raising it voids every copy, on its way or yet to be repeated, of commands sent
 * straight to that worker before: so a `clear` that travels with the raised token cannot be
 * followed by an old start of the same attempt.
 */

/** Epochs that fit below one term in a token. */
export const FENCING_EPOCHS_PER_TERM = 2 ** 20;

/**
 * From this epoch on the worker gets no direct starts, and none is raised only to see whether it
 * hears: what is left is kept for voiding the direct starts that are out.
 */
export const FENCING_EPOCH_LIMIT = FENCING_EPOCHS_PER_TERM - 2;

/** The token of a term and an epoch. */
export function makeFencingToken(term: number, fencingEpoch: number): number {
  return term * FENCING_EPOCHS_PER_TERM + fencingEpoch;
}

/** The term in a token; workers may report tokens beyond the safe integers. */
export function termOfToken(token: number | bigint): number {
  if (typeof token === 'bigint') return Number(token / BigInt(FENCING_EPOCHS_PER_TERM));
  return Math.floor(token / FENCING_EPOCHS_PER_TERM);
}
