/** The free capacity of one machine, as a placement pass sees it. */
import type { JobSpec } from '../../wire/jobs.js';
import {
  AMOUNT_TOLERANCE,
  countFittingTasks,
  type ResourceRequest,
} from '../../model/resource-request.js';
import type { RecordSpace } from '../../model/machine-record-size.js';
import type { Machine } from '../../model/entities.js';
import {
  type CapacityClaim,
  claimBinds,
  type ClaimQuery,
  type HeadroomClaim,
  wouldIntrude,
} from './capacity-claim.js';
import type { MachineForecast } from './machine-forecast.js';

/** Where the size of the machine's record is of no interest. */
const NO_RECORD_SPACE: RecordSpace = { bytesPerJob: 0, bytesPerTask: 1 };

/** What decides how many tasks of a job fit on a machine. */
export interface FitQuery extends ClaimQuery {
  /** What the tasks take in the machine's record. */
  record?: RecordSpace;
}

/** The free capacity of one machine. Amounts are always those that the machine now has free. */
export class FreeCapacity {
  /** Nothing may be placed on the machine, for now. */
  unschedulable = false;
  /** Claims of jobs that had their turn earlier in this pass, and of headroom. */
  readonly claims: CapacityClaim[] = [];
  /** Made when it is first asked for, and dropped when a task is started on the machine. */
  forecast: MachineForecast | null = null;

  constructor(
    readonly machine: Machine,
    /** Bytes that the tasks of a machine may take in its record. */
    private readonly recordLimitBytes: number,
    /** Place among the machines of the pass: decides between equals. */
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

  /** Whether at least one task would fit without the claims. Cheap: it is asked of every machine. */
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

  /** Tasks that fit now beside the claims that bind them. */
  countFitting(query: FitQuery): number {
    if (this.unschedulable) return 0;
    const { type } = this.machine;
    let { cpus, gpus, memoryGb } = this;
    for (const claim of this.claims) {
      if (!claimBinds(claim, query, type)) continue;
      cpus -= claim.cpus;
      gpus -= claim.gpus;
      memoryGb -= claim.memoryGb;
    }
    const { spec, record = NO_RECORD_SPACE } = query;
    const freeBytes = this.recordLimitBytes - this.machine.recordSize.bytes - record.bytesPerJob;
    const recordSlots = Math.floor(freeBytes / record.bytesPerTask);
    return Math.max(0, Math.min(recordSlots, countFittingTasks(spec, cpus, gpus, memoryGb)));
  }

  /** Tasks that would fit now without the claims. */
  countFittingIgnoringClaims(request: ResourceRequest): number {
    return countFittingTasks(request, this.cpus, this.gpus, this.memoryGb);
  }

  /** Whether headroom of other classes is kept against tasks like this one. */
  intrudesOnHeadroom(spec: JobSpec): boolean {
    const { type } = this.machine;
    for (const { headroom } of this.claims)
      if (headroom !== null && wouldIntrude(headroom, spec, type)) return true;
    return false;
  }

  /** Claims headroom for so many tasks of a class. */
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

  /** Claims capacity for one task of a job that waits. */
  claimForTask({ cpus, gpus, memoryGb }: ResourceRequest, fillAt: number): void {
    this.claims.push({ cpus, gpus, memoryGb, fillAt, headroom: null });
  }
}
