import type { Core } from '../core/core.js';
import type { Reply } from '../core/env.js';
import type { Job, JobTable } from '../jobs/table.js';
import type { Settings } from '../settings/settings.js';
import { Teams } from '../placement/teams.js';
import type { Records } from '../store/records.js';
import type { MachineType } from '../wire/cloud.js';
import {
  splitTask,
  taskName,
  writeDirect,
  readReport,
  writeOrders,
  type Cause,
  type Order,
  type Report,
  type TaskReport,
} from '../wire/workers.js';
import type { Assignment } from './assignment.js';
import { Machine } from './machine.js';
import { readRecord, writeRecord } from './record.js';
import { EPOCHS, makeToken, termOf } from './token.js';

const MACHINES = 'm/';
const IMAGES = 'i/';
export const machineKey = (id: string): string => `${MACHINES}${id}`;
const imagesKey = (id: string): string => `${IMAGES}${id}`;

/** Starts that may be lost with their answers before a machine is taken to hear nothing. */
const DROPPED = 2;

/** Workers report at least this often, in times of the report interval (PROTOCOL), with a little over. */
const LATEST = 1.35;

/** Direct commands to one machine that wait for its answer: a machine that is cut off takes no more sockets. */
const DIRECT_OPEN = 2;

/**
 * A quarantine lasts no longer than this many leases: the machine may be the only one that fits a
 * job, and no job may be left waiting beside room for long.
 */
const QUARANTINE_LEASES = 3;

/** Machines remembered after they are gone. */
const LEFT = 10_000;

export interface WorkersHooks {
  type(name: string): MachineType | undefined;
  higherTerm(term: number): void;
  /** Room, tasks or machines changed: placement should look again. */
  changed(): void;
  /** A task ran to its end: what it took against what was expected. */
  ran(a: Assignment, tookMs: number): void;
}

/** Why an assignment ended. `lost`: the machine or its session is gone, or the start never arrived. */
type Outcome = Cause | 'lost' | 'unsent';

/** Ends of a service's replica that say something of it or of its machine. */
const SELF_ENDED: ReadonlySet<Outcome> = new Set<Outcome>([
  ...(['done', 'error', 'busy', 'unknown', 'other'] as const),
]);

/** A report that came too late or from a session that is over gets no 200: it must not renew. */
export type ReportAnswer = { status: 200; body: unknown } | { status: 503 };

/** The leader's view of the machines and of every task that may be on one. */
export class Workers {
  readonly machines = new Map<string, Machine>();
  /** What each team's tasks take, over every task that is not surely gone. */
  readonly teams: Teams;
  /** Tasks that are not surely gone, by class and in all. */
  readonly running = new Map<string, number>();
  assigned = 0;
  private reports = 0;
  private answeringFrom: number;
  private toldAt: number;
  /** Machines that are gone, the latest; names are not used again. */
  private readonly left = new Set<string>();
  private readonly dirty = new Set<Machine>();
  /** Machines whose images changed: written in their own time. */
  private readonly imagesDirty = new Set<Machine>();
  private readonly direct = new Set<Machine>();

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    readonly term: number,
    private readonly records: Records,
    private readonly table: JobTable,
    private readonly hooks: WorkersHooks,
  ) {
    this.teams = new Teams(settings.platform.teams);
    this.answeringFrom = this.toldAt = core.now();
  }

  machine(id: string): Machine {
    let m = this.machines.get(id);
    if (m === undefined) {
      m = new Machine(id, this.core.now(), this.settings);
      m.echo = this.token(m);
      this.machines.set(id, m);
    }
    return m;
  }

  setType(m: Machine, type: string, zone: string, spot: boolean, addr: string): void {
    m.typeName = type;
    m.type = this.hooks.type(type) ?? null;
    m.zone = zone;
    m.spot = spot;
    if (addr !== '') m.addr = addr;
  }

  // ---- records

  /** What the leaders before have left, read at takeover. */
  load(): void {
    for (const { key, value } of this.records.list(MACHINES))
      this.loadMachine(key.slice(MACHINES.length), value);
    for (const { key, value } of this.records.list(IMAGES)) {
      const m =
        this.machines.get(key.slice(IMAGES.length)) ?? this.machine(key.slice(IMAGES.length));
      if (!Array.isArray(value)) continue;
      for (let i = 0; i + 1 < value.length; i += 2)
        m.images.set(String(value[i]), Number(value[i + 1]));
    }
  }

  private loadMachine(id: string, value: unknown): void {
    const wall = this.core.env.wall();
    const record = readRecord(value, wall);
    if (record === null) return;
    const m = this.machine(id);
    m.session = record.session;
    this.setType(m, record.type, record.zone, record.spot, record.addr);
    for (const { at, ...t } of record.tasks) {
      const job = this.table.jobs.get(t.jobId) ?? null;
      const a: Assignment = {
        ...t,
        name: taskName(t.jobId, t.task),
        job,
        machine: m,
        session: m.session,
        since: this.core.now() - Math.max(0, wall - at),
        phase: 'sent',
        ...{ state: null, sentSeq: null, runningAt: null, reportedIn: 0, stop: null },
      };
      this.hold(a);
      if (job === null) this.stop(a, 0, 'job ended');
      else this.attach(job, a);
    }
  }

  /**
   * Leaders before may have left a task's record on a machine that it had gone from, beside that of
   * where it went. Both count until reports tell; the job knows the later attempt.
   */
  private attach(job: Job, a: Assignment): void {
    const other = job.assigned.get(a.task);
    if (other === undefined || other.attempt < a.attempt) job.assigned.set(a.task, a);
  }

  private touch(m: Machine): void {
    this.dirty.add(m);
  }

  /** Counts the task as being on its machine. */
  private hold(a: Assignment): void {
    const { machine: m, job } = a;
    m.assignments.set(a.name, a);
    m.record.add(a);
    job?.all.add(a);
    m.take(a);
    this.teams.add(a.team, a.need, 1);
    this.assigned++;
    if (job !== null) count(this.running, job.spec.class, 1);
  }

  /** The task is gone, whatever is still to be written of it. */
  private release(a: Assignment): void {
    a.machine.give(a);
    this.teams.add(a.team, a.need, -1);
    this.assigned--;
    if (a.job !== null) {
      count(this.running, a.job.spec.class, -1);
      a.job.changed = true;
    }
  }

  // ---- giving and taking tasks

  assign(job: Job, task: number, attempt: number, m: Machine): void {
    const { spec } = job;
    const a: Assignment = {
      name: taskName(spec.id, task),
      jobId: spec.id,
      job,
      team: spec.team,
      task,
      attempt,
      machine: m,
      session: m.session,
      need: { cpus: spec.cpus, gpus: spec.gpus, memoryGb: spec.memoryGb },
      saveS: spec.saveS,
      since: this.core.now(),
      phase: 'planned',
      state: null,
      sentSeq: null,
      runningAt: null,
      reportedIn: 0,
      stop: null,
    };
    this.hold(a);
    job.assigned.set(task, a);
    this.touch(m);
    this.core.log.debug({ job: spec.id, task, attempt, machine: m.id }, 'task assigned');
  }

  stop(a: Assignment, graceS: number, reason: string): void {
    if (a.phase === 'ended') return;
    if (a.phase === 'planned' || a.phase === 'recorded') {
      // Not sent by anyone: it is nowhere.
      this.end(a, 'unsent');
      return;
    }
    if (a.stop !== null && a.stop.graceS <= graceS) return;
    a.stop = { graceS, at: this.core.now(), reason, direct: false };
    this.direct.add(a.machine);
    this.core.log.debug(
      { job: a.jobId, task: a.task, machine: a.machine.id, graceS, reason },
      'stop',
    );
  }

  /** Stops a job as a whole; a gang's parts have to be told within `gang_peer_s` of each other. */
  stopJob(job: Job, graceS: number, reason: string): void {
    if (job.spec.kind === 'gang' && job.assigned.size > 0) job.regrouping = true;
    for (const a of [...job.assigned.values()]) this.stop(a, graceS, reason);
    this.regroup(job);
  }

  /** The job has ended somehow: older attempts, of which only records tell, are stopped as well. */
  stopAll(job: Job, reason: string): void {
    this.stopJob(job, 0, reason);
    for (const a of [...job.all]) this.stop(a, 0, reason);
  }

  /** The job has ended. Completed gangs end by themselves, all at the same time. */
  jobClosed(job: Job): void {
    for (const a of [...job.all]) {
      if (a.phase === 'ended') this.remove(a);
      else if (job.closed === 'cancelled') this.stop(a, 0, 'cancelled');
    }
  }

  /** Completion is on record: the task may be cleared, and its assignment forgotten. */
  doneRecorded(job: Job, task: number): void {
    const a = job.assigned.get(task);
    if (a?.phase === 'ended') this.remove(a);
  }

  private remove(a: Assignment): void {
    if (a.machine.assignments.get(a.name) === a) {
      a.machine.assignments.delete(a.name);
      a.machine.record.remove(a);
    }
    a.job?.all.delete(a);
    if (a.job?.assigned.get(a.task) === a) a.job.assigned.delete(a.task);
    if (!a.machine.busy) a.machine.idleSince = this.core.now();
    this.touch(a.machine);
  }

  /** The assignment is over: the task is surely not on the machine any more. */
  private end(a: Assignment, outcome: Outcome): void {
    if (a.phase === 'ended') return;
    const { job, machine: m } = a;
    a.phase = 'ended';
    this.release(a);
    this.hooks.changed();
    if (outcome === 'done' && job?.closed === null && !job.standing) {
      if (a.runningAt !== null) this.hooks.ran(a, this.core.now() - a.runningAt);
      m.strikes.clear();
      m.quarantines = 0;
      // Tasks of a gang complete together.
      if (job.spec.kind === 'gang')
        for (let t = 0; t < job.spec.tasks; t++) this.table.markDone(job, t);
      else this.table.markDone(job, a.task);
      if (job.recorded[a.task] === 1) this.remove(a);
      return;
    }
    this.remove(a);
    if (job?.closed !== null) return;
    if (outcome !== 'unsent') this.table.countExit(job, outcome);
    this.core.log.info(
      { job: a.jobId, task: a.task, machine: m.id, outcome },
      'task off its machine',
    );
    this.judge(a, job, outcome);
    if (job.spec.kind === 'gang') {
      // Also when this was the gang's only part: nothing is left to stop then, but all to regroup.
      const first = !job.regrouping && !job.complete;
      if (first) job.regrouping = true;
      if (first) this.stopJob(job, 0, 'gang lost a part');
      else this.regroup(job);
    } else if (job.assigned.get(a.task) === undefined) this.table.putBack(job, a.task);
  }

  /** A gang starts anew once nothing of its old attempt is left anywhere. */
  private regroup(job: Job): void {
    if (!job.regrouping || job.assigned.size > 0 || job.closed !== null || job.complete) return;
    job.regrouping = false;
    for (let t = job.spec.tasks - 1; t >= 0; t--) this.table.putBack(job, t);
  }

  /** What a failure says of the machine, and what of the job. */
  private judge(a: Assignment, job: Job, outcome: Outcome): void {
    const now = this.core.now();
    const { machine: m } = a;
    const pause = this.settings.reportMs;
    if (job.standing && SELF_ENDED.has(outcome)) this.avoid(job, m, now);
    if (outcome === 'error' && job.standing) {
      // The service goes on elsewhere at once; only where all machines fail it, it waits.
      if (job.failedOn.add(m.id).size > this.settings.get('fleet.strikes'))
        job.notBefore = now + pause;
      this.strike(m, job);
    } else if (outcome === 'error') {
      job.errors++;
      job.failedOn.add(m.id);
      job.notBefore =
        now + Math.min(pause * 2 ** Math.min(job.errors, 5), this.settings.workerLeaseMs * 2);
      this.strike(m, job);
    } else if (outcome === 'no_room') m.noPlacingBefore = Math.max(m.noPlacingBefore, now + pause);
    else if (outcome === 'busy' || outcome === 'unknown' || outcome === 'other')
      if (!job.standing) job.notBefore = Math.max(job.notBefore, now + pause);
  }

  /** A replica that ends by itself runs again elsewhere: its machine is left out for a while that grows. */
  private avoid(job: Job, m: Machine, now: number): void {
    const times = (job.avoided.get(m.id)?.times ?? 0) + 1;
    const ms = this.settings.reportMs * 2 ** Math.min(times, 5);
    job.avoided.set(m.id, { times, until: now + Math.min(ms, 2 * this.settings.workerLeaseMs) });
  }

  private strike(m: Machine, job: Job): void {
    // A job that has failed on several machines is itself at fault: it strikes no more of them.
    if (job.failedOn.size <= this.settings.get('fleet.strikes')) m.strikes.add(job.spec.id);
    // One that was let out on trial and fails again goes back at once.
    if (m.strikes.size < (m.quarantines > 0 ? 1 : this.settings.get('fleet.strikes'))) return;
    m.quarantines++;
    m.strikes.clear();
    const leases = Math.min(2 ** m.quarantines, QUARANTINE_LEASES);
    m.noPlacingBefore = this.core.now() + this.settings.workerLeaseMs * leases;
    this.core.log.warn({ machine: m.id }, 'machine quarantined');
  }

  // ---- reports

  report(r: Report): ReportAnswer {
    this.hooks.higherTerm(termOf(r.token));
    const now = this.core.now();
    // Late copies of reports must not bring back a machine that the cloud has taken.
    if (this.left.has(r.machine)) return { status: 503 };
    const m = this.machine(r.machine);
    if (r.session < m.session || r.session < m.minSession) return { status: 503 };
    if (r.session === m.session && r.seq <= m.seq) return { status: 503 };
    if (
      m.typeName !== r.type ||
      m.addr !== r.addr ||
      m.zone !== r.zone ||
      m.spot !== r.spot ||
      m.type === null
    )
      this.setType(m, r.type, r.zone, r.spot, r.addr);
    if (r.session > m.session) {
      // The worker's lease had ended: everything of the sessions before is gone from the machine.
      for (const a of [...m.assignments.values()]) if (a.session < r.session) this.end(a, 'lost');
      // A machine that is new has still to show this term, and so hears.
      const known = m.session > 0;
      m.session = r.session;
      m.direct.clear();
      if (known) this.unsync(m);
      this.touch(m);
    }
    m.seq = r.seq;
    const first = m.lastReportAt === -Infinity;
    m.lastReportAt = now;
    m.leaseFrom = now;
    m.noticeAt = r.noticeS === null ? null : now + r.noticeS * 1000;
    // A report sent before the worker knew our term may be as old as any report: what it lacks
    // proves nothing, for the leader before may have started it since.
    const current = termOf(r.token) === this.term;
    for (const [name, token] of m.direct) if (r.token > token) m.direct.delete(name);
    if (r.token > m.shown) {
      m.shown = r.token;
      m.dropped = 0;
    }
    if (!m.synced && current && r.token >= m.echo) {
      m.synced = true;
      this.hooks.changed();
    }
    if (first) this.hooks.changed();

    const orders: Order[] = [];
    this.reports++;
    for (const t of r.tasks) this.taskReport(m, t, current, orders);
    // Ending one takes it from the map, which a loop over a map allows for.
    for (const a of m.assignments.values()) {
      if (current && a.reportedIn !== this.reports && a.phase !== 'ended')
        if (a.session === r.session) this.missing(a, r);
      this.order(a, r, orders);
    }
    if (m.noticeAt !== null) this.hooks.changed();
    return { status: 200, body: writeOrders(this.token(m), orders) };
  }

  private token(m: Machine): number {
    return makeToken(this.term, m.epoch);
  }

  /**
   * Nothing is placed on the machine until it shows a token that it can only have from an answer
   * that is yet to come. A machine whose reports arrive while answers and commands don't looks idle
   * in every new session; without this it would be given the same tasks again and again.
   */
  private unsync(m: Machine): void {
    if (m.epoch < EPOCHS - 2) m.epoch++;
    m.echo = this.token(m);
    m.synced = false;
    m.unsyncedFrom = this.core.now();
  }

  /** Sees to it that the answer to this report voids direct starts of the attempt; true if any may be about. */
  private voids(m: Machine, attempt: string): boolean {
    const token = m.direct.get(attempt);
    if (token === undefined) return false;
    if (token === this.token(m)) m.epoch++;
    return true;
  }

  /** A report that was sent under our term lacks a task that should be there. */
  private missing(a: Assignment, r: Report): void {
    if (a.phase !== 'seen' && a.phase !== 'sent') return;
    // A direct start may yet come. Once the worker shows the raised token, it can't any more.
    if (this.voids(a.machine, attemptName(a.name, a.attempt))) return;
    // The worker has one report in flight at a time, so a later report without the task means that
    // the answer with its start was dropped, or that the task is gone.
    if (a.sentSeq !== null && r.seq <= a.sentSeq) return;
    // A start of this term that never arrived may go out again. One of the leader before may have
    // arrived, ended and been cleared: its attempt is over.
    const { machine: m } = a;
    if (a.phase === 'seen' || a.sentSeq === null || a.stop !== null) return this.end(a, 'lost');
    a.phase = 'recorded';
    if (m.droppedIn !== this.reports) m.dropped++;
    m.droppedIn = this.reports;
    if (m.synced && m.dropped >= DROPPED) this.unsync(m);
    // Answers don't get there. It is surely not there and not on its way: others may have it.
    if (!m.synced && m.dropped >= DROPPED) this.end(a, 'unsent');
  }

  private taskReport(m: Machine, t: TaskReport, current: boolean, orders: Order[]): void {
    const a = m.assignments.get(t.name);
    if (a?.attempt === t.attempt && a.session === m.session) {
      a.reportedIn = this.reports;
      // A report from before our term may be as old as any. That a task is done stays true; but one
      // that had ended otherwise may have been cleared and started again under the same attempt.
      const lasts = t.cause === 'done' && a.job?.standing !== true;
      if (!current && t.state === 'exited' && !lasts) return;
      if (t.cause === 'alone' && this.waitsOn(a)) {
        // Its part of the gang came too early: the others still fetch their image. It starts again
        // under the same attempt; tearing the gang down would throw those fetches away.
        const id = { name: t.name, attempt: t.attempt };
        this.voids(m, attemptName(t.name, t.attempt));
        orders.push({ op: 'forget', ...id }, { op: 'start', ...id });
        a.phase = 'sent';
        a.state = null;
        a.sentSeq = m.seq;
        return;
      }
      if (a.phase !== 'ended') this.follow(a, t);
    } else if (t.state !== 'exited') {
      // Nothing on record and yet there: it should not be; it must not stay either.
      this.core.log.warn({ task: t.name, machine: m.id }, 'unexpected task');
      orders.push({ op: 'stop', name: t.name, attempt: t.attempt, graceS: 0 });
      return;
    }
    if (t.state !== 'exited') return;
    if (t.cause === 'done' && this.unrecorded(t)) return;
    this.voids(m, attemptName(t.name, t.attempt));
    orders.push({ op: 'forget', name: t.name, attempt: t.attempt });
  }

  /** A completion of which this report is the only trace until it is on record. */
  private unrecorded(t: TaskReport): boolean {
    const { job: id, task } = splitTask(t.name);
    const job = this.table.jobs.get(id);
    if (job === undefined || job.standing || task >= job.spec.tasks) return false;
    if (job.done[task] !== 1 && job.spec.kind !== 'gang') this.table.markDone(job, task);
    return job.recorded[task] !== 1;
  }

  /** Whether a gang's part that gave up waiting is still wanted. */
  private waitsOn(a: Assignment): boolean {
    const { job } = a;
    if (job?.closed !== null || job.regrouping || a.stop !== null) return false;
    if (a.phase === 'ended') return false;
    if (a.machine.noticeAt !== null || job.assigned.size < job.spec.tasks) return false;
    for (const other of job.assigned.values())
      if (other !== a && (other.state === 'fetching' || other.state === null)) return true;
    return false;
  }

  private follow(a: Assignment, t: TaskReport): void {
    const now = this.core.now();
    if (a.phase !== 'seen') a.machine.dropped = 0;
    a.phase = 'seen';
    if (t.state === 'exited') {
      this.end(a, t.cause ?? 'other');
      return;
    }
    if (t.state === a.state) return;
    if ((t.state === 'running' || t.state === 'waiting') && a.job !== null) {
      if (a.machine.sawImage(a.job.spec.image, a.job.spec.imageGb)) this.imagesDirty.add(a.machine);
    }
    // The run is timed only from a start that was seen, not from one of the leader before.
    if (t.state === 'running' && a.runningAt === null && a.sentSeq !== null) a.runningAt = now;
    a.state = t.state;
    if (a.job !== null) a.job.changed = true;
    this.core.log.debug(
      { job: a.jobId, task: a.task, machine: a.machine.id, state: t.state, afterMs: now - a.since },
      'task state',
    );
    this.hooks.changed();
  }

  private order(a: Assignment, r: Report, orders: Order[]): void {
    if (a.session !== r.session || a.phase === 'ended') return;
    const id = { name: a.name, attempt: a.attempt };
    if (a.phase === 'recorded') {
      orders.push({ op: 'start', ...id });
      a.phase = 'sent';
      a.sentSeq = r.seq;
      return;
    }
    if (a.phase !== 'seen' && a.phase !== 'sent') return;
    if (a.stop === null) return;
    if (a.state !== 'saving') orders.push({ op: 'stop', ...id, graceS: a.stop.graceS });
    else {
      // Saving should long be over: end it.
      const allowed =
        (a.saveS * 2 + this.settings.platform.workers.gangPeerS) * 1000 + this.settings.reportMs;
      if (a.stop.graceS === 0 || this.core.now() - a.stop.at > allowed)
        orders.push({ op: 'stop', ...id, graceS: 0 });
    }
  }

  // ---- time

  /** Ends what must be gone by now: sessions whose lease has surely run out. */
  sweep(): void {
    const now = this.core.now();
    for (const m of this.machines.values()) {
      if (now - m.leaseFrom <= this.settings.workerGoneMs || m.minSession > m.session) continue;
      m.minSession = m.session + 1;
      this.unsync(m);
      if (m.assignments.size > 0)
        this.core.log.info(
          { machine: m.id, session: m.session },
          'lease of a silent machine ran out',
        );
      for (const a of [...m.assignments.values()]) this.end(a, 'lost');
      this.hooks.changed();
    }
  }

  /** The cloud has confirmed that the machine and all on it is gone. */
  gone(m: Machine): void {
    for (const a of [...m.assignments.values()]) this.end(a, 'lost');
    this.machines.delete(m.id);
    this.left.add(m.id);
    if (this.left.size > LEFT)
      for (const id of this.left) {
        this.left.delete(id);
        break;
      }
    this.dirty.delete(m);
    this.direct.delete(m);
    this.imagesDirty.delete(m);
    for (const key of [machineKey(m.id), imagesKey(m.id)])
      if (this.records.has(key)) this.records.set(key, undefined, 'lazy');
    this.hooks.changed();
  }

  /** Told as time passes: whether this node may answer workers. Silence counts only while it may. */
  answering(may: boolean, everyMs: number): void {
    const now = this.core.now();
    // A process that was held up has not answered either.
    if (!may || now - this.toldAt > everyMs * 3) this.answeringFrom = now;
    this.toldAt = now;
  }

  /** How long nothing was heard of the machine while its reports would have been answered. */
  silentMs(m: Machine): number {
    return this.core.now() - Math.max(m.lastReportAt, m.firstSeen, this.answeringFrom);
  }

  /**
   * Share of the machines whose reports are overdue by `ms`, though they would have been answered;
   * of those that may still report. `before`: only of those that have reported in this term.
   */
  overdue(ms: number, before: boolean): number {
    let all = 0;
    let late = 0;
    for (const m of this.machines.values()) {
      if (m.session < m.minSession || m.listed === 'failed') continue;
      if (before && m.lastReportAt === -Infinity) continue;
      all++;
      if (this.silentMs(m) > this.settings.reportMs * LATEST + ms) late++;
    }
    return all === 0 ? 0 : late / all;
  }

  /** How long the machine has been answered without showing that it hears. */
  deafMs(m: Machine): number {
    return m.synced ? 0 : this.core.now() - Math.max(m.unsyncedFrom, this.answeringFrom);
  }

  /** Reports lately, and its session is not over. */
  alive(m: Machine): boolean {
    const silent = this.settings.workerLeaseMs * this.settings.get('workers.silent.ratio');
    return this.core.now() - m.lastReportAt < silent && m.session >= m.minSession;
  }

  // ---- after each batch

  flush(): void {
    for (const m of this.dirty) {
      const planned = [...m.assignments.values()].filter((a) => a.phase === 'planned');
      if (m.assignments.size === 0 && !this.records.has(machineKey(m.id))) continue;
      const value = writeRecord(m, this.settings, this.core.now(), this.core.env.wall());
      const first = planned.some((a) => a.job?.standing === true);
      const urgency = first ? 'first' : planned.length > 0 ? 'urgent' : 'lazy';
      this.records.set(machineKey(m.id), value, urgency, () => {
        for (const a of planned) if (a.phase === 'planned') a.phase = 'recorded';
        this.direct.add(m);
      });
    }
    this.dirty.clear();
    for (const m of this.imagesDirty)
      this.records.set(imagesKey(m.id), [...m.images].flat(), 'lazy');
    this.imagesDirty.clear();
    for (const m of this.direct) this.sendDirect(m);
    this.direct.clear();
  }

  /**
   * Starts and stops go out at once as well; the answers to reports repeat them until they show.
   * Starts only to a worker that is known to have our term in this session: there the command can
   * be carried out at most until the token is raised or the session ends.
   */
  private sendDirect(m: Machine): void {
    // The answers to reports say the same a little later.
    if (m.addr === '' || m.directOpen >= DIRECT_OPEN || !this.core.env.mayCall(m.addr)) return;
    const orders: Order[] = [];
    const starts: Assignment[] = [];
    const startable = m.synced && m.noticeAt === null && m.epoch < EPOCHS - 2 && this.alive(m);
    for (const a of m.assignments.values()) {
      if (a.session !== m.session) continue;
      const id = { name: a.name, attempt: a.attempt };
      if (a.phase === 'recorded' && a.stop === null && startable) {
        orders.push({ op: 'start', ...id });
        starts.push(a);
      } else if (a.stop !== null && !a.stop.direct && a.phase !== 'ended') {
        a.stop.direct = true;
        orders.push({ op: 'stop', ...id, graceS: a.stop.graceS });
      }
    }
    if (orders.length === 0) return;
    for (const a of starts) {
      a.phase = 'sent';
      a.sentSeq = m.seq;
      m.direct.set(attemptName(a.name, a.attempt), this.token(m));
    }
    const { session } = m;
    m.directOpen++;
    this.core.env.call(
      {
        to: m.addr,
        method: 'POST',
        path: '/do',
        body: writeDirect(this.token(m), session, orders),
        timeoutMs: this.settings.reportMs,
      },
      (reply) => {
        this.core.post('direct', () => {
          m.directOpen--;
          this.directDone(m, session, starts, reply);
        });
      },
    );
  }

  private directDone(m: Machine, session: number, starts: Assignment[], reply: Reply): void {
    if (reply.status !== 200 && reply.status !== 409) return;
    let r: Report;
    try {
      r = readReport(reply.body);
    } catch (err) {
      this.core.log.warn({ machine: m.id, err }, 'broken answer of a worker');
      return;
    }
    if (reply.status === 409) this.hooks.higherTerm(termOf(r.token));
    if (m.session !== session) return;
    for (const a of starts) {
      if (reply.status === 409) {
        m.direct.delete(attemptName(a.name, a.attempt));
        if (a.phase === 'sent') a.phase = 'recorded';
        continue;
      }
      if (a.phase !== 'sent') continue;
      // Reports sent before the command was carried out cannot show the task.
      a.sentSeq = r.seq;
    }
  }
}

function count(counts: Map<string, number>, key: string, by: number): void {
  const n = (counts.get(key) ?? 0) + by;
  if (n === 0) counts.delete(key);
  else counts.set(key, n);
}

function attemptName(name: string, attempt: number | bigint): string {
  return `${name}@${attempt}`;
}
