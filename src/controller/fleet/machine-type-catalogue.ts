/**
 * The machine types that the cloud offers. Every controller reads them at startup and refreshes them
 * periodically; the leader stores them in the state store for the other controllers.
 */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { RecordStore } from '../store/record-store.js';
import { readCatalogue, writeCatalogue, type MachineType } from '../wire/cloud.js';

const CATALOGUE_KEY = 'catalogue';
const STATE_STORE_TIMEOUT_MS = 1500;
const CLOUD_TIMEOUT_MS = 3000;
/** Shortest delay before a retry. Random jitter makes the delay up to twice as long. */
const RETRY_DELAY_MS = 500;
/** The catalogue is read again when it is older than this many worker leases. */
const REFRESH_LEASES = 3;

/** The part of the leader's term that is needed to store the catalogue. */
export interface CatalogueWriter {
  /** Whether the term has ended. */
  readonly closed: boolean;
  readonly records: Pick<RecordStore, 'transact'>;
}

/** Holds the machine types that this controller has read. */
export class MachineTypeCatalogue {
  private knownTypes: MachineType[] | null = null;
  /** When the types were last read or a refresh was last started, whichever is later. */
  private lastRefreshAt = -Infinity;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: Pick<StateStoreClient, 'read' | 'budget'>,
    /** Returns this controller's term; null unless it is the leader and has recovered the state. */
    private readonly currentTerm: () => CatalogueWriter | null,
  ) {}

  /** The machine types, or null until they have been read. */
  get types(): MachineType[] | null {
    return this.knownTypes;
  }

  /** Reads the catalogue from the state store or, if none can be read there, from the cloud. */
  load(): void {
    this.client.budget.requestTokens.forceTake();
    this.client.read(CATALOGUE_KEY, STATE_STORE_TIMEOUT_MS, (result) => {
      if (result.kind === 'ok' && result.value !== null && this.knownTypes === null)
        this.update(result.value.value);
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
    this.client.budget.requestTokens.forceTake();
    this.client.read(CATALOGUE_KEY, STATE_STORE_TIMEOUT_MS, (result) => {
      if (result.kind === 'failed' || term.closed) return;
      if (result.value !== null && this.knownTypes === null) this.update(result.value.value);
      if (this.knownTypes === null) return;
      const value = writeCatalogue(this.knownTypes);
      if (JSON.stringify(result.value?.value) === JSON.stringify(value)) return;
      const version = result.value?.version ?? 0;
      term.records.transact(
        [{ key: CATALOGUE_KEY, version }],
        [{ put: CATALOGUE_KEY, value }],
        () => undefined,
      );
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

  private update(body: unknown): void {
    try {
      this.knownTypes = readCatalogue(body);
      this.lastRefreshAt = this.eventLoop.now();
    } catch (err) {
      this.eventLoop.log.warn({ err }, 'malformed catalogue of machine types');
    }
  }
}
