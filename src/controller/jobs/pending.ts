/** The tasks of a job that wait for a place. */

/** Tasks that wait for a place, each at most once, lowest number first. */
export class Pending {
  private list: number[];
  private readonly inside: Uint8Array;

  constructor(tasks: number) {
    this.list = Array.from({ length: tasks }, (_, index) => tasks - 1 - index);
    this.inside = new Uint8Array(tasks).fill(1);
  }

  /** How many tasks wait. */
  get length(): number {
    return this.list.length;
  }

  /** The task waits. */
  has(task: number): boolean {
    return this.inside[task] === 1;
  }

  /** The task waits from now on, as the next. */
  push(task: number): void {
    if (this.inside[task] !== 0) return;
    this.inside[task] = 1;
    this.list.push(task);
  }

  /** Takes the next task. */
  pop(): number | undefined {
    const task = this.list.pop();
    if (task !== undefined) this.inside[task] = 0;
    return task;
  }

  /** The task waits no longer. */
  drop(task: number): void {
    if (this.has(task)) this.keep((other) => other !== task);
  }

  /** Only the wanted tasks wait on. */
  keep(wanted: (task: number) => boolean): void {
    this.list = this.list.filter((task) => {
      const keep = wanted(task);
      if (!keep) this.inside[task] = 0;
      return keep;
    });
  }
}
