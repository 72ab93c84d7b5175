/** The event loop of a controller: a single queue of all events, which are handled one at a time. */
import type { Logger, Runtime, Timer } from './runtime.js';

type Handler = () => void;

interface QueuedEvent {
  /** Identifies the event in the log if its handler fails. */
  name: string;
  handle: Handler;
}

/** Maximum number of events that are handled before the batch-end hooks run. */
const DEFAULT_BATCH_LIMIT = 64;

/**
 * Serialises all access to a controller's state. Each request, reply and timer is an event in one
 * queue. Events are handled in batches; work that depends on a whole batch (group commit, a placement
 * pass) runs once after it. Given the same events and the same runtime, a controller behaves
 * identically: the simulation and the behaviour digest rely on this.
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

  /** Queues an event behind those that are already queued. */
  post(name: string, handle: Handler): void {
    this.queue.push({ name, handle });
    this.schedule();
  }

  /** Queues an event after `delayMs`. Cancelling the timer has no effect once the event is queued. */
  after(delayMs: number, name: string, handle: Handler): Timer {
    return this.runtime.startTimer(delayMs, () => this.post(name, handle));
  }

  /** Queues an event periodically. Each interval starts when the previous event is handled. */
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

  /**
   * Runs the handler and logs any exception. An uncaught exception would end the process and fail
   * all open requests.
   */
  private handleSafely(name: string, handle: Handler): void {
    try {
      handle();
    } catch (err) {
      this.log.error({ event: name, err }, 'event handler failed');
    }
  }
}

/**
 * A part of an event loop that belongs to one owner, such as a leader's term. Once it is closed, the timers and replies
 * that the owner waits for have no effect, so the owner need not cancel each of them.
 */
export class EventLoopScope extends EventLoop {
  private closed = false;

  constructor(private readonly parent: EventLoop) {
    super(parent.runtime, parent.log);
  }

  /** Whether the scope is closed. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Drops all events of the scope that have not been handled yet, and all later ones. */
  close(): void {
    this.closed = true;
  }

  /** Queues an event, which is dropped if the scope is closed before it is handled. */
  override post(name: string, handle: Handler): void {
    this.parent.post(name, () => {
      if (!this.closed) handle();
    });
  }

  /** Registers a hook that runs after each batch of events until the scope is closed. */
  override onBatchEnd(hook: Handler): void {
    this.parent.onBatchEnd(() => {
      if (!this.closed) hook();
    });
  }
}
