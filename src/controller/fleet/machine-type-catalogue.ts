/**
 * The machine types that the cloud offers. Every controller reads them at startup and refreshes them
 * periodically; the leader stores them in the state store for the other controllers.
 */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { readCatalogue, type MachineType } from '../wire/cloud.js';
import { CatalogueStore, type CatalogueWriter } from './catalogue-store.js';

const CLOUD_TIMEOUT_MS = 3000;
/** Shortest delay before a retry. Random jitter makes the delay up to twice as long. */
const RETRY_DELAY_MS = 500;
/** The catalogue is read again when it is older than this many worker leases. */
const REFRESH_LEASES = 3;

/** Holds the machine types that this controller has read. */
export class MachineTypeCatalogue {
  private knownTypes: MachineType[] | null = null;
  /** When the types were last read or a refresh was last started, whichever is later. */
  private lastRefreshAt = -Infinity;
  private readonly store: CatalogueStore;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    client: Pick<StateStoreClient, 'read' | 'readPrefix' | 'budget'>,
    /** Returns this controller's term; null unless it is the leader and has recovered the state. */
    private readonly currentTerm: () => CatalogueWriter | null,
  ) {
    const wallClock = (): number => eventLoop.runtime.wallClock();
    this.store = new CatalogueStore(client, eventLoop.log, wallClock);
  }

  /** The machine types, or null until they have been read. */
  get types(): MachineType[] | null {
    return this.knownTypes;
  }

  /** Reads the catalogue from the state store or, if none can be read there, from the cloud. */
  load(): void {
    this.store.read((body) => {
      this.updateIfUnknown(body);
      if (this.knownTypes === null) this.readFromCloud();
    });
  }

  /** Reads the types from the cloud again if they were read too long ago. */
  refreshIfDue(): void {
    const refreshMs = this.settings.workerLeaseMs * REFRESH_LEASES;
    if (this.knownTypes === null || this.eventLoop.now() - this.lastRefreshAt <= refreshMs) return;
    this.lastRefreshAt = this.eventLoop.now();
    this.readFromCloud();
  }

  /** Stores the catalogue in the state store, for controllers that start while the cloud is unavailable. */
  publish(term: CatalogueWriter): void {
    this.store.save(term, (stored) => {
      this.updateIfUnknown(stored);
      return this.knownTypes;
    });
  }

  private readFromCloud(): void {
    const to = this.settings.platform.cloudAddr;
    this.eventLoop.runtime.call(
      { to, method: 'GET', path: '/catalog', timeoutMs: CLOUD_TIMEOUT_MS },
      (reply) => {
        this.eventLoop.post('catalogue', () => {
          const previousTypesJson = JSON.stringify(this.knownTypes);
          if (reply.status === 200) this.update(reply.body);
          if (this.knownTypes === null) this.retryLoad();
          else if (JSON.stringify(this.knownTypes) !== previousTypesJson) this.publishChange();
        });
      },
    );
  }

  private retryLoad(): void {
    const delayMs = RETRY_DELAY_MS + RETRY_DELAY_MS * this.eventLoop.runtime.random();
    this.eventLoop.after(delayMs, 'catalogue', () => this.load());
  }

  private publishChange(): void {
    const term = this.currentTerm();
    if (term !== null) this.publish(term);
  }

  private updateIfUnknown(stored: unknown): void {
    if (stored !== null && this.knownTypes === null) this.update(stored);
  }

  private update(body: unknown): void {
    try {
      this.knownTypes = readCatalogue(body);
      this.lastRefreshAt = this.eventLoop.now();
    } catch (err) {
      this.eventLoop.log.warn({ err }, 'malformed catalogue of machine types');
    }
  }
}
