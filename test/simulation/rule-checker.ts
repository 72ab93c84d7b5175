/** The Rules of PROTOCOL and of the operators, checked against what really happens. */
import type { Team } from '../../src/controller/settings/platform.js';
import type { JobSpec } from '../../src/controller/wire/jobs.js';
import {
  newRecord,
  placeFaults,
  standingOf,
  type JobRecord,
  type News,
  type Standing,
} from './job-record.js';
import { neglectedJobs } from './neglected-jobs.js';
import type { FreeRoom, Place } from './place.js';
import { hasRoom, tasksToStart } from './room.js';
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
  readonly broken: string[] = [];
  private readonly jobs = new Map<string, JobRecord>();
  /** By task: the places that it is on, by machine. */
  private readonly on = new Map<string, Map<string, Place>>();
  private readonly usage: TeamUsage;
  /** Cancelled jobs of which tasks may still be on machines. */
  private readonly leaving = new Set<JobRecord>();
  /** Set once the last fault is over. */
  calmAt: number | null = null;
  /** How many tasks have begun on a machine. */
  started = 0;
  /** Called when a user is first told something of a job. */
  readonly onNews: ((id: string, news: News) => void)[] = [];
  /** Called as the last task of a job ends. */
  readonly onLastTask: ((id: string) => void)[] = [];
  /** Called when a task begins on a machine. */
  readonly onStart: ((place: Place) => void)[] = [];
  /** When cancellations were told of jobs that had tasks on machines. */
  readonly cancelledRunning: number[] = [];

  constructor(
    teams: readonly Team[],
    private readonly cancelMs: number,
    private readonly now: () => number,
  ) {
    this.usage = new TeamUsage(teams);
  }

  private fail(rule: string, detail: string): void {
    this.broken.push(`${(this.now() / 1000).toFixed(3)} s ${rule}: ${detail}`);
  }

  /** A user is about to submit the job. */
  submitted(spec: JobSpec): void {
    if (!this.jobs.has(spec.id)) this.jobs.set(spec.id, newRecord(spec, this.now()));
  }

  /** A user is about to ask for the job's cancellation. */
  cancelAsked(id: string): void {
    const job = this.jobs.get(id);
    if (job !== undefined) job.cancelAsked = true;
  }

  /** What the job's user has been told so far. */
  standing(id: string): Standing {
    return standingOf(this.jobs.get(id));
  }

  /**
   * An answer to a submission, a poll or a cancellation; 0: none came. `before` is what the user had
   * been told when the question was sent: no answer may be older than that, whichever node gave it.
   */
  answered(
    id: string,
    status: number,
    state: string,
    submission: boolean,
    before: Standing = this.standing(id),
  ): void {
    const known = this.standing(id);
    this.judge(id, status, state, submission, before);
    const now = this.standing(id);
    for (const news of ['accepted', 'done', 'cancelled'] as const)
      if (now[news] && !known[news]) for (const told of this.onNews) told(id, news);
  }

  private judge(
    id: string,
    status: number,
    state: string,
    submission: boolean,
    before: Standing,
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
      if (job.accepted) job.unansweredFrom ??= this.now();
      this.checkAnswered(job);
    }
  }

  /** The user is told a state of the job. */
  private judgeState(job: JobRecord, state: string, before: Standing): void {
    const { id } = job.spec;
    job.unansweredFrom = null;
    job.accepted = true;
    if (state === 'done') {
      if (job.done.size < job.spec.tasks) this.fail('not_done', id);
      if (job.cancelledAt !== null) this.fail('went_back', `${id} cancelled, then done`);
      job.toldDone = true;
    } else if (before.done || (job.toldDone && state === 'aborted'))
      this.fail('went_back', `${id} done, then ${state}`);
    if (state === 'aborted') {
      if (!job.cancelAsked) this.fail('went_back', `${id} cancelled by nobody`);
      if (job.cancelledAt === null && job.on > 0) this.cancelledRunning.push(this.now());
      job.cancelledAt ??= this.now();
      this.leaving.add(job);
    } else if (before.cancelled && state !== 'done')
      this.fail('went_back', `${id} cancelled, then ${state}`);
  }

  /** The operators' rule: faults over, no job may go unanswered for long, however others fare. */
  private checkAnswered(job: JobRecord): void {
    if (this.calmAt === null || job.unansweredFrom === null) return;
    const from = Math.max(this.calmAt, job.unansweredFrom);
    if (this.now() - from > UNANSWERED_MS) this.fail('forgotten', `${job.spec.id} unanswered`);
  }

  /** The task has its image and is on the machine from now on. */
  taskOn(id: string, task: number, place: Place): void {
    this.started++;
    const job = this.jobs.get(id);
    if (job === undefined) return this.fail('wrong_place', `${id} unknown`);
    const name = `${id}/${task}`;
    const places = this.on.get(name) ?? new Map<string, Place>();
    this.on.set(name, places);
    if (places.size > 0)
      this.fail('ran_twice', `${name} on ${place.machine}, is on ${[...places.keys()].join()}`);
    places.set(place.machine, place);
    this.count(job, place, 1);
    if (job.on >= tasksToStart(job.spec)) job.begunAt ??= this.now();
    for (const fault of placeFaults(job, place)) this.fail('wrong_place', `${name} ${fault}`);
    for (const limit of this.usage.exceeded(job.spec.team)) this.fail('quota', limit);
    this.checkCancelled(job);
    for (const begun of this.onStart) begun(place);
  }

  /** The task is no longer on the machine. */
  taskOff(id: string, task: number, machine: string): void {
    const places = this.on.get(`${id}/${task}`);
    const place = places?.get(machine);
    if (places === undefined || place === undefined) return;
    places.delete(machine);
    if (places.size === 0) this.on.delete(`${id}/${task}`);
    const job = this.jobs.get(id);
    if (job !== undefined) this.count(job, place, -1);
  }

  private count(job: JobRecord, place: Place, by: 1 | -1): void {
    job.on += by;
    const inZone = (job.zones.get(place.zone) ?? 0) + by;
    if (inZone > 0) job.zones.set(place.zone, inZone);
    else job.zones.delete(place.zone);
    this.usage.count(job.spec, by);
  }

  /** Jobs with tasks on machines that nobody has asked to cancel. */
  running(): string[] {
    return [...this.jobs.values()]
      .filter((job) => job.on > 0 && !job.cancelAsked)
      .map((job) => job.spec.id);
  }

  /** The task has done its work. */
  taskDone(id: string, task: number): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.spec.kind === 'service') return;
    job.done.add(task);
    if (job.done.size === job.spec.tasks && job.accepted && !job.cancelAsked)
      for (const ended of this.onLastTask) ended(id);
  }

  /** Jobs that were accepted and not called off. */
  known(): string[] {
    return this.counted().map((job) => job.spec.id);
  }

  /** Whether its user was told that the job is done. */
  toldDone(id: string): boolean {
    return this.jobs.get(id)?.toldDone === true;
  }

  /** Whether its user was told that the job is cancelled. */
  toldCancelled(id: string): boolean {
    return (this.jobs.get(id)?.cancelledAt ?? null) !== null;
  }

  /** Jobs that users were told have ended so. */
  endedAs(state: 'done' | 'cancelled'): number {
    return [...this.jobs.values()].filter((job) => standingOf(job)[state]).length;
  }

  /** Machines that tasks of the job are on. */
  machinesOf(id: string): string[] {
    const found: string[] = [];
    for (const [name, places] of this.on)
      if (name.startsWith(`${id}/`)) found.push(...places.keys());
    return found;
  }

  /** A submission that can't run, or lacks a field, was accepted. */
  acceptedOdd(id: string): void {
    this.fail('accepted_odd', id);
  }

  /** The operators' rule: faults over, no job waits for long beside room for it, within its limit. */
  waiting(free: readonly FreeRoom[]): void {
    for (const job of this.jobs.values()) {
      const { spec } = job;
      const open = job.accepted && !job.cancelAsked && job.done.size < spec.tasks;
      const runs = job.on >= (spec.kind === 'service' ? spec.tasks : 1);
      if (!open || runs || !this.couldRun(spec, free)) job.couldRunFrom = null;
      else job.couldRunFrom ??= this.now();
      const longest = spec.kind === 'service' ? REPLICA_MS : WAITING_MS;
      if (job.couldRunFrom !== null && this.now() - job.couldRunFrom > longest)
        this.fail('left_waiting', `${spec.id} (${spec.kind} of ${spec.tasks})`);
    }
  }

  private couldRun(spec: JobSpec, free: readonly FreeRoom[]): boolean {
    return this.usage.allows(spec, tasksToStart(spec)) && hasRoom(spec, free);
  }

  /** Whether no team may use another GPU. */
  get everyTeamAtLimit(): boolean {
    return this.usage.everyTeamAtLimit;
  }

  private checkCancelled(job: JobRecord): void {
    if (job.cancelledAt === null || this.now() <= job.cancelledAt + this.cancelMs) return;
    if (job.on > 0) this.fail('ran_cancelled', job.spec.id);
    else this.leaving.delete(job);
  }

  /** To be called as time passes. */
  tick(): void {
    for (const job of this.leaving) this.checkCancelled(job);
    if (this.calmAt !== null) for (const job of this.jobs.values()) this.checkAnswered(job);
  }

  /** Accepted jobs that are neither done nor cancelled; services never are, `waiting` watches them. */
  unfinished(): string[] {
    return this.counted()
      .filter((job) => job.spec.kind !== 'service' && job.done.size < job.spec.tasks)
      .map((job) => job.spec.id);
  }

  private counted(): JobRecord[] {
    return [...this.jobs.values()].filter(
      (job) => job.accepted && job.cancelledAt === null && !job.cancelAsked,
    );
  }

  /** Where the operators' rule on a day as a whole does not hold. */
  neglected(): string[] {
    return neglectedJobs(this.counted());
  }
}
