/**
 * Keeps V8's heap within the memory that the platform's settings grant the process. V8 fixes the upper
 * limit of its heap when a process starts, before any settings are read. Below that limit it schedules
 * the next collection by a growth factor that it chooses itself. This factor can be set while the process
 * runs, so the heap can follow the settings, whether they grant 146 MB or several gigabytes.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';

const MIB = 1024 * 1024;

/**
 * Memory of the process outside the heap in MB, excluding mapped files. It holds stacks, compiled
 * code and socket buffers. An idle controller uses 58 MB, of which 41 MB are mapped files.
 */
const OUTSIDE_HEAP_MB = 17;

/** Size of the young generation in MB: V8's default of three semi-spaces of 16 MB each. */
const YOUNG_GENERATION_MB = 48;

/**
 * Fraction of the memory available to the old generation that it may fill before a collection. The remainder
 * is kept free because the heap keeps growing while a collection marks live objects.
 */
const PLANNED_RATIO = 0.65;

/** Smallest size in MB of the old generation with which a leader can be expected to run. */
const MIN_OLD_GENERATION_MB = 32;

/** Smallest growth of the heap until the next collection, in percent of its size after the last one. */
const MIN_GROWTH_PERCENT = 10;
/** Largest growth of the heap until the next collection, in percent of its size after the last one. */
const MAX_GROWTH_PERCENT = 100;

/** The memory that the platform grants the process. */
export interface MemoryQuota {
  ramMb: number;
}

/** Planned size in MB of the old generation, which contains all long-lived objects. */
export function oldGenerationMb({ ramMb }: MemoryQuota): number {
  const remainingMb = ramMb - OUTSIDE_HEAP_MB - YOUNG_GENERATION_MB;
  return Math.max(0, Math.floor(remainingMb * PLANNED_RATIO));
}

/**
 * Returns by how many percent the heap may grow beyond its size after a collection. That size is at
 * most `usedMb`, so the heap stays within `budgetMb` as long as `usedMb`, increased by `MIN_GROWTH_PERCENT`
 * percent, does not exceed `budgetMb`.
 */
export function growthPercent(usedMb: number, budgetMb: number): number {
  const percent = Math.floor((budgetMb / Math.max(1, usedMb) - 1) * 100);
  return Math.min(MAX_GROWTH_PERCENT, Math.max(MIN_GROWTH_PERCENT, percent));
}

/** Returns the warning to log at start if the memory is less than a leader needs, and null otherwise. */
export function memoryWarning(quota: MemoryQuota): string | null {
  const budgetMb = oldGenerationMb(quota);
  if (budgetMb >= MIN_OLD_GENERATION_MB) return null;
  return (
    `params.quota.ram_mb: ${quota.ramMb} leaves ${budgetMb} MB for the old generation of the heap; ` +
    `a leader needs at least ${MIN_OLD_GENERATION_MB} MB`
  );
}

/** Sets V8's heap growth factor according to the used heap. The factor is global to the process. */
export class HeapBudget {
  private readonly budgetMb: number;
  private percent = 0;

  constructor(quota: MemoryQuota) {
    this.budgetMb = oldGenerationMb(quota);
  }

  /** Updates the factor. It has to be called at start and then about once a second. */
  adjust(): void {
    const percent = growthPercent(getHeapStatistics().used_heap_size / MIB, this.budgetMb);
    if (percent === this.percent) return;
    this.percent = percent;
    setFlagsFromString(`--heap-growing-percent=${percent}`);
  }
}
