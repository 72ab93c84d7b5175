/** Helper for maps that count by key. */

/**
 * Adds `delta` to the count of the key and returns the new count. A key with a count of 0 is
 * removed.
 */
export function adjustCount(counts: Map<string, number>, key: string, delta: number): number {
  const count = (counts.get(key) ?? 0) + delta;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
  return count;
}
