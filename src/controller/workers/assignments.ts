/**
 * The life cycle of assignments: they are created, stopped and ended, and their jobs are updated.
 */
import type { JobTable } from '../jobs/job-table.js';
import {
  type Assignment,
  type AssignmentOutcome,
  type Job,
  type Machine,
  planAssignment,
  type RecordedTask,
  restoreAssignment,
} from '../model/entities.js';
import { adjustCount } from '../model/keyed-counts.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Int } from '../wire/integers.js';
import type { FailureTracker } from './failure-tracker.js';
import type { TeamUsage } from './team-usage.js';

/** Events that `Assignments` raises. */
export interface AssignmentEvents {
  /** Free capacity or the set of pending tasks changed: a placement pass is needed. */
  placementInputChanged(): void;
  /** A task was completed; `runMs` is the time since this leader first saw it running. */
  taskCompleted(assignment: Assignment, runMs: number): void;
  /** The machine's record has to be written. */
  recordDue(machine: Machine): void;
  /** A stop command has to be sent to the machine. */
  commandDue(machine: Machine): void;
}

/**
 * All tasks that may be on a machine. Each task is counted, including against its team's limits,
 * until one of these facts proves it gone (invariants 5 and 7): the agent epoch has advanced, the
 * worker's lease has certainly expired, the cloud has confirmed the release, or a heartbeat that
 * was sent under this leader's term and after the start was settled does not list the task.
 */
export class Assignments {
  /** Number of tasks that are not yet proven gone, by job class. */
  readonly countByClass = new Map<string, number>();
  /** Number of tasks that are not yet proven gone. */
  count = 0;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly jobTable: Pick<JobTable, 'jobs' | 'markDone' | 'requeue' | 'countExit'>,
    private readonly teams: Pick<TeamUsage, 'add'>,
    private readonly failureTracker: Pick<FailureTracker, 'recordFailure' | 'recordSuccess'>,
    private readonly events: AssignmentEvents,
  ) {}

  /**
   * Assigns the task to the machine. Its start command is sent only after the machine's record
   * lists the assignment (invariant 4).
   */
  assign(job: Job, task: number, attempt: Int, machine: Machine): void {
    const assignment = planAssignment(job, task, attempt, machine, this.eventLoop.now());
    this.register(assignment);
    job.currentAssignments.set(task, assignment);
    this.events.recordDue(machine);
    this.eventLoop.log.debug(
      { job: job.spec.id, task, attempt, machine: machine.id },
      'task assigned',
    );
  }

  /** Restores an assignment from a machine's record that an earlier leader wrote. */
  restore(machine: Machine, recorded: RecordedTask, assignedAt: number): void {
    const job = this.jobTable.jobs.get(recorded.jobId) ?? null;
    const assignment = restoreAssignment(recorded, job, machine, assignedAt);
    this.register(assignment);
    if (job === null) this.stop(assignment, 0, 'job ended');
    else attachLatestAttempt(job, assignment);
  }

  /**
   * Stops the assignment. If its start was never sent, it ends immediately. Otherwise a command is
   * sent to the worker, and the task has `graceS` seconds to save a checkpoint. A repeated stop has
   * an effect only if it allows less time than the previous stop.
   */
  stop(assignment: Assignment, graceS: number, reason: string): void {
    const { phase, machine, jobId, task } = assignment;
    if (phase === 'ended') return;
    if (phase === 'planned' || phase === 'recorded') {
      // No leader has sent the start, so the task is on no machine.
      this.end(assignment, 'unsent');
      return;
    }
    if (assignment.stop !== null && assignment.stop.graceS <= graceS) return;
    assignment.stop = {
      graceS,
      requestedAt: this.eventLoop.now(),
      reason,
      sentAsDirectCommand: false,
    };
    this.events.commandDue(machine);
    this.eventLoop.log.debug(
      { job: jobId, task, machine: machine.id, graceS, reason },
      'stop requested',
    );
  }

  /**
   * Stops all current tasks of a job. The stops of a gang have to reach its machines within
   * `gang_peer_s` seconds of each other.
   */
  stopJob(job: Job, graceS: number, reason: string): void {
    if (job.spec.kind === 'gang' && job.currentAssignments.size > 0) job.gangRestarting = true;
    for (const assignment of [...job.currentAssignments.values()])
      this.stop(assignment, graceS, reason);
    this.restartGang(job);
  }

  /** Stops all attempts of an ended job, including older attempts that are still on record. */
  stopAll(job: Job, reason: string): void {
    this.stopJob(job, 0, reason);
    for (const assignment of [...job.allAssignments]) this.stop(assignment, 0, reason);
  }

  /**
   * Cleans up after a job that has ended: removes its ended assignments and, if the job was
   * cancelled, stops the others. The members of a completed gang need no stop, because they all
   * exit at the same time.
   */
  jobTerminated(job: Job): void {
    for (const assignment of [...job.allAssignments]) {
      if (assignment.phase === 'ended') this.forget(assignment);
      else if (job.terminalState === 'cancelled') this.stop(assignment, 0, 'cancelled');
    }
  }

  /**
   * Removes the assignment of a task whose completion has been recorded. From now on the worker may
   * be sent the command to clear the task.
   */
  completionRecorded(job: Job, task: number): void {
    const assignment = job.currentAssignments.get(task);
    if (assignment?.phase === 'ended') this.forget(assignment);
  }

  /** Ends the assignments of agent epochs before `agentEpoch`, whose tasks are proven gone. */
  endBeforeEpoch(machine: Machine, agentEpoch: number): void {
    for (const assignment of [...machine.assignments.values()])
      if (assignment.agentEpoch < agentEpoch) this.end(assignment, 'lost');
  }

  /** Ends all assignments of the machine; the caller has proof that its tasks are gone. */
  endAll(machine: Machine): void {
    for (const assignment of [...machine.assignments.values()]) this.end(assignment, 'lost');
  }

  /** Ends the assignment; the caller has proof that its task is no longer on the machine. */
  end(assignment: Assignment, outcome: AssignmentOutcome): void {
    if (assignment.phase === 'ended') return;
    const { job } = assignment;
    assignment.phase = 'ended';
    this.release(assignment);
    this.events.placementInputChanged();
    if (outcome === 'done' && job?.terminalState === null && !job.isService) {
      this.complete(assignment, job);
      return;
    }
    this.forget(assignment);
    if (job?.terminalState === null) this.requeue(assignment, job, outcome);
  }

  /** Handles a completed task. The assignment is kept until the completion is recorded. */
  private complete(assignment: Assignment, job: Job): void {
    const { machine, task, runningAt } = assignment;
    if (runningAt !== null) this.events.taskCompleted(assignment, this.eventLoop.now() - runningAt);
    this.failureTracker.recordSuccess(machine);
    if (job.spec.kind === 'gang') this.completeGang(job);
    else this.jobTable.markDone(job, task);
    if (job.doneRecorded[task] === 1) this.forget(assignment);
  }

  /** Marks all tasks of the gang as done, because the members of a gang complete together. */
  private completeGang(job: Job): void {
    for (let task = 0; task < job.spec.tasks; task++) this.jobTable.markDone(job, task);
  }

  /** Counts the exit of a task that was not completed, and requeues the task or its whole gang. */
  private requeue(assignment: Assignment, job: Job, outcome: AssignmentOutcome): void {
    const { machine, task } = assignment;
    if (outcome !== 'unsent') this.jobTable.countExit(job, outcome);
    this.eventLoop.log.info({ job: job.spec.id, task, machine: machine.id, outcome }, 'task ended');
    this.failureTracker.recordFailure(machine, job, outcome);
    if (job.spec.kind === 'gang') this.handleLostGangMember(job);
    else if (!job.currentAssignments.has(task)) this.jobTable.requeue(job, task);
  }

  /**
   * Handles the loss of a gang member: stops the other members. As soon as no member is left, all
   * tasks of the gang are requeued.
   */
  private handleLostGangMember(job: Job): void {
    if (job.gangRestarting || job.isComplete) {
      this.restartGang(job);
      return;
    }
    job.gangRestarting = true;
    this.stopJob(job, 0, 'gang lost a member');
  }

  /**
   * Requeues all tasks of a restarting gang once no task of its old attempt is left on any machine.
   */
  private restartGang(job: Job): void {
    if (
      !job.gangRestarting ||
      job.currentAssignments.size > 0 ||
      job.terminalState !== null ||
      job.isComplete
    )
      return;
    job.gangRestarting = false;
    for (let task = job.spec.tasks - 1; task >= 0; task--) this.jobTable.requeue(job, task);
  }

  /** Adds the assignment to its machine and job, and counts the resources that it uses. */
  private register(assignment: Assignment): void {
    const { machine, job, team, request } = assignment;
    machine.assignments.set(assignment.name, assignment);
    machine.recordSize.add(assignment);
    machine.allocate(assignment);
    this.teams.add(team, request, 1);
    this.count++;
    if (job === null) return;
    job.allAssignments.add(assignment);
    adjustCount(this.countByClass, job.spec.class, 1);
  }

  /** Frees the resources of a task that is gone, even if its completion is not recorded yet. */
  private release(assignment: Assignment): void {
    const { machine, job, team, request } = assignment;
    machine.deallocate(assignment);
    this.teams.add(team, request, -1);
    this.count--;
    if (job === null) return;
    adjustCount(this.countByClass, job.spec.class, -1);
    job.progressChanged = true;
  }

  /** Removes an ended assignment from its machine, the machine's record and its job. */
  private forget(assignment: Assignment): void {
    const { machine, job, name, task } = assignment;
    if (machine.assignments.get(name) === assignment) {
      machine.assignments.delete(name);
      machine.recordSize.remove(assignment);
    }
    job?.allAssignments.delete(assignment);
    if (job?.currentAssignments.get(task) === assignment) job.currentAssignments.delete(task);
    if (!machine.isBusy) machine.idleSince = this.eventLoop.now();
    this.events.recordDue(machine);
  }
}

/**
 * Makes the assignment the current one of its task, unless the current one is of a later attempt.
 * An earlier leader may have reassigned a task to a second machine before it removed the task from
 * the record of the first machine. Both assignments count until one of the tasks is proven gone.
 */
function attachLatestAttempt(job: Job, assignment: Assignment): void {
  const current = job.currentAssignments.get(assignment.task);
  if (current === undefined || current.attempt < assignment.attempt)
    job.currentAssignments.set(assignment.task, assignment);
}
