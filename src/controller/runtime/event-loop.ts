/** The event loop of a controller: the single queue in which everything that happens is handled. */
import type { Logger, Runtime, Timer } from './runtime.js';

type Handler = () => void;

interface QueuedEvent {
  /** Names the event in the log when its handler fails. */
  name: string;
  handle: Handler;
}

/** Events that are handled before the hooks at the end of a batch run. */
const DEFAULT_BATCH_LIMIT = 64;

/**
 * Serialises all access to a controller's state. Everything that happens (a request, a reply, a
 * timer) is an event in one queue. Events are handled in batches; what follows from a whole batch
 * (group commit, a placement pass) runs once after it. Given the same events and the same runtime,
 * a controller behaves the same: the simulation and the behaviour digest rely on that.
 */
export class EventLoop {
  private queue: QueuedEvent[] = [];
  private scheduled = false;
  private readonly batchEndHooks: Handler[] = [];

  constructor(
    /** Clocks, timers, random numbers and network. */
    readonly runtime: Runtime,
    readonly log: Logger,
    private readonly batchLimit = DEFAULT_BATCH_LIMIT,
  ) {}

  /** Monotonic clock in milliseconds. */
  now(): number {
    return this.runtime.now();
  }

  /** Queues an event behind those that wait already. */
  post(name: string, handle: Handler): void {
    this.queue.push({ name, handle });
    this.schedule();
  }

  /** Queues an event after `delayMs`; cancelling the timer has no effect once it is queued. */
  after(delayMs: number, name: string, handle: Handler): Timer {
    return this.runtime.startTimer(delayMs, () => this.post(name, handle));
  }

  /** Queues an event every `intervalMs`, counted from when the one before was handled. */
  every(intervalMs: number, name: string, handle: Handler): void {
    const startNext = (): void => {
      this.after(intervalMs, name, () => {
        startNext();
        handle();
      });
    };
    startNext();
  }

  /** Registers a hook that runs after each batch of events, in the order of registration. */
  onBatchEnd(hook: Handler): void {
    this.batchEndHooks.push(hook);
  }

  private schedule(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.runtime.defer(() => this.handleBatch());
  }

  private handleBatch(): void {
    this.scheduled = false;
    const batch = this.queue.splice(0, this.batchLimit);
    for (const { name, handle } of batch) this.handleSafely(name, handle);
    for (const hook of this.batchEndHooks) this.handleSafely('batch-end', hook);
    if (this.queue.length > 0) this.schedule();
  }

  /** A fault in one handler must not end the process and with it everybody's requests. */
  private handleSafely(name: string, handle: Handler): void {
    try {
      handle();
    } catch (err) {
      this.log.error({ event: name, err }, 'event handler failed');
    }
  }
}
