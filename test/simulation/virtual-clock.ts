/** Virtual time: a queue of events and a clock that advances from one event to the next. */
import type { Timer } from '../../src/controller/runtime/runtime.js';

interface Event {
  dueAt: number;
  order: number;
  run: () => void;
  cancelled: boolean;
}

const doNothing = (): void => undefined;

/**
 * Runs events in order of their due time; events with the same due time run in the order in which
 * they were scheduled. Times are in milliseconds since the start of the run.
 */
export class VirtualClock {
  now = 0;
  private nextOrder = 0;
  private readonly heap: Event[] = [];

  /** Schedules the function to run after `ms`; the returned timer can cancel it. */
  after(ms: number, run: () => void): Timer {
    const dueAt = this.now + Math.max(0, ms);
    const event: Event = { dueAt, order: this.nextOrder++, run, cancelled: false };
    this.push(event);
    return {
      cancel: () => {
        event.cancelled = true;
        // The event stays in the heap until it is due; the function is released now.
        event.run = doNothing;
      },
    };
  }

  /** Runs all events that are due up to `until`, and calls `check` after each of them. */
  run(until: number, check: () => void): void {
    for (;;) {
      const first = this.heap[0];
      if (first === undefined || first.dueAt > until) break;
      this.pop();
      if (first.cancelled) continue;
      this.now = first.dueAt;
      first.run();
      check();
    }
    this.now = until;
  }

  private isBefore(a: Event, b: Event): boolean {
    return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.order < b.order);
  }

  private push(event: Event): void {
    const { heap } = this;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex];
      if (parent === undefined || !this.isBefore(event, parent)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = event;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      const left = heap[childIndex];
      const right = heap[childIndex + 1];
      if (left === undefined) break;
      let child = left;
      if (right !== undefined && this.isBefore(right, left)) {
        child = right;
        childIndex++;
      }
      if (!this.isBefore(child, last)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  }
}
