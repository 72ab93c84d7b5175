/** Whether the process's memory suffices for the heap that V8 may use. */
import { getHeapStatistics } from 'node:v8';
import type { Platform } from './platform.js';

/**
 * What the process holds beside the heap and beside the files that it maps: stacks, compiled code,
 * buffers of sockets. An idle controller holds 58 MB, of which 41 MB are mapped files.
 */
const OUTSIDE_HEAP_MB = 17;

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
 * Says so where the heap may grow beyond the process's memory: the process would be killed for it, and
 * V8 takes no new bound once it runs. The usual need is far lower, so the start goes on.
 */
export function memoryWarning(
  platform: Pick<Platform, 'quota'>,
  heapMb = heapLimitMb(),
): string | null {
  const { ramMb } = platform.quota;
  if (neededMb(heapMb) <= ramMb) return null;
  return (
    `params.quota.ram_mb: ${ramMb} is less than a heap of up to ${heapMb} MB and ` +
    `${OUTSIDE_HEAP_MB} MB beside it; see --max-old-space-size of node`
  );
}
