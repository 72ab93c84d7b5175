/** Reads the state that previous leaders stored, after this node has been elected. */
import { ACTIVE_PREFIX } from '../jobs/job-records.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { StateStoreClient } from '../store/client.js';
import { PAGE_PREFIX } from '../store/page-codec.js';
import type { KeyValue } from '../wire/state.js';

const READ_TIMEOUT_MS = 3000;
const RETRY_DELAY_MS = 200;

/** The stored state. No previous leader can change it after the election. */
export interface RecoveredState {
  /** Records of the active jobs. */
  jobs: KeyValue[];
  /** The state store's revision when the jobs were read. */
  revision: number;
  /** When the read of the jobs was sent, on this node's monotonic clock in ms. */
  sentAt: number;
  /** The pages, which contain all records except those of active jobs. */
  pages: KeyValue[];
}

interface PrefixRead {
  items: KeyValue[];
  revision: number;
  sentAt: number;
}

/** Receives the recovered state. */
export interface RecoveryTarget {
  /** Whether the term has ended; if so, nothing more is read. */
  readonly closed: boolean;
  /** Called when the active jobs have been read, before the pages are read. */
  activeJobsRead(jobs: readonly KeyValue[]): void;
  /** Called when the whole state has been read. */
  recover(state: RecoveredState): void;
}

/** Reads the state once per term; each read is repeated until it succeeds or the term has ended. */
export class FailoverRecovery {
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly client: Pick<StateStoreClient, 'readPrefix'>,
    private readonly target: RecoveryTarget,
  ) {}

  /** Starts to read the jobs and then the pages. */
  start(): void {
    this.read(ACTIVE_PREFIX, ({ items: jobs, revision, sentAt }) => {
      this.target.activeJobsRead(jobs);
      this.read(PAGE_PREFIX, ({ items: pages }) => {
        this.target.recover({ jobs, revision, sentAt, pages });
      });
    });
  }

  private read(prefix: string, done: (read: PrefixRead) => void): void {
    const sentAt = this.eventLoop.now();
    this.client.readPrefix(prefix, READ_TIMEOUT_MS, (result) => {
      if (this.target.closed) return;
      if (result.kind === 'failed') return this.retry(prefix, done);
      done({ items: result.value.items, revision: result.value.revision, sentAt });
    });
  }

  private retry(prefix: string, done: (read: PrefixRead) => void): void {
    this.eventLoop.after(RETRY_DELAY_MS, 'recovery-retry', () => {
      if (!this.target.closed) this.read(prefix, done);
    });
  }
}
