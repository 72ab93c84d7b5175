/** The machine types that the cloud offers, read at the start and refreshed now and then. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { RecordStore } from '../store/record-store.js';
import { readCatalogue, writeCatalogue, type MachineType } from '../wire/cloud.js';

const CATALOGUE_KEY = 'catalogue';
const STATE_TIMEOUT_MS = 1500;
const CLOUD_TIMEOUT_MS = 3000;
/** Wait before the next attempt: at least this, and up to as much again. */
const RETRY_MS = 500;
/** The catalogue is read anew after so many leases of the workers. */
const REFRESH_LEASES = 3;

/** The leader's term as far as the catalogue is written under it. */
export interface CatalogueWriter {
  /** The term is over. */
  readonly closed: boolean;
  readonly records: Pick<RecordStore, 'transact'>;
}

/** The cloud's machine types as this node knows them. */
export class MachineTypeCatalogue {
  private known: MachineType[] | null = null;
  private knownAt = -Infinity;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
    private readonly client: Pick<StateStoreClient, 'read' | 'requestTokens'>,
    /** This node's term as leader, if it has taken over. */
    private readonly writer: () => CatalogueWriter | null,
  ) {}

  /** The machine types; `null` until they have been read. */
  get types(): MachineType[] | null {
    return this.known;
  }

  /** Reads what a leader has stored, and asks the cloud where there is nothing. */
  load(): void {
    this.client.requestTokens.forceTake();
    this.client.read(CATALOGUE_KEY, STATE_TIMEOUT_MS, (got) => {
      if (got.kind === 'ok' && got.value !== null && this.known === null)
        this.take(got.value.value);
      if (this.known === null) this.askCloud();
    });
  }

  /** Asks the cloud again if the types are old. */
  refreshIfDue(): void {
    const refreshMs = this.settings.workerLeaseMs * REFRESH_LEASES;
    if (this.known === null || this.eventLoop.now() - this.knownAt <= refreshMs) return;
    this.knownAt = this.eventLoop.now();
    this.askCloud();
  }

  /** Stores the machine types for nodes that start while the cloud does not answer. */
  publish(writer: CatalogueWriter): void {
    this.client.requestTokens.forceTake();
    this.client.read(CATALOGUE_KEY, STATE_TIMEOUT_MS, (got) => {
      if (got.kind === 'failed' || writer.closed) return;
      if (got.value !== null && this.known === null) this.take(got.value.value);
      if (this.known === null) return;
      const value = writeCatalogue(this.known);
      if (JSON.stringify(got.value?.value) === JSON.stringify(value)) return;
      const version = got.value?.version ?? 0;
      writer.records.transact(
        [{ key: CATALOGUE_KEY, version }],
        [{ put: CATALOGUE_KEY, value }],
        () => undefined,
      );
    });
  }

  private askCloud(): void {
    const to = this.settings.platform.cloudAddr;
    this.eventLoop.runtime.call(
      { to, method: 'GET', path: '/catalog', timeoutMs: CLOUD_TIMEOUT_MS },
      (reply) => {
        this.eventLoop.post('catalogue', () => {
          const before = JSON.stringify(this.known);
          if (reply.status === 200) this.take(reply.body);
          if (this.known === null) this.loadLater();
          else if (JSON.stringify(this.known) !== before) this.shareChange();
        });
      },
    );
  }

  private loadLater(): void {
    const delayMs = RETRY_MS + RETRY_MS * this.eventLoop.runtime.random();
    this.eventLoop.after(delayMs, 'catalogue', () => this.load());
  }

  private shareChange(): void {
    const writer = this.writer();
    if (writer !== null) this.publish(writer);
  }

  private take(body: unknown): void {
    try {
      this.known = readCatalogue(body);
      this.knownAt = this.eventLoop.now();
    } catch (err) {
      this.eventLoop.log.warn({ err }, 'broken catalogue');
    }
  }
}
