/** A machine as a placement pass sees it: what is free, and who has claimed it. */
import type { JobSpec } from '../../wire/jobs.js';
import {
  AMOUNT_TOLERANCE,
  countFittingTasks,
  type ResourceRequest,
} from '../../model/resource-request.js';
import type { Machine } from '../../model/entities.js';
import type { RecordSpace } from '../../model/machine-record-size.js';
import type { MachineForecast } from './machine-forecast.js';

/** Where the size of the machine's record is of no interest. */
const NO_RECORD_COST: RecordSpace = { bytesPerJob: 0, bytesPerTask: 1 };

/** A reservation in advance, for a class: it binds only work that is smaller and ranks no higher. */
export interface HeadroomClaim {
  spec: JobSpec;
  level: number;
  /** How many times as large as other work the class's tasks have to be. */
  minSizeRatio: number;
}

/** Room of one machine that a reservation has claimed, and when it is expected to be full. */
export interface CapacityClaim extends ResourceRequest {
  fillAt: number;
  /** `null`: of a gang that waits. */
  headroom: HeadroomClaim | null;
}

/** What decides how many tasks of a job fit in a room. */
export interface FitQuery {
  spec: JobSpec;
  level: number;
  /** When the tasks should have ended; Infinity: never. */
  endsAt: number;
  /** Share of the time to a reservation's fill that short work beneath it may take. */
  backfillRatio: number;
  now: number;
  /** Bytes of a task in the machine's record. */
  record?: RecordSpace;
}

/** A machine as one placement pass sees it. What is free is always what the machine now has free. */
export class FreeCapacity {
  /** Nothing may be placed on it, for now. */
  unschedulable = false;
  /** What reservations of higher rank have claimed in this pass. */
  readonly claims: CapacityClaim[] = [];
  /** Made when first asked for in a pass. */
  forecast: MachineForecast | null = null;

  constructor(
    readonly machine: Machine,
    /** Bytes that the tasks of a machine may take in its record. */
    private readonly recordLimit: number,
    /** Place among the rooms of the pass: decides between equals. */
    readonly index = 0,
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
  fitsIgnoringClaims(request: ResourceRequest): boolean {
    const { machine } = this;
    const { type } = machine;
    return (
      type !== null &&
      !this.unschedulable &&
      request.gpus <= type.gpus - machine.gpus + AMOUNT_TOLERANCE &&
      request.cpus <= type.cpus - machine.cpus + AMOUNT_TOLERANCE &&
      request.memoryGb <= type.memoryGb - machine.memoryGb + AMOUNT_TOLERANCE
    );
  }

  /**
   * Tasks that fit now beside what higher ranks have reserved. Reserved room counts as free for a task
   * that should be gone before the reservation fills.
   */
  countFitting(query: FitQuery): number {
    if (this.unschedulable) return 0;
    let { cpus, gpus, memoryGb } = this;
    for (const claim of this.claims) {
      if (!this.blocks(claim, query)) continue;
      cpus -= claim.cpus;
      gpus -= claim.gpus;
      memoryGb -= claim.memoryGb;
    }
    const { spec, record = NO_RECORD_COST } = query;
    const freeBytes = this.recordLimit - this.machine.recordSize.bytes - record.bytesPerJob;
    const slots = Math.floor(freeBytes / record.bytesPerTask);
    return Math.max(0, Math.min(slots, countFittingTasks(spec, cpus, gpus, memoryGb)));
  }

  private blocks(
    claim: CapacityClaim,
    { spec, level, endsAt, backfillRatio, now }: FitQuery,
  ): boolean {
    const backfills =
      Number.isFinite(endsAt) && endsAt - now <= backfillRatio * (claim.fillAt - now);
    if (backfills) return false;
    return claim.headroom === null || this.isBoundBy(claim.headroom, spec, level);
  }

  /** Tasks that fit now if nothing were reserved. */
  countFittingIgnoringClaims(request: ResourceRequest): number {
    return countFittingTasks(request, this.cpus, this.gpus, this.memoryGb);
  }

  private isBoundBy(headroom: HeadroomClaim, spec: JobSpec, level: number): boolean {
    if (spec.kind === 'gang' || level > headroom.level) return false;
    return this.wouldIntrude(headroom, spec);
  }

  /** Whether room kept for other classes would go to this smaller task, if it were let. */
  intrudesOnHeadroom(spec: JobSpec): boolean {
    for (const { headroom } of this.claims)
      if (headroom !== null && this.wouldIntrude(headroom, spec)) return true;
    return false;
  }

  /** Whether the task is one of those that the class is kept room against. */
  private wouldIntrude(headroom: HeadroomClaim, spec: JobSpec): boolean {
    if (headroom.spec.class === spec.class) return false;
    if (headroom.spec.kind !== 'gang' && spec.gpus > 0) return false;
    return this.dominantShare(headroom.spec) >= headroom.minSizeRatio * this.dominantShare(spec);
  }

  /** Share of the machine that a task takes, by the kind of room that it takes most of. */
  dominantShare(spec: JobSpec): number {
    const { type } = this.machine;
    if (type === null) return 1;
    return Math.max(
      spec.cpus / type.cpus,
      type.gpus > 0 ? spec.gpus / type.gpus : 0,
      spec.memoryGb / type.memoryGb,
    );
  }

  /** Places of this machine that claims have taken from the class. */
  countClaimedSlots(spec: JobSpec): number {
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
      countTouchedSlots(cpus, spec.cpus),
      countTouchedSlots(gpus, spec.gpus),
      countTouchedSlots(memoryGb, spec.memoryGb),
    );
  }

  /** Claims room ahead for tasks of a class. */
  claimHeadroom(count: number, fillAt: number, headroom: HeadroomClaim): void {
    const { cpus, gpus, memoryGb } = headroom.spec;
    this.claims.push({
      cpus: cpus * count,
      gpus: gpus * count,
      memoryGb: memoryGb * count,
      fillAt,
      headroom,
    });
  }

  /** Claims room for one task of a gang that waits. */
  claimForTask({ cpus, gpus, memoryGb }: ResourceRequest, fillAt: number): void {
    this.claims.push({ cpus, gpus, memoryGb, fillAt, headroom: null });
  }
}

/** Places of a size that an amount takes at least a part of. */
function countTouchedSlots(amount: number, slotSize: number): number {
  return slotSize > 0 ? Math.ceil(amount / slotSize - AMOUNT_TOLERANCE) : 0;
}
