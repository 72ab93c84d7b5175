/** Machines as the leader knows them. */
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';
import { adjustCount } from './keyed-counts.js';
import { MachineRecordSize, type RecordedAssignment } from './machine-record-size.js';

/** What a machine asks of the assignments to it. */
interface MachineAssignment extends RecordedAssignment {
  readonly job: { readonly spec: Pick<JobSpec, 'class'> } | null;
}

/** State of a machine in the cloud's list; `absent` if it was listed once and no longer is. */
export type CloudState = 'booting' | 'running' | 'failed' | 'absent';

/**
 * A machine, its worker's agent epoch and what is assigned to it, as assignments of the type
 * `TAssignment`. All times are on the steady clock, in ms.
 */
export class MachineState<TAssignment extends MachineAssignment> {
  // What heartbeats and the cloud's list say of the machine.

  /** `host:port` of the worker; empty while it is not known. */
  addr = '';
  typeName = '';
  /** null while the catalogue has no type of that name. */
  type: MachineType | null = null;
  zone = '';
  spot = false;
  /** State in the cloud's list; null if it was never listed. */
  cloudState: CloudState | null = null;
  /** When the cloud's list last contained the machine. */
  cloudStateAt = -Infinity;
  /** When the cloud takes the machine back, by its spot interruption notice. */
  interruptionAt: number | null = null;
  /** It is being returned to the cloud. */
  releasing = false;

  // The worker's agent epoch and lease.

  /** Raised by the worker each time its lease has ended; 0 before its first heartbeat. */
  agentEpoch = 0;
  /** Agent epochs below this are over, even if the worker has not begun a new one. */
  lowestValidAgentEpoch = 0;
  /** Sequence number of the last heartbeat in the agent epoch. */
  lastHeartbeatSequence: number | bigint = 0;
  readonly firstSeenAt: number;
  /** Last heartbeat in this term; -Infinity before the first. */
  lastHeartbeatAt = -Infinity;
  /** The worker's lease has expired for certain one lease after this time; see `AgentEpochs`. */
  leaseRenewedAt: number;

  // Fencing, and whether responses reach the worker; see `FencingTokenSync`.

  /** Part of the fencing token below the term; raised to invalidate direct commands sent before. */
  fencingEpoch = 0;
  /** The fencing token that the worker has to show before anything is placed on the machine. */
  expectedToken = 0;
  /**
   * A heartbeat of this agent epoch has shown the expected token: responses reach the worker, and the
   * heartbeat is no late copy from before this term.
   */
  tokenAcknowledged = false;
  /** Since when the expected token has not been acknowledged. */
  tokenUnacknowledgedSince: number;
  /** The highest token that the worker has shown. */
  highestAcknowledgedToken: number | bigint = 0;
  /** Heartbeats in a row that lacked a task whose start the response before had carried. */
  lostStartHeartbeats = 0;
  /** Number of the last of these heartbeats. */
  lastLostStartHeartbeat = 0;
  /**
   * Attempts started by direct commands in this agent epoch, with the token of the command. Until the
   * worker shows a higher token a copy of the command may be carried out: until then absence from a
   * heartbeat proves nothing, and `clear` needs a higher token (invariant 6).
   */
  readonly directStartTokens = new Map<string, number>();
  /** Calls with direct commands that wait for their response. */
  pendingDirectCalls = 0;

  // Assignments, and what they use until they are proven gone.

  /** Assignments by task name, including those that have ended but are still on record. */
  readonly assignments = new Map<string, TAssignment>();
  cpus = 0;
  gpus = 0;
  memoryGb = 0;
  taskCount = 0;
  readonly taskCountByClass = new Map<string, number>();
  /** Size of the machine's record. */
  readonly recordSize: MachineRecordSize;
  idleSince: number;

  // What is known for placement.

  /** Images known to be cached on the machine with their sizes in GB, least recently used first. */
  readonly images = new Map<string, number>();
  /** Jobs that failed on the machine since a task was last completed on it. */
  readonly failedJobs = new Set<string>();
  /** Quarantines since a task was last completed on the machine. */
  consecutiveQuarantines = 0;
  /** Nothing is placed on the machine before this time, after failures. */
  unschedulableUntil = 0;

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

  /** Allocates the resources that the assignment requests. */
  allocate(assignment: TAssignment): void {
    this.adjustUsage(assignment, 1);
  }

  /** Frees the resources that the assignment requests. */
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

  /** Whether some task uses the machine. */
  get isBusy(): boolean {
    return this.taskCount > 0;
  }

  /** Notes the image as the most recently used. Returns true if it was not known to be cached. */
  recordImageUse(image: string, sizeGb: number): boolean {
    const wasKnown = this.images.delete(image);
    this.images.set(image, sizeGb);
    if (wasKnown) return false;
    this.evictImages(this.type?.cacheGb ?? Infinity);
    return true;
  }

  /** Forgets the least recently used images beyond the size of the cache, but never the last one. */
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
