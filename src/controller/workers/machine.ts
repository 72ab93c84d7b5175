import type { MachineType } from '../wire/cloud.js';
import type { Assignment } from './assignment.js';

export class Machine {
  addr = '';
  typeName = '';
  type: MachineType | null = null;
  zone = '';
  spot = false;
  session = 0;
  /** Sessions below this are over, whether or not the worker has said so. */
  minSession = 0;
  seq: number | bigint = 0;
  /** A report of this session has come that was sent after the worker knew the current term. */
  synced = false;
  lastReportAt = -Infinity;
  /** The worker's lease counts at most from here. */
  leaseFrom: number;
  /** When the cloud takes the machine, by its notice. */
  noticeAt: number | null = null;
  readonly assignments = new Map<string, Assignment>();
  /** Raised to void old direct commands; see token.ts. */
  epoch = 0;
  /**
   * Attempts of this session started by a direct command, with its token. Until the worker shows a
   * higher one, a copy of the command may still be carried out: then absence from a report proves
   * nothing, and `clear` has to come with a higher token.
   */
  readonly direct = new Map<string, number>();
  cpus = 0;
  gpus = 0;
  memoryGb = 0;
  /** Images on the machine, as far as seen; least recently used first. */
  readonly images = new Map<string, number>();
  /** Jobs that failed here since the last success. */
  readonly strikes = new Set<string>();
  quarantines = 0;
  noPlacingBefore = 0;
  /** Being returned to the cloud. */
  leaving = false;
  readonly firstSeen: number;
  idleSince: number;
  listed: 'booting' | 'running' | 'failed' | 'absent' | null = null;
  listedAt = -Infinity;

  constructor(
    readonly id: string,
    now: number,
  ) {
    this.leaseFrom = now;
    this.firstSeen = now;
    this.idleSince = now;
  }

  take(a: Assignment): void {
    this.cpus += a.need.cpus;
    this.gpus += a.need.gpus;
    this.memoryGb += a.need.memoryGb;
  }

  give(a: Assignment): void {
    this.cpus -= a.need.cpus;
    this.gpus -= a.need.gpus;
    this.memoryGb -= a.need.memoryGb;
  }

  /** Tasks that take room. */
  get busy(): boolean {
    for (const a of this.assignments.values()) if (a.phase !== 'ended') return true;
    return false;
  }

  sawImage(image: string, gb: number): void {
    this.images.delete(image);
    this.images.set(image, gb);
    const limit = this.type?.cacheGb ?? Infinity;
    let sum = 0;
    for (const g of this.images.values()) sum += g;
    for (const [name, g] of this.images) {
      if (sum <= limit || this.images.size <= 1) break;
      this.images.delete(name);
      sum -= g;
    }
  }
}
