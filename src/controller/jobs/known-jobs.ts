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
export class KnownJobs {
  private readonly finals: BoundedMap<TerminalState>;
  /** Versions of live records that this node has seen. */
  private readonly live: BoundedMap<number>;

  /** `limit`: how many of each kind are remembered. */
  constructor(limit: number) {
    this.finals = new BoundedMap(limit);
    this.live = new BoundedMap(limit);
  }

  /** How the job has ended; the end is for ever. */
  finalState(id: string): TerminalState | undefined {
    return this.finals.get(id);
  }

  /** The job has been accepted, and this node does not know of its end. */
  isLive(id: string): boolean {
    return this.live.get(id) !== undefined;
  }

  /** The version of the job's live record, if this node has seen it. */
  liveVersion(id: string): number | undefined {
    const version = this.live.get(id);
    return version === VERSION_UNKNOWN ? undefined : version;
  }

  /** The live record was written or read with this version. */
  setLive(id: string, version: number): void {
    this.live.set(id, version);
  }

  /** The live record exists; its version is not known. */
  learnLive(id: string): void {
    if (!this.isLive(id)) this.live.set(id, VERSION_UNKNOWN);
  }

  /** The live record has gone or has another version. */
  forgetLive(id: string): void {
    this.live.delete(id);
  }

  /** The job has ended. */
  learnFinal(id: string, state: TerminalState): void {
    if (this.finals.get(id) !== undefined) return;
    this.finals.set(id, state);
    this.live.delete(id);
  }
}
