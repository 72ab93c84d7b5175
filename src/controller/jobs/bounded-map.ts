/** A map of limited size, for caches. */

/** A map that drops the entry that was set longest ago once it holds more than its limit. */
export class BoundedMap<Value> {
  /** In the order in which the entries were last set. */
  private readonly entries = new Map<string, Value>();

  /** @param maxEntries - how many entries are kept */
  constructor(private readonly maxEntries: number) {}

  /** The value of the key, unless it was never set, deleted or dropped. */
  get(key: string): Value | undefined {
    return this.entries.get(key);
  }

  /** Sets the value of the key, which becomes the newest entry. */
  set(key: string, value: Value): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.maxEntries) return;
    const oldest = this.entries.keys().next();
    if (oldest.done !== true) this.entries.delete(oldest.value);
  }

  /** Removes the key, if it is there. */
  delete(key: string): void {
    this.entries.delete(key);
  }
}
