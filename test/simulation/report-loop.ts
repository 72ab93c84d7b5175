/** The reports of one simulated worker: when they go out, and to which controller. */
import type { Reply } from '../../src/controller/runtime/runtime.js';
import type { MachineContext } from './machine-context.js';
import type { Order } from './task.js';

/** A report with news follows the last one no sooner than this. */
const NEWS_AFTER_MS = 500;
const REPORT_TIMEOUT_MS = 4000;
const RETRY_MS = 1000;
/** A worker that is told who leads asks there within this time. */
const REDIRECT_WITHIN_MS = 500;
/** Shares of the period between which the next report falls. */
const JITTER = { least: 0.75, most: 1.25 };

/** What a controller answers to a report that it takes. */
export interface ReportAnswer {
  baton?: number;
  orders: Order[];
}

/** The worker whose reports are sent. */
export interface Reporter {
  readonly id: string;
  readonly gone: boolean;
  readonly hungUntil: number;
  readonly session: number;
  /** The next report; each has a number of its own. */
  report(): unknown;
  whenAwake(run: () => void): void;
  /** An answer to the report that was sent then, in that session. */
  accept(answer: ReportAnswer, session: number, sentAt: number): void;
}

/** Sends a worker's reports, one at a time, to the controller that takes them. */
export class ReportLoop {
  /** Index of the controller that is asked next. */
  private node: number;
  private inFlight = false;
  private dirty = false;
  private nextAt: number;
  private notBefore = 0;
  private lastSent = -Infinity;
  private mutedUntil = 0;
  private plannedAt = Infinity;

  constructor(
    private readonly reporter: Reporter,
    private readonly context: MachineContext,
  ) {
    const { sim, controllers } = context;
    this.node = Math.floor(sim.random() * controllers.length);
    this.nextAt = sim.now;
  }

  /** Whether no controller can be reached just now. */
  get muted(): boolean {
    return this.context.sim.now < this.mutedUntil;
  }

  /** Reaches no controller for a time. */
  mute(ms: number): void {
    this.mutedUntil = Math.max(this.mutedUntil, this.context.sim.now + ms);
  }

  /** There is something new to report. */
  changed(): void {
    this.dirty = true;
    this.plan();
  }

  /** Sees to it that the next report goes out when it is due. */
  plan(): void {
    const { reporter } = this;
    if (reporter.gone || this.inFlight) return;
    const { sim } = this.context;
    const dueAt = this.dirty ? Math.min(this.nextAt, this.lastSent + NEWS_AFTER_MS) : this.nextAt;
    const awakeAt = this.hung ? reporter.hungUntil : 0;
    const at = Math.max(dueAt, this.notBefore, awakeAt, sim.now);
    if (at >= this.plannedAt) return;
    this.plannedAt = at;
    sim.after(at - sim.now, () => {
      if (this.plannedAt !== at) return;
      this.plannedAt = Infinity;
      if (reporter.gone || this.inFlight || this.hung) this.plan();
      else this.send();
    });
  }

  private get hung(): boolean {
    return this.context.sim.now < this.reporter.hungUntil;
  }

  private send(): void {
    const { sim, settings } = this.context;
    this.inFlight = true;
    this.dirty = false;
    this.lastSent = sim.now;
    this.nextAt = sim.now + settings.reportMs * sim.between(JITTER.least, JITTER.most);
    if (!this.muted) return this.post();
    sim.after(1, () => {
      this.inFlight = false;
      this.tryNext();
      this.plan();
    });
  }

  private post(): void {
    const { sim, net, controllers } = this.context;
    const { reporter } = this;
    const sentAt = sim.now;
    const { session } = reporter;
    const host = controllers[this.node] ?? '';
    net.call(
      reporter.id,
      {
        to: this.context.apiOf(host),
        method: 'POST',
        path: '/v1/report',
        body: reporter.report(),
        timeoutMs: REPORT_TIMEOUT_MS,
      },
      () => !reporter.gone,
      (reply) =>
        reporter.whenAwake(() => {
          this.inFlight = false;
          this.answered(reply, session, sentAt);
          this.plan();
        }),
    );
  }

  private answered(reply: Reply, session: number, sentAt: number): void {
    if (reply.status === 200) this.reporter.accept(reply.body as ReportAnswer, session, sentAt);
    else if (reply.status === 421) this.redirect((reply.body as { foreman?: string }).foreman);
    else this.tryNext();
  }

  private redirect(leader = ''): void {
    const { controllers, sim } = this.context;
    const node = controllers.indexOf(leader);
    if (node < 0 || node === this.node) return this.tryNext();
    this.node = node;
    this.retry(sim.between(0, REDIRECT_WITHIN_MS));
  }

  private retry(ms: number): void {
    this.notBefore = this.nextAt = this.context.sim.now + ms;
  }

  private tryNext(): void {
    this.node = (this.node + 1) % this.context.controllers.length;
    this.retry(RETRY_MS);
  }
}
