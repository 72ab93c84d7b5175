/** Machines as the leader knows them. */
import type { MachineType } from '../wire/cloud.js';
import type { Settings } from '../settings/settings.js';
import type { Assignment } from './assignment.js';
import { addToCount } from './counts.js';
import { RecordSize } from './record.js';

/** A machine, its worker's session and what is assigned to it. */
export class Machine {
  addr = '';
  typeName = '';
  type: MachineType | null = null;
  zone = '';
  spot = false;
  session = 0;
  /** Sessions below this are over, whether or not the worker has said so. */
  lowestValidSession = 0;
  /** Number of the session's last report. */
  lastSeq: number | bigint = 0;
  /**
   * A report of this session has come that shows the token last asked for: answers get through, and
   * the report is no late copy from before this term.
   */
  synced = false;
  /** Since when it has not been. */
  unsyncedSince: number;
  /** The token that it has to show. */
  expectedToken = 0;
  /** The highest token that it has shown. */
  highestTokenSeen: number | bigint = 0;
  /** Reports in a row that lack what the answer before had started. */
  unheardStarts = 0;
  /** Number of the last of these reports. */
  unheardStartsReport = 0;
  lastReportAt = -Infinity;
  /** The worker's lease counts at most from here. */
  leaseRenewedAt: number;
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
  readonly directStartTokens = new Map<string, number>();
  /** Direct commands that have not been answered. */
  openDirectCalls = 0;
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
  readonly failedJobs = new Set<string>();
  /** Quarantines in a row. */
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
    this.leaseRenewedAt = now;
    this.firstSeen = now;
    this.unsyncedSince = now;
    this.idleSince = now;
  }

  /** Takes the assignment's room. */
  countIn(assignment: Assignment): void {
    this.count(assignment, 1);
  }

  /** Gives the assignment's room back. */
  countOut(assignment: Assignment): void {
    this.count(assignment, -1);
  }

  private count({ need, job }: Assignment, by: number): void {
    this.tasks += by;
    this.cpus += need.cpus * by;
    this.gpus += need.gpus * by;
    this.memoryGb += need.memoryGb * by;
    // Sums of decimals drift; a machine without tasks has none.
    if (this.tasks === 0) {
      this.cpus = 0;
      this.gpus = 0;
      this.memoryGb = 0;
    }
    if (job !== null) addToCount(this.classes, job.spec.class, by);
  }

  /** Some task takes room. */
  get busy(): boolean {
    return this.tasks > 0;
  }

  /** Notes the image as the latest used; true if it was not known to be there. */
  sawImage(image: string, sizeGb: number): boolean {
    const known = this.images.delete(image);
    this.images.set(image, sizeGb);
    if (known) return false;
    this.evictImages(this.type?.cacheGb ?? Infinity);
    return true;
  }

  /** Forgets the least recently used images beyond the machine's cache, but never the last one. */
  private evictImages(cacheGb: number): void {
    let totalGb = 0;
    for (const sizeGb of this.images.values()) totalGb += sizeGb;
    for (const [image, sizeGb] of this.images) {
      if (totalGb <= cacheGb || this.images.size <= 1) break;
      this.images.delete(image);
      totalGb -= sizeGb;
    }
  }
}
