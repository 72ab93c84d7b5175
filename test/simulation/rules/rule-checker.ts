/** The rules of the protocol and of the operators, checked against what really happens. */
import type { Team } from '../../../src/controller/settings/platform.js';
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import { CancellationRule } from './cancellation-rule.js';
import { tasksStartedTogether } from './capacity.js';
import {
  placementViolations,
  visibleStateOf,
  type ObservedJob,
  type VisibleState,
} from './observed-job.js';
import type { ObservedJobs } from './observed-jobs.js';
import type { FreeCapacity, Placement } from './placement.js';
import { ResponseRules } from './response-rules.js';
import { RuleContext } from './rule-context.js';
import { TaskPlacements } from './task-placements.js';
import { TeamUsage } from './team-usage.js';
import { WaitingRule } from './waiting-rule.js';

/** Is told what happens to jobs and tasks, and records each rule that it violates. */
export class RuleChecker {
  private readonly context: RuleContext;
  private readonly usage: TeamUsage;
  private readonly responses: ResponseRules;
  private readonly cancellation: CancellationRule;
  private readonly waiting: WaitingRule;
  private readonly placements = new TaskPlacements();
  /** How many tasks have started on a machine. */
  startedTasks = 0;
  /** Called as the last task of a job completes. */
  readonly onLastTaskCompleted: ((id: string) => void)[] = [];
  /** Called when a task starts on a machine. */
  readonly onTaskStart: ((placement: Placement) => void)[] = [];

  /** Tasks of a cancelled job may be on machines for `cancelMs`. */
  constructor(teams: readonly Team[], cancelMs: number, now: () => number) {
    const context = new RuleContext(now);
    this.context = context;
    this.usage = new TeamUsage(teams);
    this.cancellation = new CancellationRule(context, cancelMs);
    this.responses = new ResponseRules(context, (job) =>
      this.cancellation.cancellationReported(job),
    );
    this.waiting = new WaitingRule(context, this.usage);
  }

  /** The jobs that were submitted. */
  get jobs(): ObservedJobs {
    return this.context.jobs;
  }

  /** Rules that were violated, with the time and the detail. */
  get violations(): readonly string[] {
    return this.context.violations;
  }

  /** When the last fault was over; null while faults may come. */
  get faultsEndedAt(): number | null {
    return this.context.faultsEndedAt;
  }

  set faultsEndedAt(timeMs: number | null) {
    this.context.faultsEndedAt = timeMs;
  }

  /** Called when a user is first told that a job is accepted, done or cancelled. */
  get onVisibleChange(): ResponseRules['onVisibleChange'] {
    return this.responses.onVisibleChange;
  }

  /** When users were told of the cancellation of jobs that had tasks on machines. */
  get cancelledWhileRunning(): readonly number[] {
    return this.cancellation.cancelledWhileRunning;
  }

  /** Whether no team may use another GPU. */
  get everyTeamAtLimit(): boolean {
    return this.usage.everyTeamAtLimit;
  }

  /** A user is about to submit the job. */
  jobSubmitted(spec: JobSpec): void {
    this.jobs.submitted(spec, this.context.now());
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
   * A response to a submission, a poll or a cancellation; status 0: none came. `before` is what the
   * user had been told when the request was sent: no response may be older than that, whichever
   * controller gave it.
   */
  responseReceived(
    id: string,
    status: number,
    state: string,
    submission: boolean,
    stateWhenSent: VisibleState = this.visibleState(id),
  ): void {
    this.responses.responseReceived(id, status, state, submission, stateWhenSent);
  }

  /** A submission that can't run, or lacks a field, was accepted. */
  invalidJobAccepted(id: string): void {
    this.context.violated('accepted_odd', id);
  }

  /** The task has its image and is on the machine from now on. */
  taskStarted(id: string, index: number, placement: Placement): void {
    this.startedTasks++;
    const job = this.jobs.get(id);
    if (job === undefined) return this.context.violated('wrong_place', `${id} unknown`);
    const name = `${id}/${index}`;
    const { machine } = placement;
    const otherMachines = this.placements.add(id, index, placement);
    if (otherMachines.length > 0)
      this.context.violated('ran_twice', `${name} on ${machine}, is on ${otherMachines.join()}`);
    this.countTask(job, placement, 1);
    if (job.tasksOnMachines >= tasksStartedTogether(job.spec)) job.startedAt ??= this.context.now();
    for (const violation of placementViolations(job, placement))
      this.context.violated('wrong_place', `${name} ${violation}`);
    for (const limit of this.usage.exceeded(job.spec.team)) this.context.violated('quota', limit);
    this.cancellation.check(job);
    for (const listener of this.onTaskStart) listener(placement);
  }

  /** The task is no longer on the machine. */
  taskStopped(id: string, index: number, machine: string): void {
    const placement = this.placements.remove(id, index, machine);
    const job = this.jobs.get(id);
    if (placement !== undefined && job !== undefined) this.countTask(job, placement, -1);
  }

  private countTask(job: ObservedJob, { zone }: Placement, delta: 1 | -1): void {
    job.tasksOnMachines += delta;
    const tasksInZone = (job.tasksByZone.get(zone) ?? 0) + delta;
    if (tasksInZone > 0) job.tasksByZone.set(zone, tasksInZone);
    else job.tasksByZone.delete(zone);
    this.usage.count(job.spec, delta);
  }

  /** The task has done its work. */
  taskCompleted(id: string, index: number): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.spec.kind === 'service') return;
    job.completedTasks.add(index);
    if (job.completedTasks.size === job.spec.tasks && job.accepted && !job.cancelRequested)
      for (const listener of this.onLastTaskCompleted) listener(id);
  }

  /** Machines that tasks of the job are on. */
  machinesOf(id: string): string[] {
    return this.placements.machinesOf(id);
  }

  /** To be called as time passes. */
  tick(): void {
    this.cancellation.tick();
    this.responses.tick();
  }

  /** Faults over: no job waits for long beside `free` capacity for it, within its team's limits. */
  checkWaitingJobs(free: readonly FreeCapacity[]): void {
    this.waiting.check(free);
  }
}
