/** Counts kept by key. */

/** Adds `delta` to a key's count and returns the new count; a key whose count is zero is removed. */
export function adjustCount(counts: Map<string, number>, key: string, delta: number): number {
  const count = (counts.get(key) ?? 0) + delta;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
  return count;
}
