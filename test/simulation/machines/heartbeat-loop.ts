/** The heartbeats of one simulated worker: when they are sent, and to which controller. */
import type { Reply } from '../../../src/controller/runtime/runtime.js';
import type { MachineContext } from './machine-context.js';
import type { Command } from './task.js';

/** Minimum time from a heartbeat to the next heartbeat that reports a change, in milliseconds. */
const MIN_INTERVAL_MS = 500;
/** Time without a response after which a heartbeat has failed, in milliseconds. */
const HEARTBEAT_TIMEOUT_MS = 4000;
/** Time from a failed heartbeat to the next one, which goes to another controller, in ms. */
const RETRY_DELAY_MS = 1000;
/** Maximum time from a redirection to the leader to the next heartbeat, in milliseconds. */
const MAX_REDIRECT_DELAY_MS = 500;
/** Range of the time to the next regular heartbeat, as multiples of the heartbeat interval. */
const INTERVAL_FACTORS = { least: 0.75, most: 1.25 };

/**
 * The response of a controller that accepts a heartbeat, as on the wire: fencing token (`baton`)
 * and commands (`orders`).
 */
export interface HeartbeatResponse {
  baton?: number;
  orders: Command[];
}

/** A worker as seen by the loop that sends its heartbeats. */
export interface HeartbeatSource {
  readonly id: string;
  readonly dead: boolean;
  readonly hungUntil: number;
  /** Number of the worker's agent epochs so far, including those that it has forgotten in a restart. */
  readonly epochCount: number;
  /** Creates the next heartbeat, with a new sequence number. */
  heartbeat(): unknown;
  whenAwake(run: () => void): void;
  /** Handles the response to the heartbeat that was sent at `sentAt`, in the epoch with this number. */
  acceptResponse(response: HeartbeatResponse, epochCount: number, sentAt: number): void;
}

/** Sends a worker's heartbeats, one at a time, to the controller that accepts them. */
export class HeartbeatLoop {
  /** Index of the controller that receives the next heartbeat. */
  private controllerIndex: number;
  private inFlight = false;
  private hasUnreportedChange = false;
  /** Virtual time of the next regular heartbeat. */
  private regularAt: number;
  /** Virtual time before which no heartbeat is sent; set after a failed or redirected heartbeat. */
  private earliestAt = 0;
  private lastSent = -Infinity;
  private blockedUntil = 0;
  private scheduledAt = Infinity;

  constructor(
    private readonly source: HeartbeatSource,
    private readonly context: MachineContext,
  ) {
    const { clock, random, controllers } = context;
    this.controllerIndex = Math.floor(random.next() * controllers.length);
    this.regularAt = clock.now;
  }

  /** Whether the worker's heartbeats currently reach no controller. */
  get blocked(): boolean {
    return this.context.clock.now < this.blockedUntil;
  }

  /** Makes all heartbeats fail for `ms`, as if no controller could be reached. */
  block(ms: number): void {
    this.blockedUntil = Math.max(this.blockedUntil, this.context.clock.now + ms);
  }

  /** Schedules a heartbeat that reports a change of the worker's state. */
  stateChanged(): void {
    this.hasUnreportedChange = true;
    this.schedule();
  }

  /** Schedules the next heartbeat, unless one is already scheduled for an earlier time. */
  schedule(): void {
    const { source } = this;
    if (source.dead || this.inFlight) return;
    const { clock } = this.context;
    const dueAt = this.hasUnreportedChange
      ? Math.min(this.regularAt, this.lastSent + MIN_INTERVAL_MS)
      : this.regularAt;
    const awakeAt = this.hung ? source.hungUntil : 0;
    const sendAt = Math.max(dueAt, this.earliestAt, awakeAt, clock.now);
    if (sendAt >= this.scheduledAt) return;
    this.scheduledAt = sendAt;
    clock.after(sendAt - clock.now, () => {
      if (this.scheduledAt !== sendAt) return;
      this.scheduledAt = Infinity;
      if (source.dead || this.inFlight || this.hung) this.schedule();
      else this.send();
    });
  }

  private get hung(): boolean {
    return this.context.clock.now < this.source.hungUntil;
  }

  private send(): void {
    const { clock, random, settings } = this.context;
    this.inFlight = true;
    this.hasUnreportedChange = false;
    this.lastSent = clock.now;
    this.regularAt =
      clock.now +
      settings.heartbeatIntervalMs * random.between(INTERVAL_FACTORS.least, INTERVAL_FACTORS.most);
    if (!this.blocked) return this.post();
    clock.after(1, () => {
      this.inFlight = false;
      this.tryNextController();
      this.schedule();
    });
  }

  private post(): void {
    const { clock, network, controllers } = this.context;
    const { source } = this;
    const sentAt = clock.now;
    const { epochCount } = source;
    const host = controllers[this.controllerIndex] ?? '';
    network.call(
      source.id,
      {
        to: this.context.apiOf(host),
        method: 'POST',
        path: '/v1/report',
        body: source.heartbeat(),
        timeoutMs: HEARTBEAT_TIMEOUT_MS,
      },
      () => !source.dead,
      (reply) =>
        source.whenAwake(() => {
          this.inFlight = false;
          this.handleReply(reply, epochCount, sentAt);
          this.schedule();
        }),
    );
  }

  private handleReply(reply: Reply, epochCount: number, sentAt: number): void {
    if (reply.status === 200)
      this.source.acceptResponse(reply.body as HeartbeatResponse, epochCount, sentAt);
    else if (reply.status === 421) this.redirect((reply.body as { foreman?: string }).foreman);
    else this.tryNextController();
  }

  private redirect(leader = ''): void {
    const { controllers, random } = this.context;
    const leaderIndex = controllers.indexOf(leader);
    if (leaderIndex < 0 || leaderIndex === this.controllerIndex) return this.tryNextController();
    this.controllerIndex = leaderIndex;
    this.sendNextAfter(random.between(0, MAX_REDIRECT_DELAY_MS));
  }

  private sendNextAfter(ms: number): void {
    this.earliestAt = this.regularAt = this.context.clock.now + ms;
  }

  private tryNextController(): void {
    this.controllerIndex = (this.controllerIndex + 1) % this.context.controllers.length;
    this.sendNextAfter(RETRY_DELAY_MS);
  }
}
