/** The Rules of PROTOCOL and of the operators, checked against what really happens. */
import type { Team } from '../../../src/controller/settings/platform.js';
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import {
  newObservedJob,
  placementViolations,
  visibleStateOf,
  type ObservedJob,
  type VisibleChange,
  type VisibleState,
} from './observed-job.js';
import { findNeglectedJobs } from './neglected-jobs.js';
import type { FreeCapacity, Placement } from './placement.js';
import { hasCapacity, tasksStartedTogether } from './capacity.js';
import { TeamUsage } from './team-usage.js';

/** Faults over, no job may wait longer than this beside room for it. */
const WAITING_MS = 90_000;
/** And no service may lack a replica for longer. */
const REPLICA_MS = 30_000;
/** After this time without any answer a job counts as forgotten, once faults are over. */
const UNANSWERED_MS = 75_000;

/** Is told what happens to jobs and tasks, and notes each rule that it breaks. */
export class RuleChecker {
  /** Rules that were broken, with the time and the detail. */
  readonly violations: string[] = [];
  private readonly jobs = new Map<string, ObservedJob>();
  /** By task: the places that it is on, by machine. */
  private readonly on = new Map<string, Map<string, Placement>>();
  private readonly usage: TeamUsage;
  /** Cancelled jobs of which tasks may still be on machines. */
  private readonly leaving = new Set<ObservedJob>();
  /** Set once the last fault is over. */
  faultsEndedAt: number | null = null;
  /** How many tasks have begun on a machine. */
  startedTasks = 0;
  /** Called when a user is first told something of a job. */
  readonly onVisibleChange: ((id: string, news: VisibleChange) => void)[] = [];
  /** Called as the last task of a job ends. */
  readonly onLastTaskCompleted: ((id: string) => void)[] = [];
  /** Called when a task begins on a machine. */
  readonly onTaskStart: ((place: Placement) => void)[] = [];
  /** When cancellations were told of jobs that had tasks on machines. */
  readonly cancelledWhileRunning: number[] = [];

  constructor(
    teams: readonly Team[],
    private readonly cancelMs: number,
    private readonly now: () => number,
  ) {
    this.usage = new TeamUsage(teams);
  }

  private fail(rule: string, detail: string): void {
    this.violations.push(`${(this.now() / 1000).toFixed(3)} s ${rule}: ${detail}`);
  }

  /** A user is about to submit the job. */
  jobSubmitted(spec: JobSpec): void {
    if (!this.jobs.has(spec.id)) this.jobs.set(spec.id, newObservedJob(spec, this.now()));
  }

  /** A user is about to ask for the job's cancellation. */
  cancelRequested(id: string): void {
    const job = this.jobs.get(id);
    if (job !== undefined) job.cancelRequested = true;
  }

  /** What the job's user has been told so far. */
  visibleState(id: string): VisibleState {
    return visibleStateOf(this.jobs.get(id));
  }

  /**
   * An answer to a submission, a poll or a cancellation; 0: none came. `before` is what the user had
   * been told when the question was sent: no answer may be older than that, whichever node gave it.
   */
  responseReceived(
    id: string,
    status: number,
    state: string,
    submission: boolean,
    before: VisibleState = this.visibleState(id),
  ): void {
    const known = this.visibleState(id);
    this.judge(id, status, state, submission, before);
    const now = this.visibleState(id);
    for (const news of ['accepted', 'done', 'cancelled'] as const)
      if (now[news] && !known[news]) for (const told of this.onVisibleChange) told(id, news);
  }

  private judge(
    id: string,
    status: number,
    state: string,
    submission: boolean,
    before: VisibleState,
  ): void {
    const job = this.jobs.get(id);
    if (job === undefined) {
      if (status === 200) this.fail('invented', id);
      return;
    }
    if (before.accepted && status === 404) this.fail('forgotten', `${id} 404`);
    if (before.accepted && submission && (status === 400 || status === 422))
      this.fail('forgotten', `${id} ${status}`);
    if (status === 200 || status === 201) this.judgeState(job, state, before);
    else {
      if (job.accepted) job.unansweredSince ??= this.now();
      this.checkAnswered(job);
    }
  }

  /** The user is told a state of the job. */
  private judgeState(job: ObservedJob, state: string, before: VisibleState): void {
    const { id } = job.spec;
    job.unansweredSince = null;
    job.accepted = true;
    if (state === 'done') {
      if (job.completedTasks.size < job.spec.tasks) this.fail('not_done', id);
      if (job.cancelledAt !== null) this.fail('went_back', `${id} cancelled, then done`);
      job.reportedDone = true;
    } else if (before.done || (job.reportedDone && state === 'aborted'))
      this.fail('went_back', `${id} done, then ${state}`);
    if (state === 'aborted') {
      if (!job.cancelRequested) this.fail('went_back', `${id} cancelled by nobody`);
      if (job.cancelledAt === null && job.tasksOnMachines > 0)
        this.cancelledWhileRunning.push(this.now());
      job.cancelledAt ??= this.now();
      this.leaving.add(job);
    } else if (before.cancelled && state !== 'done')
      this.fail('went_back', `${id} cancelled, then ${state}`);
  }

  /** The operators' rule: faults over, no job may go unanswered for long, however others fare. */
  private checkAnswered(job: ObservedJob): void {
    if (this.faultsEndedAt === null || job.unansweredSince === null) return;
    const from = Math.max(this.faultsEndedAt, job.unansweredSince);
    if (this.now() - from > UNANSWERED_MS) this.fail('forgotten', `${job.spec.id} unanswered`);
  }

  /** The task has its image and is on the machine from now on. */
  taskStarted(id: string, task: number, place: Placement): void {
    this.startedTasks++;
    const job = this.jobs.get(id);
    if (job === undefined) return this.fail('wrong_place', `${id} unknown`);
    const name = `${id}/${task}`;
    const places = this.on.get(name) ?? new Map<string, Placement>();
    this.on.set(name, places);
    if (places.size > 0)
      this.fail('ran_twice', `${name} on ${place.machine}, is on ${[...places.keys()].join()}`);
    places.set(place.machine, place);
    this.count(job, place, 1);
    if (job.tasksOnMachines >= tasksStartedTogether(job.spec)) job.startedAt ??= this.now();
    for (const fault of placementViolations(job, place))
      this.fail('wrong_place', `${name} ${fault}`);
    for (const limit of this.usage.exceeded(job.spec.team)) this.fail('quota', limit);
    this.checkCancelled(job);
    for (const begun of this.onTaskStart) begun(place);
  }

  /** The task is no longer on the machine. */
  taskStopped(id: string, task: number, machine: string): void {
    const places = this.on.get(`${id}/${task}`);
    const place = places?.get(machine);
    if (places === undefined || place === undefined) return;
    places.delete(machine);
    if (places.size === 0) this.on.delete(`${id}/${task}`);
    const job = this.jobs.get(id);
    if (job !== undefined) this.count(job, place, -1);
  }

  private count(job: ObservedJob, place: Placement, by: 1 | -1): void {
    job.tasksOnMachines += by;
    const inZone = (job.tasksByZone.get(place.zone) ?? 0) + by;
    if (inZone > 0) job.tasksByZone.set(place.zone, inZone);
    else job.tasksByZone.delete(place.zone);
    this.usage.count(job.spec, by);
  }

  /** Jobs with tasks on machines that nobody has asked to cancel. */
  runningJobs(): string[] {
    return [...this.jobs.values()]
      .filter((job) => job.tasksOnMachines > 0 && !job.cancelRequested)
      .map((job) => job.spec.id);
  }

  /** The task has done its work. */
  taskCompleted(id: string, task: number): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.spec.kind === 'service') return;
    job.completedTasks.add(task);
    if (job.completedTasks.size === job.spec.tasks && job.accepted && !job.cancelRequested)
      for (const ended of this.onLastTaskCompleted) ended(id);
  }

  /** Jobs that were accepted and not called off. */
  acceptedJobs(): string[] {
    return this.counted().map((job) => job.spec.id);
  }

  /** Whether its user was told that the job is done. */
  toldDone(id: string): boolean {
    return this.jobs.get(id)?.reportedDone === true;
  }

  /** Whether its user was told that the job is cancelled. */
  toldCancelled(id: string): boolean {
    return (this.jobs.get(id)?.cancelledAt ?? null) !== null;
  }

  /** Jobs that users were told have ended so. */
  countEnded(state: 'done' | 'cancelled'): number {
    return [...this.jobs.values()].filter((job) => visibleStateOf(job)[state]).length;
  }

  /** Machines that tasks of the job are on. */
  machinesOf(id: string): string[] {
    const found: string[] = [];
    for (const [name, places] of this.on)
      if (name.startsWith(`${id}/`)) found.push(...places.keys());
    return found;
  }

  /** A submission that can't run, or lacks a field, was accepted. */
  invalidJobAccepted(id: string): void {
    this.fail('accepted_odd', id);
  }

  /** The operators' rule: faults over, no job waits for long beside room for it, within its limit. */
  checkWaitingJobs(free: readonly FreeCapacity[]): void {
    for (const job of this.jobs.values()) {
      const { spec } = job;
      const open = job.accepted && !job.cancelRequested && job.completedTasks.size < spec.tasks;
      const runs = job.tasksOnMachines >= (spec.kind === 'service' ? spec.tasks : 1);
      if (!open || runs || !this.couldRun(spec, free)) job.runnableSince = null;
      else job.runnableSince ??= this.now();
      const longest = spec.kind === 'service' ? REPLICA_MS : WAITING_MS;
      if (job.runnableSince !== null && this.now() - job.runnableSince > longest)
        this.fail('left_waiting', `${spec.id} (${spec.kind} of ${spec.tasks})`);
    }
  }

  private couldRun(spec: JobSpec, free: readonly FreeCapacity[]): boolean {
    return this.usage.allows(spec, tasksStartedTogether(spec)) && hasCapacity(spec, free);
  }

  /** Whether no team may use another GPU. */
  get everyTeamAtLimit(): boolean {
    return this.usage.everyTeamAtLimit;
  }

  private checkCancelled(job: ObservedJob): void {
    if (job.cancelledAt === null || this.now() <= job.cancelledAt + this.cancelMs) return;
    if (job.tasksOnMachines > 0) this.fail('ran_cancelled', job.spec.id);
    else this.leaving.delete(job);
  }

  /** To be called as time passes. */
  tick(): void {
    for (const job of this.leaving) this.checkCancelled(job);
    if (this.faultsEndedAt !== null) for (const job of this.jobs.values()) this.checkAnswered(job);
  }

  /** Accepted jobs that are neither done nor cancelled; services never are, `waiting` watches them. */
  unfinishedJobs(): string[] {
    return this.counted()
      .filter((job) => job.spec.kind !== 'service' && job.completedTasks.size < job.spec.tasks)
      .map((job) => job.spec.id);
  }

  private counted(): ObservedJob[] {
    return [...this.jobs.values()].filter(
      (job) => job.accepted && job.cancelledAt === null && !job.cancelRequested,
    );
  }

  /** Where the operators' rule on a day as a whole does not hold. */
  neglectedJobs(): string[] {
    return findNeglectedJobs(this.counted());
  }
}
