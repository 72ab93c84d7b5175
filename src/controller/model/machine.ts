/** Machines as the leader knows them. */
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';
import type { Settings } from '../settings/settings.js';
import { adjustCount } from './keyed-counts.js';
import { MachineRecordSize, type RecordedAssignment } from './machine-record-size.js';

/** What a machine asks of the assignments to it. */
interface MachineAssignment extends RecordedAssignment {
  readonly job: { readonly spec: Pick<JobSpec, 'class'> } | null;
}

/** A machine, its agent's epoch and what is assigned to it, as assignments of the type `TAssignment`. */
export class MachineState<TAssignment extends MachineAssignment> {
  addr = '';
  typeName = '';
  type: MachineType | null = null;
  zone = '';
  spot = false;
  agentEpoch = 0;
  /** Sessions below this are over, whether or not the worker has said so. */
  lowestValidAgentEpoch = 0;
  /** Number of the session's last report. */
  lastHeartbeatSequence: number | bigint = 0;
  /**
   * A report of this session has come that shows the token last asked for: answers get through, and
   * the report is no late copy from before this term.
   */
  tokenAcknowledged = false;
  /** Since when it has not been. */
  tokenUnacknowledgedSince: number;
  /** The token that it has to show. */
  expectedToken = 0;
  /** The highest token that it has shown. */
  highestAcknowledgedToken: number | bigint = 0;
  /** Reports in a row that lack what the answer before had started. */
  lostStartHeartbeats = 0;
  /** Number of the last of these reports. */
  lastLostStartHeartbeat = 0;
  lastHeartbeatAt = -Infinity;
  /** The worker's lease counts at most from here. */
  leaseRenewedAt: number;
  /** When the cloud takes the machine, by its notice. */
  interruptionAt: number | null = null;
  readonly assignments = new Map<string, TAssignment>();
  /** Raised to void old direct commands; see token.ts. */
  fencingEpoch = 0;
  /**
   * Attempts of this session started by a direct command, with its token. Until the worker shows a
   * higher one, a copy of the command may still be carried out: then absence from a report proves
   * nothing, and `clear` has to come with a higher token.
   */
  readonly directStartTokens = new Map<string, number>();
  /** Direct commands that have not been answered. */
  pendingDirectCalls = 0;
  cpus = 0;
  gpus = 0;
  memoryGb = 0;
  /** How large its record is. */
  readonly recordSize: MachineRecordSize;
  /** Tasks that take room, and how many of each class. */
  taskCount = 0;
  readonly taskCountByClass = new Map<string, number>();
  /** Images on the machine, as far as seen; least recently used first. */
  readonly images = new Map<string, number>();
  /** Jobs that failed here since the last success. */
  readonly failedJobs = new Set<string>();
  /** Quarantines in a row. */
  consecutiveQuarantines = 0;
  unschedulableUntil = 0;
  /** Being returned to the cloud. */
  releasing = false;
  readonly firstSeenAt: number;
  idleSince: number;
  cloudState: 'booting' | 'running' | 'failed' | 'absent' | null = null;
  cloudStateAt = -Infinity;

  constructor(
    readonly id: string,
    now: number,
    settings: Settings,
  ) {
    this.recordSize = new MachineRecordSize(settings);
    this.leaseRenewedAt = now;
    this.firstSeenAt = now;
    this.tokenUnacknowledgedSince = now;
    this.idleSince = now;
  }

  /** Takes the assignment's room. */
  allocate(assignment: TAssignment): void {
    this.adjustUsage(assignment, 1);
  }

  /** Gives the assignment's room back. */
  deallocate(assignment: TAssignment): void {
    this.adjustUsage(assignment, -1);
  }

  private adjustUsage({ request, job }: TAssignment, sign: number): void {
    this.taskCount += sign;
    this.cpus += request.cpus * sign;
    this.gpus += request.gpus * sign;
    this.memoryGb += request.memoryGb * sign;
    // Sums of decimals drift; a machine without tasks has none.
    if (this.taskCount === 0) {
      this.cpus = 0;
      this.gpus = 0;
      this.memoryGb = 0;
    }
    if (job !== null) adjustCount(this.taskCountByClass, job.spec.class, sign);
  }

  /** Some task takes room. */
  get isBusy(): boolean {
    return this.taskCount > 0;
  }

  /** Notes the image as the latest used; true if it was not known to be there. */
  recordImageUse(image: string, sizeGb: number): boolean {
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
