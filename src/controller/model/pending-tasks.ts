/** The tasks of a job that wait to be placed. */

/** Tasks that wait to be placed, each at most once: the lowest number first, requeued ones before. */
export class PendingTasks {
  /** The next task is last. */
  private stack: number[];
  /** By task: 1 if it is in the stack. */
  private readonly pendingFlags: Uint8Array;

  /** @param taskCount - how many tasks the job has; all of them wait at first */
  constructor(taskCount: number) {
    this.stack = Array.from({ length: taskCount }, (_, index) => taskCount - 1 - index);
    this.pendingFlags = new Uint8Array(taskCount).fill(1);
  }

  /** How many tasks wait. */
  get length(): number {
    return this.stack.length;
  }

  /** Whether the task waits. */
  has(task: number): boolean {
    return this.pendingFlags[task] === 1;
  }

  /** Adds the task as the next, unless it waits already. */
  push(task: number): void {
    if (this.pendingFlags[task] !== 0) return;
    this.pendingFlags[task] = 1;
    this.stack.push(task);
  }

  /** Takes the next task; undefined: none waits. */
  pop(): number | undefined {
    const task = this.stack.pop();
    if (task !== undefined) this.pendingFlags[task] = 0;
    return task;
  }

  /** Removes the task, if it waits. */
  remove(task: number): void {
    if (this.has(task)) this.retain((other) => other !== task);
  }

  /** Removes all tasks that the predicate does not hold for. */
  retain(predicate: (task: number) => boolean): void {
    this.stack = this.stack.filter((task) => {
      const isRetained = predicate(task);
      if (!isRetained) this.pendingFlags[task] = 0;
      return isRetained;
    });
  }
}
