/** Groups the platform's service-level objectives by job class. */
import type { Objective } from './platform.js';

/** Objectives for the jobs of one class. */
export interface ClassObjectives {
  /**
   * Milliseconds since a job's submission within which its tasks should start; one value per objective of kind
   * `wait`.
   */
  readonly starts: number[];
  /**
   * Milliseconds since a job's submission within which the job should end; one value per objective of kind
   * `finished`.
   */
  readonly ends: number[];
  /**
   * Each value is a multiple of a job's deadline, within which the job should end; one value per objective of
   * kind `deadline`.
   */
  readonly deadlineFactors: number[];
}

/** Returns the objectives of each class. Ignores objectives without a class and those of unknown kinds. */
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
