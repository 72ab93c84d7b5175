/** The heartbeats of one simulated worker: when they go out, and to which controller. */
import type { Reply } from '../../../src/controller/runtime/runtime.js';
import type { MachineContext } from './machine-context.js';
import type { Command } from './task.js';

/** A heartbeat with news follows the last one no sooner than this. */
const MIN_INTERVAL_MS = 500;
const HEARTBEAT_TIMEOUT_MS = 4000;
const RETRY_DELAY_MS = 1000;
/** A worker that is redirected to the leader sends its next heartbeat within this time. */
const MAX_REDIRECT_DELAY_MS = 500;
/** Shares of the period between which the next heartbeat falls. */
const INTERVAL_FACTORS = { least: 0.75, most: 1.25 };

/** The response of a controller that takes a heartbeat. */
export interface HeartbeatResponse {
  baton?: number;
  orders: Command[];
}

/** The worker whose heartbeats are sent. */
export interface HeartbeatSource {
  readonly id: string;
  readonly dead: boolean;
  readonly hungUntil: number;
  readonly agentEpoch: number;
  /** The next heartbeat; each has a number of its own. */
  heartbeat(): unknown;
  whenAwake(run: () => void): void;
  /** A response to the heartbeat that was sent then, in that agent epoch. */
  acceptResponse(response: HeartbeatResponse, agentEpoch: number, sentAt: number): void;
}

/** Sends a worker's heartbeats, one at a time, to the controller that takes them. */
export class HeartbeatLoop {
  /** Index of the controller that is asked next. */
  private controllerIndex: number;
  private inFlight = false;
  private hasUnreportedChange = false;
  private regularAt: number;
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

  /** Whether no controller can be reached just now. */
  get blocked(): boolean {
    return this.context.clock.now < this.blockedUntil;
  }

  /** Reaches no controller for a time. */
  block(ms: number): void {
    this.blockedUntil = Math.max(this.blockedUntil, this.context.clock.now + ms);
  }

  /** The next heartbeat will have news. */
  stateChanged(): void {
    this.hasUnreportedChange = true;
    this.schedule();
  }

  /** Plans the next heartbeat for when it is due. */
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
    const { agentEpoch } = source;
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
          this.handleReply(reply, agentEpoch, sentAt);
          this.schedule();
        }),
    );
  }

  private handleReply(reply: Reply, agentEpoch: number, sentAt: number): void {
    if (reply.status === 200)
      this.source.acceptResponse(reply.body as HeartbeatResponse, agentEpoch, sentAt);
    else if (reply.status === 421) this.redirect((reply.body as { foreman?: string }).foreman);
    else this.tryNextController();
  }

  private redirect(leader = ''): void {
    const { controllers, random } = this.context;
    const leaderIndex = controllers.indexOf(leader);
    if (leaderIndex < 0 || leaderIndex === this.controllerIndex) return this.tryNextController();
    this.controllerIndex = leaderIndex;
    this.retry(random.between(0, MAX_REDIRECT_DELAY_MS));
  }

  private retry(ms: number): void {
    this.earliestAt = this.regularAt = this.context.clock.now + ms;
  }

  private tryNextController(): void {
    this.controllerIndex = (this.controllerIndex + 1) % this.context.controllers.length;
    this.retry(RETRY_DELAY_MS);
  }
}
