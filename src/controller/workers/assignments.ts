/** The life cycle of assignments: assigned, stopped, ended; and what follows for their jobs. */
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
import type { FailureTracker } from './failure-tracker.js';
import type { TeamUsage } from './team-usage.js';

/** What follows from changes of assignments. */
export interface AssignmentEvents {
  /** Free capacity or tasks changed: a placement pass is needed. */
  placementInputChanged(): void;
  /** A task was completed, this long after it began to run. */
  taskCompleted(assignment: Assignment, runMs: number): void;
  /** The machine's record has to be written. */
  recordDue(machine: Machine): void;
  /** The machine has to be sent a stop. */
  commandDue(machine: Machine): void;
}

/** All tasks that may be on a machine, counted until they are proven gone (invariants 5 and 7). */
export class Assignments {
  /** Number of tasks that are not proven gone, by class. */
  readonly countByClass = new Map<string, number>();
  /** Number of tasks that are not proven gone. */
  count = 0;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly table: Pick<JobTable, 'jobs' | 'markDone' | 'requeue' | 'countExit'>,
    private readonly teams: Pick<TeamUsage, 'add'>,
    private readonly failures: Pick<FailureTracker, 'recordFailure' | 'recordSuccess'>,
    private readonly events: AssignmentEvents,
  ) {}

  /** Assigns the task to the machine; it is started once the assignment is recorded (invariant 4). */
  assign(job: Job, task: number, attempt: number, machine: Machine): void {
    const assignment = planAssignment(job, task, attempt, machine, this.eventLoop.now());
    this.register(assignment);
    job.currentAssignments.set(task, assignment);
    this.events.recordDue(machine);
    this.eventLoop.log.debug(
      { job: job.spec.id, task, attempt, machine: machine.id },
      'task assigned',
    );
  }

  /** Restores a task that an earlier leader has recorded on the machine. */
  restore(machine: Machine, recorded: RecordedTask, assignedAt: number): void {
    const job = this.table.jobs.get(recorded.jobId) ?? null;
    const assignment = restoreAssignment(recorded, job, machine, assignedAt);
    this.register(assignment);
    if (job === null) this.stop(assignment, 0, 'job ended');
    else attachLatestAttempt(job, assignment);
  }

  /**
   * Stops the assignment: at once if its start was never sent, otherwise by a command to the worker,
   * which has `graceS` seconds to save a checkpoint. Only an earlier end than before is sent again.
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

  /** Stops all tasks of a job; the stops of a gang have to arrive within `gang_peer_s` of each other. */
  stopJob(job: Job, graceS: number, reason: string): void {
    if (job.spec.kind === 'gang' && job.currentAssignments.size > 0) job.gangRestarting = true;
    for (const assignment of [...job.currentAssignments.values()])
      this.stop(assignment, graceS, reason);
    this.restartGang(job);
  }

  /** Stops all attempts of a job that has ended, including those that are known only from records. */
  stopAll(job: Job, reason: string): void {
    this.stopJob(job, 0, reason);
    for (const assignment of [...job.allAssignments]) this.stop(assignment, 0, reason);
  }

  /**
   * The job has ended: forgets assignments that have ended, and stops the others if it was cancelled.
   * The members of a completed gang all exit by themselves at the same time.
   */
  jobTerminated(job: Job): void {
    for (const assignment of [...job.allAssignments]) {
      if (assignment.phase === 'ended') this.forget(assignment);
      else if (job.terminalState === 'cancelled') this.stop(assignment, 0, 'cancelled');
    }
  }

  /** The completion of the task is recorded: the worker may clear it, and its assignment is forgotten. */
  completionRecorded(job: Job, task: number): void {
    const assignment = job.currentAssignments.get(task);
    if (assignment?.phase === 'ended') this.forget(assignment);
  }

  /** Ends what was assigned in earlier agent epochs of the machine: it is proven gone. */
  endBeforeEpoch(machine: Machine, agentEpoch: number): void {
    for (const assignment of [...machine.assignments.values()])
      if (assignment.agentEpoch < agentEpoch) this.end(assignment, 'lost');
  }

  /** Ends all that was assigned to the machine: it is proven gone. */
  endAll(machine: Machine): void {
    for (const assignment of [...machine.assignments.values()]) this.end(assignment, 'lost');
  }

  /** Ends the assignment: its task is proven to be no longer on the machine. */
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

  /** The task is completed; the assignment stays until that is recorded. */
  private complete(assignment: Assignment, job: Job): void {
    const { machine, task, runningAt } = assignment;
    if (runningAt !== null) this.events.taskCompleted(assignment, this.eventLoop.now() - runningAt);
    this.failures.recordSuccess(machine);
    if (job.spec.kind === 'gang') this.completeGang(job);
    else this.table.markDone(job, task);
    if (job.doneRecorded[task] === 1) this.forget(assignment);
  }

  /** The members of a gang complete together. */
  private completeGang(job: Job): void {
    for (let task = 0; task < job.spec.tasks; task++) this.table.markDone(job, task);
  }

  /** The task has ended without being completed, and has to run again. */
  private requeue(assignment: Assignment, job: Job, outcome: AssignmentOutcome): void {
    const { machine, task } = assignment;
    if (outcome !== 'unsent') this.table.countExit(job, outcome);
    this.eventLoop.log.info({ job: job.spec.id, task, machine: machine.id, outcome }, 'task ended');
    this.failures.recordFailure(machine, job, outcome);
    if (job.spec.kind === 'gang') this.handleLostGangMember(job);
    else if (!job.currentAssignments.has(task)) this.table.requeue(job, task);
  }

  /** Stops the other members of the gang; if there are none, the gang restarts at once. */
  private handleLostGangMember(job: Job): void {
    if (job.gangRestarting || job.isComplete) {
      this.restartGang(job);
      return;
    }
    job.gangRestarting = true;
    this.stopJob(job, 0, 'gang lost a member');
  }

  /** Has a gang start anew once nothing of its old attempt is left on any machine. */
  private restartGang(job: Job): void {
    if (
      !job.gangRestarting ||
      job.currentAssignments.size > 0 ||
      job.terminalState !== null ||
      job.isComplete
    )
      return;
    job.gangRestarting = false;
    for (let task = job.spec.tasks - 1; task >= 0; task--) this.table.requeue(job, task);
  }

  /** Counts the task as being on its machine. */
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

  /** Frees what the task used: it is gone, even if its completion has yet to be recorded. */
  private release(assignment: Assignment): void {
    const { machine, job, team, request } = assignment;
    machine.deallocate(assignment);
    this.teams.add(team, request, -1);
    this.count--;
    if (job === null) return;
    adjustCount(this.countByClass, job.spec.class, -1);
    job.progressChanged = true;
  }

  /** Removes an assignment that has ended from its machine, the machine's record and its job. */
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
 * Earlier leaders may have left a task on the record of a machine that it had left, beside that of the
 * machine it went to. Both count until heartbeats show which is gone; the job knows the later attempt.
 */
function attachLatestAttempt(job: Job, assignment: Assignment): void {
  const current = job.currentAssignments.get(assignment.task);
  if (current === undefined || current.attempt < assignment.attempt)
    job.currentAssignments.set(assignment.task, assignment);
}
