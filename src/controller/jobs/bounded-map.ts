/** A map of limited size, for caches. */

/** A map that drops the least recently set entry when it exceeds its maximum size. */
export class BoundedMap<Value> {
  /** Entries in the order in which they were last set. */
  private readonly entries = new Map<string, Value>();

  /** @param maxEntries - maximum number of entries */
  constructor(private readonly maxEntries: number) {}

  /** Returns the value of the key, or undefined if the map does not contain the key. */
  get(key: string): Value | undefined {
    return this.entries.get(key);
  }

  /** Sets the value of the key and makes it the most recently set entry. */
  set(key: string, value: Value): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.maxEntries) return;
    const oldest = this.entries.keys().next();
    if (oldest.done !== true) this.entries.delete(oldest.value);
  }

  /** Removes the key if it exists. */
  delete(key: string): void {
    this.entries.delete(key);
  }
}
