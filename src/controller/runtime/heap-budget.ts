/**
 * Keeps V8's heap within the memory that the platform's settings grant the process. V8 fixes the upper
 * limit of its heap when a process starts, before any settings are read, and below that limit plans its
 * next collection by a growth factor of its own choice. That factor can be set while the process runs;
 * setting it makes the heap follow the settings, with 146 MB as with some gigabytes.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';

const MIB = 1024 * 1024;

/**
 * Memory of the process outside the heap, without the files that it maps: stacks, compiled code,
 * socket buffers. An idle controller uses 58 MB, of which 41 MB are mapped files.
 */
const OUTSIDE_HEAP_MB = 17;

/** Size of the young generation: three semi-spaces of 16 MB, V8's default. */
const YOUNG_GENERATION_MB = 48;

/** Ratio of the remaining memory that is planned for: the heap goes on growing while a collection marks. */
const PLANNED_RATIO = 0.65;

/** Size of the old generation below which a leader cannot be expected to run. */
const MIN_OLD_GENERATION_MB = 32;

/** Bounds of the growth, in percent of what a collection has left, until the next collection. */
const MIN_GROWTH_PERCENT = 10;
const MAX_GROWTH_PERCENT = 100;

/** The memory that the platform grants the process. */
export interface MemoryQuota {
  ramMb: number;
}

/** Size of the old generation, where all long-lived objects are, in MB. */
export function oldGenerationMb({ ramMb }: MemoryQuota): number {
  const remainingMb = ramMb - OUTSIDE_HEAP_MB - YOUNG_GENERATION_MB;
  return Math.max(0, Math.floor(remainingMb * PLANNED_RATIO));
}

/**
 * By how much the heap may grow beyond what a collection leaves, in percent. A collection leaves no
 * more than what is in use now, so the heap stays within `budgetMb` as long as a tenth of it is free.
 */
export function growthPercent(usedMb: number, budgetMb: number): number {
  const percent = Math.floor((budgetMb / Math.max(1, usedMb) - 1) * 100);
  return Math.min(MAX_GROWTH_PERCENT, Math.max(MIN_GROWTH_PERCENT, percent));
}

/** The warning to log at start where the memory is less than a leader needs; null: it suffices. */
export function memoryWarning(quota: MemoryQuota): string | null {
  const budgetMb = oldGenerationMb(quota);
  if (budgetMb >= MIN_OLD_GENERATION_MB) return null;
  return (
    `params.quota.ram_mb: ${quota.ramMb} leaves ${budgetMb} MB for what the heap keeps; ` +
    `less than ${MIN_OLD_GENERATION_MB} MB do not suffice for a leader`
  );
}

/** Sets V8's growth factor by what the heap uses. The factor is global to the process. */
export class HeapBudget {
  private readonly budgetMb: number;
  private percent = 0;

  constructor(quota: MemoryQuota) {
    this.budgetMb = oldGenerationMb(quota);
  }

  /** Adapts the factor; to be called at start and about once a second. */
  adjust(): void {
    const percent = growthPercent(getHeapStatistics().used_heap_size / MIB, this.budgetMb);
    if (percent === this.percent) return;
    this.percent = percent;
    setFlagsFromString(`--heap-growing-percent=${percent}`);
  }
}
