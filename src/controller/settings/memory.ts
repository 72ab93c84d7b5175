/** Whether the process's memory suffices for the heap that V8 may use. */
import { getHeapStatistics } from 'node:v8';
import { SettingsError, type Platform } from './platform.js';

/**
 * What the process holds beside the heap: the program, stacks, compiled code, buffers of sockets.
 * Measured: 41 MB of an idle controller are mapped from files; the rest is for buffers.
 */
const OUTSIDE_HEAP_MB = 45;

const MIB = 1024 * 1024;

/** The heap's bound, old and young generation, set by options of `node` when the process starts. */
export function heapLimitMb(): number {
  return Math.round(getHeapStatistics().heap_size_limit / MIB);
}

/** Memory that a process with this heap may come to need. */
export function neededMb(heapMb: number): number {
  return heapMb + OUTSIDE_HEAP_MB;
}

/**
 * Ends the start where the heap may grow beyond the process's memory: the process would be killed
 * for it, and V8 takes no new bound once it runs.
 */
export function checkMemory(platform: Pick<Platform, 'quota'>, heapMb = heapLimitMb()): void {
  const { ramMb } = platform.quota;
  if (neededMb(heapMb) > ramMb)
    throw new SettingsError(
      `params.quota.ram_mb: ${ramMb} is too little for a heap of up to ${heapMb} MB and ` +
        `${OUTSIDE_HEAP_MB} MB beside it; see --max-old-space-size and --max-semi-space-size of node`,
    );
}
