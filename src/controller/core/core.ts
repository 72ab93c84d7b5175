/** The command queue of a controller. */
import type { Env, Logger, Timer } from './env.js';

type Command = () => void;

/**
 * The one owner of a controller's state. Everything that happens (a request, a reply, a timer) is a
 * command in this queue; commands run in batches, and what follows from a whole batch (group
 * commit, a placement pass) runs once after it.
 */
export class Core {
  private queue: { name: string; run: Command }[] = [];
  private scheduled = false;
  private readonly afterBatch: Command[] = [];

  constructor(
    readonly env: Env,
    readonly log: Logger,
    private readonly batchLimit = 64,
  ) {}

  /** Steady clock in milliseconds. */
  now(): number {
    return this.env.now();
  }

  /** Runs a command after those that wait already. */
  post(name: string, run: Command): void {
    this.queue.push({ name, run });
    this.wake();
  }

  /** Posts a command after a time. */
  after(ms: number, name: string, run: Command): Timer {
    return this.env.timer(ms, () => this.post(name, run));
  }

  /** Posts a command again and again. */
  every(ms: number, name: string, run: Command): void {
    const again = (): void => {
      this.after(ms, name, () => {
        again();
        run();
      });
    };
    again();
  }

  /** Runs after each batch of commands. */
  onBatchEnd(run: Command): void {
    this.afterBatch.push(run);
  }

  private wake(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.env.soon(() => this.drain());
  }

  private drain(): void {
    this.scheduled = false;
    const batch = this.queue.splice(0, this.batchLimit);
    for (const { name, run } of batch) this.guard(name, run);
    for (const run of this.afterBatch) this.guard('after-batch', run);
    if (this.queue.length > 0) this.wake();
  }

  /** One command's fault must not take the process and everybody's requests with it. */
  private guard(name: string, run: Command): void {
    try {
      run();
    } catch (err) {
      this.log.error({ command: name, err }, 'command failed');
    }
  }
}
