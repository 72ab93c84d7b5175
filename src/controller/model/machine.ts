/** The leader's state of a machine. */
import type { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { Int } from '../wire/integers.js';
import type { JobSpec } from '../wire/jobs.js';
import { adjustCount } from './keyed-counts.js';
import { MachineRecordSize, type RecordedAssignment } from './machine-record-size.js';

/** The fields of an assignment that a machine uses. */
interface MachineAssignment extends RecordedAssignment {
  readonly job: { readonly spec: Pick<JobSpec, 'class'> } | null;
}

/** State of a machine in the cloud's list; `absent` if the machine is no longer listed. */
export type CloudState = 'booting' | 'running' | 'failed' | 'absent';

/**
 * A machine, its worker's agent epoch and the assignments to it, which have the type `TAssignment`.
 * All times are on the monotonic clock, in ms.
 */
export class MachineState<TAssignment extends MachineAssignment> {
  // Properties reported by heartbeats and by the cloud's list.

  /** `host:port` of the worker; empty while it is not known. */
  addr = '';
  typeName = '';
  /** The machine's type; null while the catalogue contains no type named `typeName`. */
  type: MachineType | null = null;
  zone = '';
  spot = false;
  /** State in the cloud's list; null if the machine was never listed. */
  cloudState: CloudState | null = null;
  /** Time at which the cloud's list last contained the machine. */
  cloudStateAt = -Infinity;
  /** Time at which the cloud will reclaim the spot machine; null without an interruption notice. */
  interruptionAt: number | null = null;
  /** Whether the machine is being released to the cloud. */
  releasing = false;

  // The worker's agent epoch and lease.

  /** Incremented by the worker after each of its leases has ended; 0 before the first heartbeat. */
  agentEpoch = 0;
  /** Agent epochs below this number have ended, even if the worker has not begun a new one yet. */
  lowestValidAgentEpoch = 0;
  /** Sequence number of the last heartbeat in the present agent epoch. */
  lastHeartbeatSequence: Int = 0;
  /** Time at which this leader registered the machine. */
  readonly firstSeenAt: number;
  /** Time of the last heartbeat in this term; -Infinity before the first. */
  lastHeartbeatAt = -Infinity;
  /**
   * Latest time at which the worker's lease may have been renewed. The lease has certainly expired
   * once its length, an allowance for clock drift and a margin have passed since then; see
   * `AgentEpochs`.
   */
  leaseRenewedAt: number;

  // Fencing tokens, which also show whether responses reach the worker; see `FencingTokenSync`.

  /**
   * Low part of the fencing token; raised to invalidate direct commands that were sent before, or
   * to check whether responses reach the worker.
   */
  fencingEpoch = 0;
  /** The fencing token that the worker has to report before tasks are placed on the machine. */
  expectedToken: Int = 0;
  /**
   * Whether a heartbeat of this agent epoch has reported the expected token. This proves that
   * responses reach the worker and that the heartbeat is not a late copy from before this term.
   */
  tokenAcknowledged = false;
  /** Time since which the worker has been expected to acknowledge the token. */
  tokenUnacknowledgedSince: number;
  /** The highest fencing token that the worker has reported. */
  highestAcknowledgedToken: Int = 0;
  /**
   * Number of heartbeats that lacked a task whose start had been sent to the worker. Reset when a
   * heartbeat shows that a message of the leader has reached the worker.
   */
  lostStartHeartbeats = 0;
  /**
   * Number of the last heartbeat that was counted in `lostStartHeartbeats`; 0 before the first. All
   * machines' heartbeats in this term are numbered in one sequence.
   */
  lastLostStartHeartbeat = 0;
  /**
   * Fencing tokens of the direct commands that started attempts in this agent epoch, by attempt
   * (see `attemptKey`). Until the worker reports a higher token, it may still carry out a copy of
   * the command, so a heartbeat without the task does not prove that the task is gone. `clear` has
   * to carry a higher token, because workers refuse lower tokens than they have seen (invariant 6).
   */
  readonly directStartTokens = new Map<string, Int>();
  /** Number of calls with direct commands that have not been answered. */
  pendingDirectCalls = 0;

  // Assignments, and the resources used by tasks that are not proven gone.

  /** Assignments by task name, including ended assignments that are still on record. */
  readonly assignments = new Map<string, TAssignment>();
  cpus = 0;
  gpus = 0;
  memoryGb = 0;
  taskCount = 0;
  readonly taskCountByClass = new Map<string, number>();
  /** Size that the assignments take in the machine's record. */
  readonly recordSize: MachineRecordSize;
  /** Time since which no task has used the machine; only valid while it is not busy. */
  idleSince: number;

  // State for placement.

  /** Images known to be cached on the machine with their sizes in GB, least recently used first. */
  readonly images = new Map<string, number>();
  /**
   * Ids of jobs that have failed on the machine. Cleared when the machine is quarantined and when a
   * task is completed on it.
   */
  readonly failedJobs = new Set<string>();
  /** Number of quarantines since a task was last completed on the machine. */
  consecutiveQuarantines = 0;
  /** No task is placed on the machine before this time; set after failures. */
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

  /** Adds the resources that the assignment requests to the machine's usage. */
  allocate(assignment: TAssignment): void {
    this.adjustUsage(assignment, 1);
  }

  /** Removes the resources that the assignment requests from the machine's usage. */
  deallocate(assignment: TAssignment): void {
    this.adjustUsage(assignment, -1);
  }

  private adjustUsage({ request, job }: TAssignment, sign: number): void {
    this.taskCount += sign;
    this.cpus += request.cpus * sign;
    this.gpus += request.gpus * sign;
    this.memoryGb += request.memoryGb * sign;
    // Rounding errors accumulate in the sums, so they are reset when the machine has no tasks.
    if (this.taskCount === 0) {
      this.cpus = 0;
      this.gpus = 0;
      this.memoryGb = 0;
    }
    if (job !== null) adjustCount(this.taskCountByClass, job.spec.class, sign);
  }

  /** Returns true if at least one task uses the machine. */
  get isBusy(): boolean {
    return this.taskCount > 0;
  }

  /** Records the image as the most recently used. Returns true if it was not known to be cached. */
  recordImageUse(image: string, sizeGb: number): boolean {
    const wasKnown = this.images.delete(image);
    this.images.set(image, sizeGb);
    if (wasKnown) return false;
    this.evictImages(this.type?.cacheGb ?? Infinity);
    return true;
  }

  /**
   * Removes the least recently used images until the remaining ones fit in the machine's cache.
   * The most recently used image is always kept.
   */
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
