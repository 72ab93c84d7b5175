/** What the parts of the leader's records share. */
import type { Core } from '../core/core.js';
import type { Settings } from '../settings/settings.js';
import type { StateClient } from './client.js';
import type { Pages } from './pages.js';
import type { PendingWrites } from './pending-writes.js';
import type { TransactionQueue } from './transaction-queue.js';

/** The queues and pages of one leader's term, and the means to write them. */
export interface RecordsContext {
  readonly core: Core;
  readonly settings: Settings;
  readonly client: StateClient;
  readonly pages: Pages;
  readonly pending: PendingWrites;
  readonly transactions: TransactionQueue;
}
