/** Objects that the parts of the leader's record store share. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { CommitIsolation } from './commit-isolation.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from './client.js';
import type { PageTable } from './page-table.js';
import type { PendingWrites } from './pending-writes.js';
import type { TransactionQueue } from './transaction-queue.js';

/** Records and queues of one leader's term, and the services needed to write them. */
export interface RecordStoreContext {
  readonly eventLoop: EventLoop;
  readonly settings: Settings;
  readonly client: StateStoreClient;
  readonly pages: PageTable;
  readonly pending: PendingWrites;
  readonly transactions: TransactionQueue;
  readonly isolation: CommitIsolation;
}
