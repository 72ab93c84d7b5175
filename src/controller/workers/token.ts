/**
 * A worker's token is the leader's term and, below it, an epoch that the leader raises for one
 * worker at a time. Raising it voids every copy, on its way or yet to be repeated, of commands sent
 * straight to that worker before: so a `clear` that travels with the raised token cannot be
 * followed by an old start of the same attempt.
 */
export const EPOCHS = 2 ** 20;

export function makeToken(term: number, epoch: number): number {
  return term * EPOCHS + epoch;
}

export function termOf(token: number | bigint): number {
  return typeof token === 'bigint' ? Number(token / BigInt(EPOCHS)) : Math.floor(token / EPOCHS);
}
