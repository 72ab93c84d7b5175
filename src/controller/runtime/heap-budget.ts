/**
 * Keeps V8's heap within the memory that the platform's settings give the process. V8 takes the bound
 * of its heap when a process starts, before any settings are read, and plans its next collection by a
 * growth factor that it chooses freely below that bound. The factor can be set while the process runs;
 * so the bound follows the settings, in a place of 146 MB as in one of some gigabytes.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';

const MIB = 1024 * 1024;

/**
 * What the process holds beside the heap and beside the files that it maps: stacks, compiled code,
 * buffers of sockets. An idle controller holds 58 MB, of which 41 MB are mapped files.
 */
const OUTSIDE_HEAP_MB = 17;

/** The young generation: three semi-spaces of 16 MB, V8's default. */
const YOUNG_GENERATION_MB = 48;

/** Share of the room that is planned with: while a collection marks, the heap grows on. */
const PLANNED_SHARE = 0.65;

/** Least room for the old generation with which a start makes sense. */
const LEAST_OLD_GENERATION_MB = 32;

/** The heap may grow by this share until the next collection: bounds of what is set. */
const LEAST_GROWTH_PERCENT = 10;
const LARGEST_GROWTH_PERCENT = 100;

/** What the platform grants the process. */
export interface MemoryQuota {
  ramMb: number;
}

/** Room for the old generation, which what lives long has to fit. */
export function oldGenerationMb({ ramMb }: MemoryQuota): number {
  const roomMb = ramMb - OUTSIDE_HEAP_MB - YOUNG_GENERATION_MB;
  return Math.max(0, Math.floor(roomMb * PLANNED_SHARE));
}

/**
 * By how much the heap may grow beyond what a collection leaves, in percent. What is left is no more
 * than what is in use now, so the heap stays within `budgetMb` as long as a tenth of it is free.
 */
export function growthPercent(usedMb: number, budgetMb: number): number {
  const fitting = Math.floor((budgetMb / Math.max(1, usedMb) - 1) * 100);
  return Math.min(LARGEST_GROWTH_PERCENT, Math.max(LEAST_GROWTH_PERCENT, fitting));
}

/** What to say at the start where the memory is less than a controller needs; it may go well for a while. */
export function memoryWarning(quota: MemoryQuota): string | null {
  const budgetMb = oldGenerationMb(quota);
  if (budgetMb >= LEAST_OLD_GENERATION_MB) return null;
  return (
    `params.quota.ram_mb: ${quota.ramMb} leaves ${budgetMb} MB for what the heap keeps; ` +
    `less than ${LEAST_OLD_GENERATION_MB} MB do not suffice for a leader`
  );
}

/** Sets the growth of the heap by what is in use. */
export class HeapBudget {
  private readonly budgetMb: number;
  private percent = 0;

  constructor(quota: MemoryQuota) {
    this.budgetMb = oldGenerationMb(quota);
  }

  /** Call this at the start and about once a second. */
  adjust(): void {
    const percent = growthPercent(getHeapStatistics().used_heap_size / MIB, this.budgetMb);
    if (percent === this.percent) return;
    this.percent = percent;
    setFlagsFromString(`--heap-growing-percent=${percent}`);
  }
}
