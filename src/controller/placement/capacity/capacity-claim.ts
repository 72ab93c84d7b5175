/**
 * Claims on the free capacity of a machine, made in the course of a placement pass: by gangs that fill
 * up their reservations, and for the headroom of classes. A claim binds only what ranks below it.
 */
import type { MachineType } from '../../wire/cloud.js';
import type { JobSpec } from '../../wire/jobs.js';
import { AMOUNT_TOLERANCE, type ResourceRequest } from '../../model/resource-request.js';

/** For which class headroom is kept, and against what: smaller tasks that rank no higher. */
export interface HeadroomClaim {
  /** A job of the class. */
  spec: JobSpec;
  /** Priority level of the class. */
  level: number;
  /** How many times as large as another task those of the class have to be to bind it. */
  minSizeRatio: number;
}

/** Claimed capacity of one machine. */
export interface CapacityClaim extends ResourceRequest {
  /** When all capacity that the claim is a part of should be free, on the controller's clock. */
  fillAt: number;
  /** `null`: claimed for a job that waits. */
  headroom: HeadroomClaim | null;
}

/** The tasks that claims may bind. */
export interface ClaimQuery {
  spec: JobSpec;
  /** Priority level of the job. */
  level: number;
  /** When the tasks should have ended; `Infinity` for a service. */
  endsAt: number;
  /** Share of the time until a claim is filled that a task beneath it may take. */
  backfillRatio: number;
  now: number;
}

/**
 * Whether the claim takes its capacity from the tasks. It does not from a task that should be gone well
 * before the claim is filled: such work backfills the capacity.
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

/** Whether the task is one of those that the headroom is kept against, whatever their priority. */
export function wouldIntrude(
  headroom: HeadroomClaim,
  spec: JobSpec,
  type: MachineType | null,
): boolean {
  if (headroom.spec.class === spec.class) return false;
  if (headroom.spec.kind !== 'gang' && spec.gpus > 0) return false;
  return dominantShare(headroom.spec, type) >= headroom.minSizeRatio * dominantShare(spec, type);
}

/** Share of a machine of the type that a task takes, by the resource of which it takes most. */
export function dominantShare(spec: ResourceRequest, type: MachineType | null): number {
  if (type === null) return 1;
  return Math.max(
    spec.cpus / type.cpus,
    type.gpus > 0 ? spec.gpus / type.gpus : 0,
    spec.memoryGb / type.memoryGb,
  );
}

/** Slots of the size of the request that the claims take at least a part of. */
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
