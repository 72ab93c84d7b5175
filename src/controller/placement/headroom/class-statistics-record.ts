/** The stored format of class statistics, which the next leader reads. Its field names must not change. */
import { priorityLevels } from '../../model/job.js';
import { isMap } from '../../wire/cbor.js';
import { readJobSpec, writeJobSpec } from '../../wire/jobs.js';
import type { ClassStatistics, ClassStatisticsTable } from './class-statistics.js';

/** Maximum number of classes that are recorded: those with the most recently submitted jobs. */
const MAX_RECORDED_CLASSES = 12;

/** The same instant on the controller's monotonic clock (`now`) and on the wall clock, in ms. */
export interface ClockReading {
  now: number;
  wallClockMs: number;
}

/** Returns records of the most recently submitted classes, by class name. Their times are on the wall clock. */
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
 * Merges a record into the table. Skips values of another format: a different version wrote them, and
 * the statistics build up again from new jobs.
 */
export function mergeRecordedStatistics(
  table: ClassStatisticsTable,
  value: unknown,
  { now, wallClockMs }: ClockReading,
): void {
  if (!isMap(value) || !Array.isArray(value['classes'])) return;
  const toControllerClock = (wallClockTime: unknown): number =>
    now - Math.max(0, wallClockMs - Number(wallClockTime));
  table.extendObservation(toControllerClock(value['since']));
  // Earlier versions stored several classes in one record.
  for (const record of value['classes'] as unknown[]) {
    const statistics = readClassStatistics(record, toControllerClock);
    if (statistics !== null) table.merge(statistics);
  }
}

/** Returns null if the value is not a class record of this version. */
function readClassStatistics(
  record: unknown,
  toControllerClock: (wallClockTime: unknown) => number,
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
