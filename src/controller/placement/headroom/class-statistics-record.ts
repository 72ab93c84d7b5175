/** The stored form of class statistics, which the next leader reads. Its keys are fixed. */
import { priorityLevels } from '../../model/job.js';
import { isMap } from '../../wire/cbor.js';
import { readJobSpec, writeJobSpec } from '../../wire/jobs.js';
import type { ClassStatistics, ClassStatisticsTable } from './class-statistics.js';

/** Classes that are recorded: those that came last. */
const MAX_RECORDED_CLASSES = 12;

/** A moment on the controller's own clock, and what the wall clock shows then. */
export interface ClockReading {
  now: number;
  wallClockMs: number;
}

/** The records of the classes that came last, by class. Times in them are those of the wall clock. */
export function writeStatistics(
  table: ClassStatisticsTable,
  { now, wallClockMs }: ClockReading,
): Map<string, unknown> {
  const recent = table
    .values()
    .sort((a, b) => b.updatedAt - a.updatedAt)
    .slice(0, MAX_RECORDED_CLASSES);
  const since = wallClockMs - table.observedMs(now);
  const recordOf = (statistics: ClassStatistics): unknown => ({
    job: writeJobSpec(statistics.spec),
    weight: statistics.weight,
    at: wallClockMs - (now - statistics.updatedAt),
    together: statistics.largestJobTasks,
    images: Object.fromEntries(statistics.images),
    stay: statistics.occupancyMs,
  });
  return new Map(
    recent.map((statistics) => [statistics.spec.class, { since, classes: [recordOf(statistics)] }]),
  );
}

/**
 * Merges a record into the table. What cannot be read is skipped: it was written by another version,
 * and will be learned again.
 */
export function mergeRecordedStatistics(
  table: ClassStatisticsTable,
  value: unknown,
  { now, wallClockMs }: ClockReading,
): void {
  if (!isMap(value) || !Array.isArray(value['classes'])) return;
  const toControllerClock = (at: unknown): number => now - Math.max(0, wallClockMs - Number(at));
  table.extendObservation(toControllerClock(value['since']));
  // Earlier versions have recorded several classes together.
  for (const record of value['classes'] as unknown[]) {
    const statistics = readClassStatistics(record, toControllerClock);
    if (statistics !== null) table.merge(statistics);
  }
}

/** `null`: not a record of this version. */
function readClassStatistics(
  record: unknown,
  toControllerClock: (at: unknown) => number,
): ClassStatistics | null {
  if (!isMap(record) || !isMap(record['images'])) return null;
  const images = Object.entries(record['images']);
  try {
    const spec = readJobSpec(record['job']);
    return {
      spec,
      level: priorityLevels[spec.priority],
      weight: Number(record['weight']),
      updatedAt: toControllerClock(record['at']),
      largestJobTasks: Number(record['together']),
      images: new Map(images.map(([image, weight]) => [image, Number(weight)])),
      occupancyMs: Number(record['stay']),
    };
  } catch {
    return null;
  }
}
