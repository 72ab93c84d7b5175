/** Reads what the leaders before have left, once this node has been elected. */
import type { Core } from '../core/core.js';
import { LIVE } from '../jobs/feed.js';
import type { Settings } from '../settings/settings.js';
import type { StateClient } from '../store/client.js';
import { PAGES } from '../store/pages.js';
import type { Item } from '../wire/state.js';

/** A read may take this ratio of the leader's lease: a slower service could not keep a leader. */
const READ_TIMEOUT_LEASES = 1.05;
const RETRY_MS = 200;

/** All that is stored. From the election on no earlier leader can change it. */
export interface Inheritance {
  jobs: Item[];
  /** The state service's revision when the jobs were read. */
  revision: number;
  /** When the read of the jobs was sent. */
  sentAt: number;
  pages: Item[];
}

interface RangeRead {
  items: Item[];
  revision: number;
  sentAt: number;
}

/** What takes in the records of the leaders before. */
export interface Heir {
  /** The term is over. */
  readonly closed: boolean;
  /** The live jobs have been read, the pages not yet. */
  jobsRead(jobs: readonly Item[]): void;
  takeOver(inheritance: Inheritance): void;
}

/** The reads of one takeover; each is repeated until it is answered or the term is over. */
export class Takeover {
  constructor(
    private readonly core: Core,
    private readonly settings: Pick<Settings, 'leaderLeaseMs'>,
    private readonly client: Pick<StateClient, 'range'>,
    private readonly heir: Heir,
  ) {}

  /** Reads jobs, then pages. */
  start(): void {
    this.read(LIVE, ({ items: jobs, revision, sentAt }) => {
      this.heir.jobsRead(jobs);
      this.read(PAGES, ({ items: pages }) => {
        this.heir.takeOver({ jobs, revision, sentAt, pages });
      });
    });
  }

  private read(prefix: string, done: (read: RangeRead) => void): void {
    const sentAt = this.core.now();
    const timeoutMs = this.settings.leaderLeaseMs * READ_TIMEOUT_LEASES;
    this.client.range(prefix, timeoutMs, (got) => {
      if (this.heir.closed) return;
      if (got.kind === 'failed') return this.readLater(prefix, done);
      done({ items: got.value.items, revision: got.value.revision, sentAt });
    });
  }

  private readLater(prefix: string, done: (read: RangeRead) => void): void {
    this.core.after(RETRY_MS, 'load', () => {
      if (!this.heir.closed) this.read(prefix, done);
    });
  }
}
