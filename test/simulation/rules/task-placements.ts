/** Which tasks are on which machines. */
import type { Placement } from './placement.js';

/** The placements of all tasks that are on machines. */
export class TaskPlacements {
  /** By task (`job/index`), then by machine. */
  private readonly byTask = new Map<string, Map<string, Placement>>();

  /** The task is on the machine from now on; returns the machines that it was on already. */
  add(id: string, index: number, placement: Placement): string[] {
    const task = `${id}/${index}`;
    const placements = this.byTask.get(task) ?? new Map<string, Placement>();
    this.byTask.set(task, placements);
    const others = [...placements.keys()];
    placements.set(placement.machine, placement);
    return others;
  }

  /** The task is no longer on the machine; returns where it was, undefined if it was not there. */
  remove(id: string, index: number, machine: string): Placement | undefined {
    const task = `${id}/${index}`;
    const placements = this.byTask.get(task);
    const placement = placements?.get(machine);
    if (placements === undefined || placement === undefined) return undefined;
    placements.delete(machine);
    if (placements.size === 0) this.byTask.delete(task);
    return placement;
  }

  /** Machines that tasks of the job are on. */
  machinesOf(id: string): string[] {
    const machines: string[] = [];
    for (const [task, placements] of this.byTask)
      if (task.startsWith(`${id}/`)) machines.push(...placements.keys());
    return machines;
  }
}
