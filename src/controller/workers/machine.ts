import type { MachineType } from '../wire/cloud.js';
import type { Settings } from '../settings/settings.js';
import type { Assignment } from './assignment.js';
import { RecordSize } from './record.js';

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
  /**
   * A report of this session has come that shows the token last asked for: answers get through, and
   * the report is no late copy from before this term.
   */
  synced = false;
  /** Since when it has not been. */
  unsyncedFrom: number;
  /** The token that it has to show. */
  echo = 0;
  /** The highest token that it has shown. */
  shown: number | bigint = 0;
  /** Reports in a row that lack what the answer before had started, and the last of them. */
  dropped = 0;
  droppedIn = 0;
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
  /** Direct commands that have not been answered. */
  directOpen = 0;
  cpus = 0;
  gpus = 0;
  memoryGb = 0;
  /** How large its record is. */
  readonly record: RecordSize;
  /** Tasks that take room, and how many of each class. */
  tasks = 0;
  readonly classes = new Map<string, number>();
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
    settings: Settings,
  ) {
    this.record = new RecordSize(settings);
    this.leaseFrom = now;
    this.firstSeen = now;
    this.unsyncedFrom = now;
    this.idleSince = now;
  }

  take(a: Assignment): void {
    this.count(a, 1);
  }

  give(a: Assignment): void {
    this.count(a, -1);
  }

  private count(a: Assignment, by: number): void {
    this.tasks += by;
    this.cpus += a.need.cpus * by;
    this.gpus += a.need.gpus * by;
    this.memoryGb += a.need.memoryGb * by;
    // Sums of decimals drift; a machine without tasks has none.
    if (this.tasks === 0) this.cpus = this.gpus = this.memoryGb = 0;
    if (a.job === null) return;
    const { class: cls } = a.job.spec;
    this.classes.set(cls, (this.classes.get(cls) ?? 0) + by);
    if (this.classes.get(cls) === 0) this.classes.delete(cls);
  }

  /** Some task takes room. */
  get busy(): boolean {
    return this.tasks > 0;
  }

  /** True if that was not known. */
  sawImage(image: string, gb: number): boolean {
    const fresh = !this.images.delete(image);
    this.images.set(image, gb);
    if (!fresh) return false;
    const limit = this.type?.cacheGb ?? Infinity;
    let sum = 0;
    for (const g of this.images.values()) sum += g;
    for (const [name, g] of this.images) {
      if (sum <= limit || this.images.size <= 1) break;
      this.images.delete(name);
      sum -= g;
    }
    return true;
  }
}
