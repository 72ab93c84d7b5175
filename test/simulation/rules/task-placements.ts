/** Records which tasks are on which machines. */
import type { Placement } from './placement.js';

/** The placements of all tasks that are on machines. */
export class TaskPlacements {
  /** Placements by task (`job/index`), then by machine. */
  private readonly byTask = new Map<string, Map<string, Placement>>();

  /** Adds a placement of the task, and returns the machines that the task was already on. */
  add(id: string, index: number, placement: Placement): string[] {
    const task = `${id}/${index}`;
    const placements = this.byTask.get(task) ?? new Map<string, Placement>();
    this.byTask.set(task, placements);
    const previousMachines = [...placements.keys()];
    placements.set(placement.machine, placement);
    return previousMachines;
  }

  /**
   * Removes the task's placement on the machine and returns it; undefined if the task was not on
   * the machine.
   */
  remove(id: string, index: number, machine: string): Placement | undefined {
    const task = `${id}/${index}`;
    const placements = this.byTask.get(task);
    const placement = placements?.get(machine);
    if (placements === undefined || placement === undefined) return undefined;
    placements.delete(machine);
    if (placements.size === 0) this.byTask.delete(task);
    return placement;
  }

  /** Returns the machines that tasks of the job are on, one entry per task. */
  machinesOf(id: string): string[] {
    const machines: string[] = [];
    for (const [task, placements] of this.byTask)
      if (task.startsWith(`${id}/`)) machines.push(...placements.keys());
    return machines;
  }
}
