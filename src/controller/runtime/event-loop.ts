/** The command queue of a controller. */
import type { Runtime, Logger, Timer } from './runtime.js';

type Task = () => void;

/**
 * The one owner of a controller's state. Everything that happens (a request, a reply, a timer) is a
 * command in this queue; commands run in batches, and what follows from a whole batch (group
 * commit, a placement pass) runs once after it.
 */
export class EventLoop {
  private queue: { name: string; run: Task }[] = [];
  private scheduled = false;
  private readonly batchEndHooks: Task[] = [];

  constructor(
    readonly runtime: Runtime,
    readonly log: Logger,
    private readonly batchLimit = 64,
  ) {}

  /** Steady clock in milliseconds. */
  now(): number {
    return this.runtime.now();
  }

  /** Runs a command after those that wait already. */
  post(name: string, run: Task): void {
    this.queue.push({ name, run });
    this.schedule();
  }

  /** Posts a command after a time. */
  after(ms: number, name: string, run: Task): Timer {
    return this.runtime.startTimer(ms, () => this.post(name, run));
  }

  /** Posts a command again and again. */
  every(ms: number, name: string, run: Task): void {
    const again = (): void => {
      this.after(ms, name, () => {
        again();
        run();
      });
    };
    again();
  }

  /** Runs after each batch of commands. */
  onBatchEnd(run: Task): void {
    this.batchEndHooks.push(run);
  }

  private schedule(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.runtime.defer(() => this.drain());
  }

  private drain(): void {
    this.scheduled = false;
    const batch = this.queue.splice(0, this.batchLimit);
    for (const { name, run } of batch) this.guard(name, run);
    for (const run of this.batchEndHooks) this.guard('after-batch', run);
    if (this.queue.length > 0) this.schedule();
  }

  /** One command's fault must not take the process and everybody's requests with it. */
  private guard(name: string, run: Task): void {
    try {
      run();
    } catch (err) {
      this.log.error({ command: name, err }, 'command failed');
    }
  }
}
