/**
 * Claims on the free capacity of a machine, made during a placement pass: by jobs that wait for capacity,
 * such as gangs with reservations, and for the headroom of classes. A claim is said to bind a task if the
 * task must not use the claimed capacity.
 */
import type { MachineType } from '../../wire/cloud.js';
import type { JobSpec } from '../../wire/jobs.js';
import { AMOUNT_TOLERANCE, type ResourceRequest } from '../../model/resource-request.js';

/**
 * The class that headroom is kept for. The headroom binds smaller tasks of other classes with the same or
 * lower priority, but never gangs.
 */
export interface HeadroomClaim {
  /** A job of the class. */
  spec: JobSpec;
  /** Priority level of the class. */
  level: number;
  /**
   * The headroom binds a task of another class only if the dominant share of a task of the headroom's class is
   * at least this many times the dominant share of the other task.
   */
  minSizeRatio: number;
}

/** Claimed capacity of one machine. */
export interface CapacityClaim extends ResourceRequest {
  /**
   * When the claimed capacity should be free, on the controller's monotonic clock in ms. For a gang: when the
   * capacity of its whole reservation should be free.
   */
  fillAt: number;
  /** The class that headroom is claimed for; null if the capacity is claimed for a waiting job. */
  headroom: HeadroomClaim | null;
}

/** Describes the tasks for which claims are checked. */
export interface ClaimQuery {
  spec: JobSpec;
  /** Priority level of the job. */
  level: number;
  /** When the tasks are expected to end, on the controller's monotonic clock in ms; `Infinity` for a service. */
  endsAt: number;
  /** A task may backfill a claim if it ends within this fraction of the time until `fillAt`. */
  backfillRatio: number;
  now: number;
}

/**
 * Returns whether the tasks must not use the claimed capacity. Tasks that are expected to end well before
 * the claim is filled may backfill it.
 */
export function claimBinds(
  claim: CapacityClaim,
  query: ClaimQuery,
  type: MachineType | null,
): boolean {
  const { endsAt, backfillRatio, now } = query;
  const backfills = Number.isFinite(endsAt) && endsAt - now <= backfillRatio * (claim.fillAt - now);
  if (backfills) return false;
  return claim.headroom === null || headroomBinds(claim.headroom, query, type);
}

function headroomBinds(
  headroom: HeadroomClaim,
  { spec, level }: ClaimQuery,
  type: MachineType | null,
): boolean {
  if (spec.kind === 'gang' || level > headroom.level) return false;
  return wouldIntrude(headroom, spec, type);
}

/**
 * Returns whether the headroom is kept from tasks of this size and class, whatever their priority. Headroom
 * for job arrays is kept only from tasks without GPUs.
 */
export function wouldIntrude(
  headroom: HeadroomClaim,
  spec: JobSpec,
  type: MachineType | null,
): boolean {
  if (headroom.spec.class === spec.class) return false;
  if (headroom.spec.kind !== 'gang' && spec.gpus > 0) return false;
  return dominantShare(headroom.spec, type) >= headroom.minSizeRatio * dominantShare(spec, type);
}

/**
 * Returns the largest of the fractions of the machine's CPUs, GPUs and memory that a task takes; 1 if the
 * machine type is unknown.
 */
export function dominantShare(spec: ResourceRequest, type: MachineType | null): number {
  if (type === null) return 1;
  return Math.max(
    spec.cpus / type.cpus,
    type.gpus > 0 ? spec.gpus / type.gpus : 0,
    spec.memoryGb / type.memoryGb,
  );
}

/** Returns how many slots the claims take in whole or in part. A slot has the size of the request. */
export function countClaimedSlots(
  claims: readonly CapacityClaim[],
  request: ResourceRequest,
): number {
  if (claims.length === 0) return 0;
  let cpus = 0;
  let gpus = 0;
  let memoryGb = 0;
  for (const claim of claims) {
    cpus += claim.cpus;
    gpus += claim.gpus;
    memoryGb += claim.memoryGb;
  }
  return Math.max(
    countTouchedSlots(cpus, request.cpus),
    countTouchedSlots(gpus, request.gpus),
    countTouchedSlots(memoryGb, request.memoryGb),
  );
}

function countTouchedSlots(amount: number, slotSize: number): number {
  return slotSize > 0 ? Math.ceil(amount / slotSize - AMOUNT_TOLERANCE) : 0;
}
