/** Applies the records of active jobs in the state store to the leader's job table. */
import type { Frontend } from '../jobs/frontend.js';
import { ACTIVE_PREFIX } from '../jobs/job-records.js';
import type { JobTable } from '../jobs/job-table.js';
import type { KeyValue, WatchEvent } from '../wire/state.js';

function jobIdOf(key: string): string {
  return key.slice(ACTIVE_PREFIX.length);
}

/** Keeps the job table consistent with the records of active jobs. */
export class ActiveJobs {
  constructor(
    private readonly frontend: Pick<Frontend, 'terminalState'>,
    private readonly table: Pick<JobTable, 'add' | 'handleRecordRemoved' | 'jobs'>,
  ) {}

  /** Adds the jobs of the given records, except jobs that are known to have ended. */
  add(records: readonly KeyValue[]): void {
    for (const { key, value, version } of records) this.addJob(key, value, version);
  }

  /** Adds the jobs of `records`, which must contain all active jobs, and removes all other jobs. */
  replaceAll(records: readonly KeyValue[]): void {
    const activeKeys = new Set(records.map((record) => record.key));
    this.add(records);
    for (const id of [...this.table.jobs.keys()])
      if (!activeKeys.has(ACTIVE_PREFIX + id)) this.table.handleRecordRemoved(id);
  }

  /** Applies changes of the records of active jobs to the job table, in the given order. */
  apply(events: readonly WatchEvent[]): void {
    for (const event of events) {
      if (event.kind === 'put') this.addJob(event.key, event.value, event.version);
      else this.table.handleRecordRemoved(jobIdOf(event.key));
    }
  }

  private addJob(key: string, value: unknown, version: number): void {
    const id = jobIdOf(key);
    // Another node may have informed this node already that the job has ended.
    if (this.frontend.terminalState(id) === null) this.table.add(id, value, version);
  }
}
