/** Service-level objectives of job classes, as scheduling uses them. */
import type { Objective } from './platform.js';

/** What is expected of the jobs of one class. Times are in milliseconds since the submission. */
export interface ClassObjectives {
  /** Tasks should start within these times. */
  readonly starts: number[];
  /** Jobs should end within these times. */
  readonly ends: number[];
  /** Jobs with a deadline should end within these multiples of it. */
  readonly deadlineFactors: number[];
}

/** Groups the objectives that name a class by that class. Unknown kinds are left out. */
export function groupByClass(objectives: readonly Objective[]): Map<string, ClassObjectives> {
  const byClass = new Map<string, ClassObjectives>();
  for (const objective of objectives) {
    if (objective.class === null) continue;
    const classObjectives = byClass.get(objective.class) ?? {
      starts: [],
      ends: [],
      deadlineFactors: [],
    };
    byClass.set(objective.class, classObjectives);
    addObjective(classObjectives, objective);
  }
  return byClass;
}

function addObjective(classObjectives: ClassObjectives, objective: Objective): void {
  const { kind, withinS, deadlineFactor } = objective;
  if (kind === 'wait' && withinS !== null) classObjectives.starts.push(withinS * 1000);
  if (kind === 'finished' && withinS !== null) classObjectives.ends.push(withinS * 1000);
  if (kind === 'deadline') classObjectives.deadlineFactors.push(deadlineFactor);
}
