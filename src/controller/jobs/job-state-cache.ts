/** What one controller remembers of jobs, within a limit. */
import type { TerminalState } from '../wire/jobs.js';

/** A map that forgets its oldest entries. */
class BoundedMap<Value> {
  private readonly map = new Map<string, Value>();

  constructor(private readonly limit: number) {}

  get(key: string): Value | undefined {
    return this.map.get(key);
  }

  set(key: string, value: Value): void {
    this.map.delete(key);
    this.map.set(key, value);
    if (this.map.size <= this.limit) return;
    const oldest = this.map.keys().next();
    if (oldest.done !== true) this.map.delete(oldest.value);
  }

  delete(key: string): void {
    this.map.delete(key);
  }
}

/** The version of a live record that exists, but has not been read. */
const VERSION_UNKNOWN = 0;

/** Jobs that this node knows to be live or to have ended. */
export class JobStateCache {
  private readonly terminalStates: BoundedMap<TerminalState>;
  /** Versions of live records that this node has seen. */
  private readonly activeVersions: BoundedMap<number>;

  /** `limit`: how many of each kind are remembered. */
  constructor(limit: number) {
    this.terminalStates = new BoundedMap(limit);
    this.activeVersions = new BoundedMap(limit);
  }

  /** How the job has ended; the end is for ever. */
  terminalState(id: string): TerminalState | undefined {
    return this.terminalStates.get(id);
  }

  /** The job has been accepted, and this node does not know of its end. */
  isActive(id: string): boolean {
    return this.activeVersions.get(id) !== undefined;
  }

  /** The version of the job's live record, if this node has seen it. */
  activeVersion(id: string): number | undefined {
    const version = this.activeVersions.get(id);
    return version === VERSION_UNKNOWN ? undefined : version;
  }

  /** The live record was written or read with this version. */
  setActiveVersion(id: string, version: number): void {
    this.activeVersions.set(id, version);
  }

  /** The live record exists; its version is not known. */
  markActive(id: string): void {
    if (!this.isActive(id)) this.activeVersions.set(id, VERSION_UNKNOWN);
  }

  /** The live record has gone or has another version. */
  forgetActive(id: string): void {
    this.activeVersions.delete(id);
  }

  /** The job has ended. */
  markTerminal(id: string, state: TerminalState): void {
    if (this.terminalStates.get(id) !== undefined) return;
    this.terminalStates.set(id, state);
    this.activeVersions.delete(id);
  }
}
