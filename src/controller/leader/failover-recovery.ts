/** Reads what the leaders before have left, once this node has been elected. */
import type { EventLoop } from '../runtime/event-loop.js';
import { ACTIVE_PREFIX } from '../jobs/job-records.js';
import type { StateStoreClient } from '../store/client.js';
import { PAGE_PREFIX } from '../store/page-table.js';
import type { KeyValue } from '../wire/state.js';

const READ_TIMEOUT_MS = 3000;
const RETRY_MS = 200;

/** All that is stored. From the election on no earlier leader can change it. */
export interface RecoveredState {
  jobs: KeyValue[];
  /** The state service's revision when the jobs were read. */
  revision: number;
  /** When the read of the jobs was sent. */
  sentAt: number;
  pages: KeyValue[];
}

interface RangeRead {
  items: KeyValue[];
  revision: number;
  sentAt: number;
}

/** What takes in the records of the leaders before. */
export interface RecoveryTarget {
  /** The term is over. */
  readonly closed: boolean;
  /** The live jobs have been read, the pages not yet. */
  activeJobsRead(jobs: readonly KeyValue[]): void;
  recover(inheritance: RecoveredState): void;
}

/** The reads of one takeover; each is repeated until it is answered or the term is over. */
export class FailoverRecovery {
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly client: Pick<StateStoreClient, 'readPrefix'>,
    private readonly target: RecoveryTarget,
  ) {}

  /** Reads jobs, then pages. */
  start(): void {
    this.read(ACTIVE_PREFIX, ({ items: jobs, revision, sentAt }) => {
      this.target.activeJobsRead(jobs);
      this.read(PAGE_PREFIX, ({ items: pages }) => {
        this.target.recover({ jobs, revision, sentAt, pages });
      });
    });
  }

  private read(prefix: string, done: (read: RangeRead) => void): void {
    const sentAt = this.eventLoop.now();
    this.client.readPrefix(prefix, READ_TIMEOUT_MS, (got) => {
      if (this.target.closed) return;
      if (got.kind === 'failed') return this.readLater(prefix, done);
      done({ items: got.value.items, revision: got.value.revision, sentAt });
    });
  }

  private readLater(prefix: string, done: (read: RangeRead) => void): void {
    this.eventLoop.after(RETRY_MS, 'load', () => {
      if (!this.target.closed) this.read(prefix, done);
    });
  }
}
