/** The free capacity of one machine during a placement pass. */
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

/** Used for queries without `record`, which do not check the size of the machine's record. */
const NO_RECORD_SPACE: RecordSpace = { bytesPerJob: 0, bytesPerTask: 1 };

/** A query for the number of tasks of a job that fit on a machine. */
export interface FitQuery extends ClaimQuery {
  /** Bytes that the tasks take in the machine's record; if missing, the size of the record is ignored. */
  record?: RecordSpace;
}

/** The free capacity of one machine. The amounts always reflect the tasks that the machine has now. */
export class FreeCapacity {
  /** Whether placement on the machine is excluded. */
  unschedulable = false;
  /** Claims of jobs that were considered earlier in this pass, and claims of class headroom. */
  readonly claims: CapacityClaim[] = [];
  /** Cached forecast: null until it is first needed, and again after a task is started on the machine. */
  forecast: MachineForecast | null = null;

  constructor(
    readonly machine: Machine,
    /** Maximum number of bytes that the machine's tasks may take in its record at the state store. */
    private readonly recordLimitBytes: number,
    /** Position among the machines of the pass, which breaks ties between machines of equal score. */
    readonly index = 0,
  ) {}

  /** Unallocated CPUs. */
  get cpus(): number {
    return (this.machine.type?.cpus ?? 0) - this.machine.cpus;
  }

  /** Unallocated GPUs. */
  get gpus(): number {
    return (this.machine.type?.gpus ?? 0) - this.machine.gpus;
  }

  /** Unallocated memory in GB. */
  get memoryGb(): number {
    return (this.machine.type?.memoryGb ?? 0) - this.machine.memoryGb;
  }

  /** Returns whether at least one task fits if claims are ignored. A cheap check to run on each machine. */
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

  /** Returns how many of the tasks fit now, beside the claims that bind them and within the record limit. */
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

  /** Returns how many tasks fit now if claims and the size of the record are ignored. */
  countFittingIgnoringClaims(request: ResourceRequest): number {
    return countFittingTasks(request, this.cpus, this.gpus, this.memoryGb);
  }

  /** Returns whether the machine has headroom that is kept from tasks of this size and class. */
  intrudesOnHeadroom(spec: JobSpec): boolean {
    const { type } = this.machine;
    for (const { headroom } of this.claims)
      if (headroom !== null && wouldIntrude(headroom, spec, type)) return true;
    return false;
  }

  /** Claims headroom for `count` tasks of a class. */
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

  /** Claims capacity for one task of a waiting job. */
  claimForTask({ cpus, gpus, memoryGb }: ResourceRequest, fillAt: number): void {
    this.claims.push({ cpus, gpus, memoryGb, fillAt, headroom: null });
  }
}
