/** The data of the simulated state store: versioned entries, leases, a change log, and watches. */
import type { Reply } from '../../../src/controller/runtime/runtime.js';
import type { StateLimits } from '../../../src/controller/settings/platform.js';
import type { Respond } from '../network.js';

/** Number of newest changes that the log keeps, by default. It is trimmed when it is twice as long. */
const RETAINED_CHANGES = 10_000;
/** Maximum number of conditions of a transaction, as a multiple of its maximum number of writes. */
const MAX_CONDITIONS_PER_WRITE = 4;

interface Entry {
  value: unknown;
  version: number;
  leaseId: number | null;
}

interface Change {
  revision: number;
  key: string;
  value: unknown;
  deleted: boolean;
}

interface Lease {
  lifeMs: number;
  expiresAt: number;
}

/** A controller's pending request for changes of the keys that start with a given prefix. */
export interface Watch {
  watcher: string;
  prefix: string;
  /** Only changes with a higher revision are reported. */
  afterRevision: number;
  respond: Respond;
  open: boolean;
}

/** The version that a key must have; 0 means that the key must not exist. */
interface Condition {
  k: string;
  stamp: number;
}

/** A put or a deletion of one key, as on the wire. A put can be bound to a lease (`permit`). */
interface Write {
  set?: string;
  delete?: string;
  value?: unknown;
  permit?: number;
}

/** A compare-and-swap transaction, as on the wire. */
export interface Transaction {
  if?: Condition[];
  writes?: Write[];
}

/** Returns whether a transaction is within the state store's limits on its size. */
export function withinLimits(transaction: Transaction, limits: StateLimits): boolean {
  const { writes = [], if: conditions = [] } = transaction;
  const { txnOps, valueKb } = limits;
  if (writes.length > txnOps || conditions.length > MAX_CONDITIONS_PER_WRITE * txnOps) return false;
  return writes.every(
    ({ value }) => Buffer.byteLength(JSON.stringify(value ?? null)) <= valueKb * 1024,
  );
}

/**
 * Stores versioned entries, leases and watches. The end of a lease deletes the entries bound to it.
 */
export class KeyValueStore {
  readonly entries = new Map<string, Entry>();
  private readonly leases = new Map<number, Lease>();
  private log: Change[] = [];
  private watches: Watch[] = [];
  private lastLeaseId = 0;

  /**
   * Creates an empty store; `onRead` is called for each key that a watch reports to a controller.
   * @param revision - number of changes that the store has counted before
   * @param retainedChanges - number of newest changes that watches can be answered from
   */
  constructor(
    private readonly now: () => number,
    private readonly onRead: (reader: string, key: string) => void,
    private revision = 0,
    private readonly retainedChanges = RETAINED_CHANGES,
  ) {}

  /** Grants a lease and returns its id. */
  grant(lifeMs: number): number {
    const id = ++this.lastLeaseId;
    this.leases.set(id, { lifeMs, expiresAt: this.now() + lifeMs });
    return id;
  }

  /** Renews a lease; returns false if it does not exist. */
  renew(id: number): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    lease.expiresAt = this.now() + lease.lifeMs;
    return true;
  }

  /** Renews every lease. */
  renewAll(): void {
    for (const id of this.leases.keys()) this.renew(id);
  }

  /** Revokes the leases that have expired. */
  expireLeases(): void {
    for (const [id, lease] of this.leases) if (this.now() > lease.expiresAt) this.revoke(id);
  }

  /**
   * Ends a lease and deletes the entries bound to it; returns false if the lease does not exist.
   */
  revoke(id: number): boolean {
    if (!this.leases.delete(id)) return false;
    const keys = [...this.entries].filter(([, { leaseId }]) => leaseId === id).map(([key]) => key);
    if (keys.length === 0) return true;
    this.revision++;
    for (const key of keys) this.change(key, undefined, null, true);
    this.notify();
    return true;
  }

  /** Returns the response to a read of one key. */
  read(key: string): Reply {
    const entry = this.entries.get(key);
    if (entry === undefined) return { status: 404, body: { ledger: this.revision } };
    return { status: 200, body: { k: key, value: entry.value, stamp: entry.version } };
  }

  /**
   * Returns the response to a read of one page: the first `limit` keys that start with the prefix
   * and sort after `after`.
   */
  readPage(prefix: string, after: string, limit: number): Reply {
    const keys = [...this.entries.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const entries = keys.slice(0, limit).map((key) => {
      const entry = this.entries.get(key);
      return { k: key, value: entry?.value, stamp: entry?.version };
    });
    const body = { entries, has_next: keys.length > entries.length, ledger: this.revision };
    return { status: 200, body };
  }

  /** Commits or rejects a transaction as a whole, and returns the response to it. */
  commit(transaction: Transaction): Reply {
    const { writes = [], if: conditions = [] } = transaction;
    if (writes.some(({ permit }) => permit !== undefined && !this.leases.has(permit)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = this.failedKeys(conditions);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    if (writes.length > 0) this.apply(writes);
    return { status: 200, body: { ledger: this.revision } };
  }

  private failedKeys(conditions: readonly Condition[]): string[] {
    return conditions
      .filter(({ k, stamp }) => (this.entries.get(k)?.version ?? 0) !== stamp)
      .map(({ k }) => k);
  }

  private apply(writes: readonly Write[]): void {
    this.revision++;
    for (const write of writes) {
      if (write.set !== undefined) this.change(write.set, write.value, write.permit ?? null, false);
      else if (write.delete !== undefined && this.entries.has(write.delete))
        this.change(write.delete, undefined, null, true);
    }
    this.notify();
  }

  /**
   * Registers a watch, which is answered as soon as there are changes. Returns false if the log no
   * longer has all changes after the watch's revision.
   */
  watch(watch: Watch): boolean {
    const oldest = this.log[0]?.revision ?? this.revision + 1;
    if (watch.afterRevision < oldest - 1) return false;
    this.watches.push(watch);
    this.answerIfChanged(watch);
    return true;
  }

  /** Answers a watch with an empty list of changes, unless the watch has been answered already. */
  closeWatch(watch: Watch): void {
    if (!watch.open) return;
    watch.open = false;
    watch.respond({ status: 200, body: { ledger: this.revision, log: [] } });
  }

  private change(key: string, value: unknown, leaseId: number | null, deleted: boolean): void {
    if (deleted) this.entries.delete(key);
    else this.entries.set(key, { value, version: this.revision, leaseId });
    this.log.push({ revision: this.revision, key, value, deleted });
    if (this.log.length > 2 * this.retainedChanges)
      this.log = this.log.slice(-this.retainedChanges);
  }

  private notify(): void {
    for (const watch of this.watches) this.answerIfChanged(watch);
    this.watches = this.watches.filter((watch) => watch.open);
  }

  private answerIfChanged(watch: Watch): void {
    if (!watch.open) return;
    // The log is in order of revision, so the search ends at the first change that is not newer.
    let first = this.log.length;
    while (first > 0 && (this.log[first - 1]?.revision ?? 0) > watch.afterRevision) first--;
    const changes = this.log.slice(first).filter(({ key }) => key.startsWith(watch.prefix));
    if (changes.length === 0) return;
    for (const { key } of changes) this.onRead(watch.watcher, key);
    watch.open = false;
    watch.respond({ status: 200, body: { ledger: this.revision, log: changes.map(toLogEntry) } });
  }
}

function toLogEntry({ key, value, revision: stamp, deleted }: Change): Record<string, unknown> {
  return deleted ? { delete: key, stamp } : { set: key, value, stamp };
}
