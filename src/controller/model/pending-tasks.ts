/** The tasks of a job that wait for a place. */

/** Tasks that wait for a place, each at most once, lowest number first. */
export class PendingTasks {
  private stack: number[];
  private readonly isPending: Uint8Array;

  constructor(tasks: number) {
    this.stack = Array.from({ length: tasks }, (_, index) => tasks - 1 - index);
    this.isPending = new Uint8Array(tasks).fill(1);
  }

  /** How many tasks wait. */
  get length(): number {
    return this.stack.length;
  }

  /** The task waits. */
  has(task: number): boolean {
    return this.isPending[task] === 1;
  }

  /** The task waits from now on, as the next. */
  push(task: number): void {
    if (this.isPending[task] !== 0) return;
    this.isPending[task] = 1;
    this.stack.push(task);
  }

  /** Takes the next task. */
  pop(): number | undefined {
    const task = this.stack.pop();
    if (task !== undefined) this.isPending[task] = 0;
    return task;
  }

  /** The task waits no longer. */
  remove(task: number): void {
    if (this.has(task)) this.retain((other) => other !== task);
  }

  /** Only the wanted tasks wait on. */
  retain(wanted: (task: number) => boolean): void {
    this.stack = this.stack.filter((task) => {
      const keep = wanted(task);
      if (!keep) this.isPending[task] = 0;
      return keep;
    });
  }
}
