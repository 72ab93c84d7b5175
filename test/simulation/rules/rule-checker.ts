/** Checks the rules of the protocol and of the operators against the events of a simulation. */
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

/** Receives the events of jobs and tasks in a simulation, and records each violation of a rule. */
export class RuleChecker {
  private readonly context: RuleContext;
  private readonly usage: TeamUsage;
  private readonly responses: ResponseRules;
  private readonly cancellation: CancellationRule;
  private readonly waiting: WaitingRule;
  private readonly placements = new TaskPlacements();
  /** Number of task starts on all machines. */
  startedTasks = 0;
  /**
   * Listeners called when an accepted job that nobody has asked to cancel completes its last task.
   */
  readonly onLastTaskCompleted: ((id: string) => void)[] = [];
  /** Listeners called when a task starts on a machine. */
  readonly onTaskStart: ((placement: Placement) => void)[] = [];

  /**
   * Tasks of a job may stay on machines for `cancelMs` milliseconds after the first response that
   * reported the job as cancelled.
   */
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

  /** All jobs that users have submitted. */
  get jobs(): ObservedJobs {
    return this.context.jobs;
  }

  /** The violations so far, each with its time, its rule and what was observed. */
  get violations(): readonly string[] {
    return this.context.violations;
  }

  /** When the last fault ended, in milliseconds; null while faults may still occur. */
  get faultsEndedAt(): number | null {
    return this.context.faultsEndedAt;
  }

  set faultsEndedAt(timeMs: number | null) {
    this.context.faultsEndedAt = timeMs;
  }

  /** Listeners called at the first response that reports a job as accepted, done or cancelled. */
  get onVisibleChange(): ResponseRules['onVisibleChange'] {
    return this.responses.onVisibleChange;
  }

  /**
   * For each job that still had tasks on machines when a response first reported it as cancelled,
   * the time of the response.
   */
  get cancelledWhileRunning(): readonly number[] {
    return this.cancellation.cancelledWhileRunning;
  }

  /** Whether every team has a GPU limit and has reached it. */
  get everyTeamAtLimit(): boolean {
    return this.usage.everyTeamAtLimit;
  }

  /** Records the submission that a user is about to send. */
  jobSubmitted(spec: JobSpec): void {
    this.jobs.submitted(spec, this.context.now());
  }

  /** Records that a user is about to request the cancellation of the job. */
  cancelRequested(id: string): void {
    const job = this.jobs.get(id);
    if (job !== undefined) job.cancelRequested = true;
  }

  /** Returns what responses have reported about the job so far. */
  visibleState(id: string): VisibleState {
    return visibleStateOf(this.jobs.get(id));
  }

  /**
   * Checks the response to a submission, a poll or a cancellation; status 0 means that no response
   * arrived. `stateWhenSent` is what responses had reported about the job when the request was
   * sent. Whichever controller answers, the response must not report an earlier state.
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

  /** Records that a controller accepted a job that cannot run or that lacks a field. */
  invalidJobAccepted(id: string): void {
    this.context.violated('accepted_odd', `${id} was accepted although it is invalid`);
  }

  /**
   * Records that the task starts on the machine, after its image was fetched. Checks the rules
   * about placement, team limits and cancellation.
   */
  taskStarted(id: string, index: number, placement: Placement): void {
    this.startedTasks++;
    const job = this.jobs.get(id);
    if (job === undefined) return this.context.violated('wrong_place', `${id} was never submitted`);
    const name = `${id}/${index}`;
    const { machine } = placement;
    const otherMachines = this.placements.add(id, index, placement);
    if (otherMachines.length > 0)
      this.context.violated(
        'ran_twice',
        `${name} started on ${machine} while on ${otherMachines.join()}`,
      );
    this.countTask(job, placement, 1);
    if (job.tasksOnMachines >= tasksStartedTogether(job.spec)) job.startedAt ??= this.context.now();
    for (const violation of placementViolations(job, placement))
      this.context.violated('wrong_place', `${name} ${violation}`);
    for (const limit of this.usage.exceeded(job.spec.team)) this.context.violated('quota', limit);
    this.cancellation.check(job);
    for (const listener of this.onTaskStart) listener(placement);
  }

  /** Records that the task is no longer on the machine. */
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

  /** Records that the task has completed; has no effect for services, which never complete. */
  taskCompleted(id: string, index: number): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.spec.kind === 'service') return;
    job.completedTasks.add(index);
    if (job.completedTasks.size === job.spec.tasks && job.accepted && !job.cancelRequested)
      for (const listener of this.onLastTaskCompleted) listener(id);
  }

  /** Returns the machines that tasks of the job are on, one entry per task. */
  machinesOf(id: string): string[] {
    return this.placements.machinesOf(id);
  }

  /** Checks the rules that the passing of time can violate; call it at regular intervals. */
  tick(): void {
    this.cancellation.tick();
    this.responses.tick();
  }

  /**
   * Checks that no job waits for long while `free` has capacity for it within its team's limits;
   * call it at regular intervals once all faults have ended.
   */
  checkWaitingJobs(free: readonly FreeCapacity[]): void {
    this.waiting.check(free);
  }
}
