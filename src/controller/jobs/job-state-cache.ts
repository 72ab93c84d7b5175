/** One controller's cache of the states of jobs, within a limit. */
import type { TerminalState } from '../wire/jobs.js';
import { BoundedMap } from './bounded-map.js';

/** Stands for the version of an active record that exists, but that this node has not read. */
const VERSION_UNKNOWN = 0;

/**
 * What this node knows of jobs. A terminal state never changes, so it may be answered from here
 * (invariant 3). That a job is active is only a hint: another node may have ended it since.
 */
export class JobStateCache {
  private readonly terminalStates: BoundedMap<TerminalState>;
  /** Versions of active records, for transactions that replace them. */
  private readonly activeVersions: BoundedMap<number>;

  /** @param maxJobs - how many terminal and how many active jobs are remembered */
  constructor(maxJobs: number) {
    this.terminalStates = new BoundedMap(maxJobs);
    this.activeVersions = new BoundedMap(maxJobs);
  }

  /** The job's terminal state, if this node knows it. */
  terminalState(id: string): TerminalState | undefined {
    return this.terminalStates.get(id);
  }

  /** Whether this node knows that the job was accepted, and does not know that it has ended. */
  isActive(id: string): boolean {
    return this.activeVersions.get(id) !== undefined;
  }

  /** The version of the job's active record, if this node has read or written it. */
  activeVersion(id: string): number | undefined {
    const version = this.activeVersions.get(id);
    return version === VERSION_UNKNOWN ? undefined : version;
  }

  /** Notes that the active record was written or read with this version. */
  setActiveVersion(id: string, version: number): void {
    this.activeVersions.set(id, version);
  }

  /** Notes that the active record exists, in whatever version. */
  markActive(id: string): void {
    if (!this.isActive(id)) this.activeVersions.set(id, VERSION_UNKNOWN);
  }

  /** Forgets what is known of the active record: it is gone or has another version. */
  forgetActive(id: string): void {
    this.activeVersions.delete(id);
  }

  /** Notes how the job has ended. */
  markTerminal(id: string, state: TerminalState): void {
    if (this.terminalStates.get(id) !== undefined) return;
    this.terminalStates.set(id, state);
    this.activeVersions.delete(id);
  }
}
