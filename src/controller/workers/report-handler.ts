/** Reports of workers: what they prove, and the orders in their answers. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import { writeHeartbeatResponse, type Heartbeat } from '../wire/workers.js';
import type { Machine } from './machine.js';
import { addOrder } from './orders.js';
import type { Reconciliation, ReportInProgress } from './reconciliation.js';
import type { MachineRegistry } from './registry.js';
import type { Sessions } from './sessions.js';
import { termOf } from './token.js';
import type { TokenSync } from './token-sync.js';

/** A report that came too late or from a session that is over gets no 200: it must not renew. */
export type ReportAnswer = { status: 200; body: unknown } | { status: 503 };

const REFUSED: ReportAnswer = { status: 503 };

/** What reports tell of. */
export interface ReportEvents {
  /** The worker has seen a leader of this term. */
  higherTerm(term: number): void;
  /** Machines changed: placement should look again. */
  changed(): void;
}

/** Answers the reports of workers. */
export class ReportHandler {
  private reports = 0;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now'>,
    private readonly settings: Settings,
    private readonly registry: MachineRegistry,
    private readonly sessions: Pick<Sessions, 'begin'>,
    private readonly sync: TokenSync,
    private readonly reconciliation: Pick<Reconciliation, 'listed' | 'missing'>,
    private readonly events: ReportEvents,
  ) {}

  /** Takes over what the report says; an answer of 200 renews the worker's lease. */
  handle(report: Heartbeat): ReportAnswer {
    this.events.higherTerm(termOf(report.fencingToken));
    // Late copies of reports must not bring back a machine that the cloud has taken.
    if (this.registry.wasRemoved(report.machine)) return REFUSED;
    const machine = this.registry.obtain(report.machine);
    if (isOutdated(report, machine)) return REFUSED;
    const now = this.eventLoop.now();
    this.registry.update(machine, report);
    if (report.agentEpoch > machine.session) this.sessions.begin(machine, report.agentEpoch);
    this.renew(machine, report, now);
    if (this.sync.observe(machine, report.fencingToken)) this.events.changed();
    const handled: ReportInProgress = {
      machine,
      report,
      number: ++this.reports,
      current: this.sync.isCurrent(report.fencingToken),
      orders: [],
    };
    this.reconcile(handled, now);
    if (machine.noticeAt !== null) this.events.changed();
    return {
      status: 200,
      body: writeHeartbeatResponse(this.sync.tokenOf(machine), handled.orders),
    };
  }

  private renew(machine: Machine, { sequence, spotNoticeS }: Heartbeat, now: number): void {
    const first = machine.lastReportAt === -Infinity;
    machine.lastSeq = sequence;
    machine.lastReportAt = now;
    machine.leaseRenewedAt = now;
    machine.noticeAt = spotNoticeS === null ? null : now + spotNoticeS * 1000;
    if (first) this.events.changed();
  }

  private reconcile(handled: ReportInProgress, now: number): void {
    const { machine, report, number, current, orders } = handled;
    for (const task of report.tasks) this.reconciliation.listed(handled, task);
    // Ending one takes it from the map, which a loop over a map allows for.
    for (const assignment of machine.assignments.values()) {
      const unlisted = assignment.lastReportNumber !== number && assignment.phase !== 'ended';
      if (current && unlisted && assignment.session === report.agentEpoch)
        this.reconciliation.missing(handled, assignment);
      addOrder(assignment, report, orders, this.settings, now);
    }
  }
}

/** Whether the report is of a session that is over, or older than the last of its session. */
function isOutdated(report: Heartbeat, machine: Machine): boolean {
  if (report.agentEpoch < machine.session || report.agentEpoch < machine.lowestValidSession)
    return true;
  return report.agentEpoch === machine.session && report.sequence <= machine.lastSeq;
}
