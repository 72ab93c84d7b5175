/** The queue of a job's tasks that wait to be placed. */

/**
 * The tasks of a job that wait to be placed. Each is queued at most once. Requeued tasks come
 * first, starting with the most recently requeued; then all others follow in ascending order.
 */
export class PendingTasks {
  /** The pending tasks in reverse order: the last element is the next task. */
  private stack: number[];
  /** Indexed by task: 1 if the task is pending. */
  private readonly pendingFlags: Uint8Array;

  /** @param taskCount - the number of tasks of the job; initially all of them are pending */
  constructor(taskCount: number) {
    this.stack = Array.from({ length: taskCount }, (_, index) => taskCount - 1 - index);
    this.pendingFlags = new Uint8Array(taskCount).fill(1);
  }

  /** Number of pending tasks. */
  get length(): number {
    return this.stack.length;
  }

  /** Returns true if the task is pending. */
  has(task: number): boolean {
    return this.pendingFlags[task] === 1;
  }

  /** Adds the task at the front of the queue, unless it is already pending. */
  push(task: number): void {
    if (this.pendingFlags[task] !== 0) return;
    this.pendingFlags[task] = 1;
    this.stack.push(task);
  }

  /** Removes and returns the next task; returns undefined if no task is pending. */
  pop(): number | undefined {
    const task = this.stack.pop();
    if (task !== undefined) this.pendingFlags[task] = 0;
    return task;
  }

  /** Removes the task from the queue if it is pending. */
  remove(task: number): void {
    if (this.has(task)) this.retain((other) => other !== task);
  }

  /** Removes all pending tasks for which the predicate returns false. */
  retain(predicate: (task: number) => boolean): void {
    this.stack = this.stack.filter((task) => {
      const isRetained = predicate(task);
      if (!isRetained) this.pendingFlags[task] = 0;
      return isRetained;
    });
  }
}
