/** A machine as a placement pass sees it: what is free, and who has claimed it. */
import type { JobSpec } from '../wire/jobs.js';
import type { ResourceRequest } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';
import type { RecordSpace } from '../workers/machine-record.js';
import { EPSILON, wholeTasks } from './need.js';
import type { Outlook } from './outlook.js';

/** Where the size of the machine's record is of no interest. */
const NO_RECORD_COST: RecordSpace = { bytesPerJob: 0, bytesPerTask: 1 };

/** A reservation in advance, for a class: it binds only work that is smaller and ranks no higher. */
export interface AdvanceClaim {
  spec: JobSpec;
  level: number;
  /** How many times as large as other work the class's tasks have to be. */
  larger: number;
}

/** Room of one machine that a reservation has claimed, and when it is expected to be full. */
export interface Claim extends ResourceRequest {
  fillAt: number;
  /** `null`: of a gang that waits. */
  ahead: AdvanceClaim | null;
}

/** What decides how many tasks of a job fit in a room. */
export interface FitQuery {
  spec: JobSpec;
  level: number;
  /** When the tasks should have ended; Infinity: never. */
  endsAt: number;
  /** Share of the time to a reservation's fill that short work beneath it may take. */
  backfill: number;
  now: number;
  /** Bytes of a task in the machine's record. */
  record?: RecordSpace;
}

/** A machine as one placement pass sees it. What is free is always what the machine now has free. */
export class Room {
  /** Nothing may be placed on it, for now. */
  closed = false;
  /** What reservations of higher rank have claimed in this pass. */
  readonly claims: Claim[] = [];
  /** Made when first asked for in a pass. */
  outlook: Outlook | null = null;

  constructor(
    readonly machine: Machine,
    /** Bytes that the tasks of a machine may take in its record. */
    private readonly recordLimit: number,
    /** Place among the rooms of the pass: decides between equals. */
    readonly order = 0,
  ) {}

  /** Processors that no task takes. */
  get cpus(): number {
    return (this.machine.type?.cpus ?? 0) - this.machine.cpus;
  }

  /** GPUs that no task takes. */
  get gpus(): number {
    return (this.machine.type?.gpus ?? 0) - this.machine.gpus;
  }

  /** Memory that no task takes. */
  get memoryGb(): number {
    return (this.machine.type?.memoryGb ?? 0) - this.machine.memoryGb;
  }

  /** Whether at least one task fits if nothing were reserved. Cheap: it is asked of every machine. */
  admits(need: ResourceRequest): boolean {
    const { machine } = this;
    const { type } = machine;
    return (
      type !== null &&
      !this.closed &&
      need.gpus <= type.gpus - machine.gpus + EPSILON &&
      need.cpus <= type.cpus - machine.cpus + EPSILON &&
      need.memoryGb <= type.memoryGb - machine.memoryGb + EPSILON
    );
  }

  /**
   * Tasks that fit now beside what higher ranks have reserved. Reserved room counts as free for a task
   * that should be gone before the reservation fills.
   */
  fits(query: FitQuery): number {
    if (this.closed) return 0;
    let { cpus, gpus, memoryGb } = this;
    for (const claim of this.claims) {
      if (!this.isInTheWay(claim, query)) continue;
      cpus -= claim.cpus;
      gpus -= claim.gpus;
      memoryGb -= claim.memoryGb;
    }
    const { spec, record = NO_RECORD_COST } = query;
    const freeBytes = this.recordLimit - this.machine.recordSize.bytes - record.bytesPerJob;
    const slots = Math.floor(freeBytes / record.bytesPerTask);
    return Math.max(0, Math.min(slots, wholeTasks(spec, cpus, gpus, memoryGb)));
  }

  private isInTheWay(claim: Claim, { spec, level, endsAt, backfill, now }: FitQuery): boolean {
    const backfills = Number.isFinite(endsAt) && endsAt - now <= backfill * (claim.fillAt - now);
    if (backfills) return false;
    return claim.ahead === null || this.binds(claim.ahead, spec, level);
  }

  /** Tasks that fit now if nothing were reserved. */
  fitsEmpty(need: ResourceRequest): number {
    return wholeTasks(need, this.cpus, this.gpus, this.memoryGb);
  }

  private binds(ahead: AdvanceClaim, spec: JobSpec, level: number): boolean {
    if (spec.kind === 'gang' || level > ahead.level) return false;
    return this.wouldTake(ahead, spec);
  }

  /** Whether room kept for other classes would go to this smaller task, if it were let. */
  intrudes(spec: JobSpec): boolean {
    for (const { ahead } of this.claims)
      if (ahead !== null && this.wouldTake(ahead, spec)) return true;
    return false;
  }

  /** Whether the task is one of those that the class is kept room against. */
  private wouldTake(ahead: AdvanceClaim, spec: JobSpec): boolean {
    if (ahead.spec.class === spec.class) return false;
    if (ahead.spec.kind !== 'gang' && spec.gpus > 0) return false;
    return this.share(ahead.spec) >= ahead.larger * this.share(spec);
  }

  /** Share of the machine that a task takes, by the kind of room that it takes most of. */
  share(spec: JobSpec): number {
    const { type } = this.machine;
    if (type === null) return 1;
    return Math.max(
      spec.cpus / type.cpus,
      type.gpus > 0 ? spec.gpus / type.gpus : 0,
      spec.memoryGb / type.memoryGb,
    );
  }

  /** Places of this machine that claims have taken from the class. */
  reserved(spec: JobSpec): number {
    if (this.claims.length === 0) return 0;
    let cpus = 0;
    let gpus = 0;
    let memoryGb = 0;
    for (const claim of this.claims) {
      cpus += claim.cpus;
      gpus += claim.gpus;
      memoryGb += claim.memoryGb;
    }
    return Math.max(
      placesTouched(cpus, spec.cpus),
      placesTouched(gpus, spec.gpus),
      placesTouched(memoryGb, spec.memoryGb),
    );
  }

  /** Claims room ahead for tasks of a class. */
  claimAhead(count: number, fillAt: number, ahead: AdvanceClaim): void {
    const { cpus, gpus, memoryGb } = ahead.spec;
    this.claims.push({
      cpus: cpus * count,
      gpus: gpus * count,
      memoryGb: memoryGb * count,
      fillAt,
      ahead,
    });
  }

  /** Claims room for one task of a gang that waits. */
  claim({ cpus, gpus, memoryGb }: ResourceRequest, fillAt: number): void {
    this.claims.push({ cpus, gpus, memoryGb, fillAt, ahead: null });
  }
}

/** Places of a size that an amount takes at least a part of. */
function placesTouched(amount: number, place: number): number {
  return place > 0 ? Math.ceil(amount / place - EPSILON) : 0;
}
