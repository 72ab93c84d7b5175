/** A controller's cache of the states of jobs, limited in size. */
import type { TerminalState } from '../wire/jobs.js';
import { BoundedMap } from './bounded-map.js';

/** Value in `activeVersions` for an active job if this node doesn't know its record's version. */
const VERSION_UNKNOWN = 0;

/**
 * Caches the states of jobs. A terminal state never changes, so users may be answered from this
 * cache (invariant 3). An active state is only a hint, since another node may have ended the job.
 */
export class JobStateCache {
  private readonly terminalStates: BoundedMap<TerminalState>;
  /** Versions of active records, for the conditions of transactions that replace them. */
  private readonly activeVersions: BoundedMap<number>;

  /** @param maxJobs - maximum number of terminal jobs and, counted separately, of active jobs */
  constructor(maxJobs: number) {
    this.terminalStates = new BoundedMap(maxJobs);
    this.activeVersions = new BoundedMap(maxJobs);
  }

  /** Returns the job's terminal state, or undefined if this node doesn't know one. */
  terminalState(id: string): TerminalState | undefined {
    return this.terminalStates.get(id);
  }

  /** Returns true if this node knows that the job was accepted, but not that it has ended. */
  isActive(id: string): boolean {
    return this.activeVersions.get(id) !== undefined;
  }

  /** Returns the version of the job's active record, or undefined if this node doesn't know it. */
  activeVersion(id: string): number | undefined {
    const version = this.activeVersions.get(id);
    return version === VERSION_UNKNOWN ? undefined : version;
  }

  /** Stores the version with which the job's active record was written or read. */
  setActiveVersion(id: string, version: number): void {
    this.activeVersions.set(id, version);
  }

  /** Marks the job as active without changing a known version of its active record. */
  markActive(id: string): void {
    if (!this.isActive(id)) this.activeVersions.set(id, VERSION_UNKNOWN);
  }

  /** Forgets that the job is active. Called if its record is gone or has another version. */
  forgetActive(id: string): void {
    this.activeVersions.delete(id);
  }

  /** Stores the job's terminal state, unless one is already stored. */
  markTerminal(id: string, state: TerminalState): void {
    if (this.terminalStates.get(id) !== undefined) return;
    this.terminalStates.set(id, state);
    this.activeVersions.delete(id);
  }
}
