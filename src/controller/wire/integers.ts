/** Integers of the protocols, which may be larger than a JavaScript number can hold exactly. */

/**
 * An integer from 0 to below 2^64. Integers from 2^53 on, which a number cannot hold exactly, are bigints; smaller
 * ones are numbers, which are cheaper. So each integer has one representation, `===` compares integers by value,
 * and `<` compares numbers with bigints exactly.
 */
export type Int = number | bigint;

/** The lowest integer that the protocols don't allow. */
const INT_LIMIT = 1n << 64n;

/** Returns true for an `Int` in its only representation. */
export function isInt(value: unknown): value is Int {
  if (typeof value === 'number') return Number.isSafeInteger(value) && value >= 0;
  return typeof value === 'bigint' && value > Number.MAX_SAFE_INTEGER && value < INT_LIMIT;
}

/** Returns the representation of the integer as an `Int`. */
export function toInt(value: bigint): Int {
  return value <= Number.MAX_SAFE_INTEGER ? Number(value) : value;
}

/**
 * Combines two integers into one, `high * lowRange + low`. The results have the order of the pairs.
 * @param lowRange - number of values of `low`, a power of two
 */
export function combineInts(high: Int, lowRange: number, low: number): Int {
  const combined = Number(high) * lowRange + low;
  if (Number.isSafeInteger(combined)) return combined;
  return toInt(BigInt(high) * BigInt(lowRange) + BigInt(low));
}

/** Returns the high part of an integer that `combineInts` returned. */
export function highPart(combined: Int, lowRange: number): Int {
  if (typeof combined === 'bigint') return toInt(combined / BigInt(lowRange));
  return Math.floor(combined / lowRange);
}
