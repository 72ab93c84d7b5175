/** One simulated machine and its worker: sessions, lease, commands, and faults of the machine. */
import type { MachineType } from '../../src/controller/wire/cloud.js';
import type { MachineContext } from './machine-context.js';
import type { Arrival, Respond } from './network.js';
import { ReportLoop, type ReportAnswer, type Reporter } from './report-loop.js';
import type { FreeRoom, Place } from './place.js';
import type { Order } from './task.js';
import { TaskRunner, type TaskHost } from './task-runner.js';

/** An answer to a report counts for so long. */
const ANSWER_VALID_MS = 4000;

/** A direct command as it arrives. */
interface Command {
  baton?: number;
  tenure?: number;
  orders?: Order[];
}

/** Stand-in for a machine and its worker, after PROTOCOL. */
export class Worker implements Reporter, TaskHost {
  session = 1;
  /** Hangs until then. */
  hungUntil = 0;
  gone = false;
  readonly place: Place;
  private reportNumber = 0;
  private token = 0;
  private leaseFrom: number;
  /** When the cloud takes the machine back, where it has said so. */
  private recalledAt: number | null = null;
  private blocked: (() => void)[] = [];
  private readonly tasks: TaskRunner;
  private readonly reports: ReportLoop;

  constructor(
    readonly id: string,
    readonly address: string,
    readonly type: MachineType,
    readonly zone: string,
    readonly spot: boolean,
    private readonly context: MachineContext,
  ) {
    this.place = { machine: id, type: type.name, zone, spot };
    this.leaseFrom = context.sim.now;
    context.net.listen(address, id, (_, request, respond) =>
      this.whenAwake(() => this.serve(request, respond)),
    );
    this.tasks = new TaskRunner(this, context);
    this.reports = new ReportLoop(this, context);
    this.reports.plan();
    this.watchLease();
  }

  /** The machine ends with all that is on it. */
  die(): void {
    if (this.gone) return;
    this.gone = true;
    this.tasks.killAll();
    this.context.net.remove(this.address);
  }

  /** The machine ends and is back soon, with its name and nothing else: a new session. */
  restart(ms: number): void {
    if (this.gone) return;
    this.nextSession();
    this.hang(ms);
  }

  /** The cloud says that it takes the machine back after so long. */
  warn(ms: number): void {
    this.recalledAt = this.context.sim.now + ms;
    this.changed();
  }

  /** The machine does nothing for a time; what reaches it meanwhile is taken afterwards. */
  hang(ms: number): void {
    const { sim } = this.context;
    this.hungUntil = Math.max(this.hungUntil, sim.now + ms);
    sim.after(ms, () => {
      if (sim.now < this.hungUntil) return;
      const waiting = this.blocked;
      this.blocked = [];
      for (const run of waiting) run();
      this.reports.plan();
    });
  }

  /** Reaches no controller for a time, while direct commands reach it and are answered. */
  mute(ms: number): void {
    this.reports.mute(ms);
  }

  /** What no task takes. */
  get free(): FreeRoom {
    return {
      ...this.tasks.freeRoom(),
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
      recalled: this.recalledAt !== null,
    };
  }

  /** Runs the function now, or once the machine no longer hangs; never after its end. */
  whenAwake(run: () => void): void {
    if (this.gone) return;
    if (this.context.sim.now < this.hungUntil) this.blocked.push(run);
    else run();
  }

  /** There is something new to report. */
  changed(): void {
    this.reports.changed();
  }

  private watchLease(): void {
    if (this.gone) return;
    const { sim, settings } = this.context;
    if (this.leaseFrom + settings.leaseMs <= sim.now) {
      this.context.leasesLost++;
      this.nextSession();
    }
    sim.after(Math.max(1, this.leaseFrom + settings.leaseMs - sim.now), () => this.watchLease());
  }

  private nextSession(): void {
    this.tasks.killAll();
    this.tasks.clear();
    this.session++;
    this.leaseFrom = this.context.sim.now;
    this.changed();
  }

  /** The next report; each has a number of its own. */
  report(): unknown {
    this.reportNumber++;
    const { recalledAt } = this;
    return {
      kiln: this.id,
      address: this.address,
      model: this.type.name,
      hall: this.zone,
      loaners: this.spot,
      tenure: this.session,
      tally: this.reportNumber,
      baton: this.token,
      recall_s:
        recalledAt === null ? null : Math.max(0, (recalledAt - this.context.sim.now) / 1000),
      duties: this.tasks.reported(),
    };
  }

  /** Takes the answer to a report: the token, the lease, orders. */
  accept(answer: ReportAnswer, session: number, sentAt: number): void {
    if (session !== this.session) return;
    if (answer.baton === undefined || answer.baton < this.token) return;
    // A later response is dropped by the time-out of the call; a hanging machine may find one that
    // it had received before.
    if (this.context.sim.now - sentAt > ANSWER_VALID_MS) return;
    if (answer.baton > this.token) this.changed();
    this.token = answer.baton;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    for (const order of answer.orders) this.tasks.execute(order);
  }

  private serve(request: Arrival, respond: Respond): void {
    const command = request.body() as Command | undefined;
    if (request.path === '/inspect') return respond({ status: 200, body: this.report() });
    if (command?.baton === undefined || command.tenure === undefined)
      return respond({ status: 400, body: null });
    const { happenings } = this.context;
    if (command.baton < this.token) happenings.note('direct command of an older leader');
    if (command.baton < this.token || command.tenure !== this.session)
      return respond({ status: 409, body: this.report() });
    if (this.reports.muted) happenings.note('direct command to a mute machine');
    this.token = command.baton;
    for (const order of command.orders ?? []) this.tasks.execute(order);
    respond({ status: 200, body: this.report() });
  }
}
