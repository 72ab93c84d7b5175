/** The life of assignments: given, stopped, ended, and what follows for their jobs. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Job, JobTable } from '../jobs/job-table.js';
import type { TeamUsage } from './team-usage.js';
import {
  planAssignment,
  restoreAssignment,
  type Assignment,
  type AssignmentOutcome,
} from './assignment.js';
import { adjustCount } from './keyed-counts.js';
import type { FailureTracker } from './failure-tracker.js';
import type { Machine } from './machine.js';
import type { RecordedTask } from './machine-record.js';

/** What assignments tell of. */
export interface AssignmentEvents {
  /** Room or tasks changed: placement should look again. */
  placementInputChanged(): void;
  /** A task ran to its end: what it took against what was expected. */
  taskCompleted(assignment: Assignment, tookMs: number): void;
  /** The machine's record has to be written. */
  recordDue(machine: Machine): void;
  /** The machine has to be told of a stop. */
  commandDue(machine: Machine): void;
}

/** Every task that may be on a machine, and what all of them take. */
export class Assignments {
  /** Tasks that are not surely gone, by class. */
  readonly countByClass = new Map<string, number>();
  /** All tasks that are not surely gone. */
  count = 0;

  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly table: Pick<JobTable, 'jobs' | 'markDone' | 'putBack' | 'countExit'>,
    private readonly teams: Pick<TeamUsage, 'add'>,
    private readonly failures: Pick<FailureTracker, 'recordFailure' | 'recordSuccess'>,
    private readonly events: AssignmentEvents,
  ) {}

  /** Gives the task to the machine; it starts once that is on record. */
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

  /** Takes over a task that an earlier leader has left on the machine. */
  restore(machine: Machine, recorded: RecordedTask, assignedAt: number): void {
    const job = this.table.jobs.get(recorded.jobId) ?? null;
    const assignment = restoreAssignment(recorded, job, machine, assignedAt);
    this.register(assignment);
    if (job === null) this.stop(assignment, 0, 'job ended');
    else attachLatestAttempt(job, assignment);
  }

  /** Ends the assignment at once if it was never sent, and else has the worker told to stop it. */
  stop(assignment: Assignment, graceS: number, reason: string): void {
    const { phase, machine, jobId, task } = assignment;
    if (phase === 'ended') return;
    if (phase === 'planned' || phase === 'recorded') {
      // Not sent by anyone: it is nowhere.
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
    this.eventLoop.log.debug({ job: jobId, task, machine: machine.id, graceS, reason }, 'stop');
  }

  /** Stops a job as a whole; a gang's parts have to be told within `gang_peer_s` of each other. */
  stopJob(job: Job, graceS: number, reason: string): void {
    if (job.spec.kind === 'gang' && job.currentAssignments.size > 0) job.gangRestarting = true;
    for (const assignment of [...job.currentAssignments.values()])
      this.stop(assignment, graceS, reason);
    this.regroup(job);
  }

  /** The job has ended somehow: older attempts, of which only records tell, are stopped as well. */
  stopAll(job: Job, reason: string): void {
    this.stopJob(job, 0, reason);
    for (const assignment of [...job.allAssignments]) this.stop(assignment, 0, reason);
  }

  /** The job has ended. Completed gangs end by themselves, all at the same time. */
  jobClosed(job: Job): void {
    for (const assignment of [...job.allAssignments]) {
      if (assignment.phase === 'ended') this.forget(assignment);
      else if (job.terminalState === 'cancelled') this.stop(assignment, 0, 'cancelled');
    }
  }

  /** Completion is on record: the task may be cleared, and its assignment forgotten. */
  completionRecorded(job: Job, task: number): void {
    const assignment = job.currentAssignments.get(task);
    if (assignment?.phase === 'ended') this.forget(assignment);
  }

  /** All that was assigned to sessions of the machine before this one is surely gone. */
  endBeforeEpoch(machine: Machine, agentEpoch: number): void {
    for (const assignment of [...machine.assignments.values()])
      if (assignment.agentEpoch < agentEpoch) this.end(assignment, 'lost');
  }

  /** All that was assigned to the machine is surely gone. */
  endAll(machine: Machine): void {
    for (const assignment of [...machine.assignments.values()]) this.end(assignment, 'lost');
  }

  /** The assignment is over: the task is surely not on the machine any more. */
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
    if (job?.terminalState === null) this.replace(assignment, job, outcome);
  }

  /** The task has run to its end; the assignment stays until that is on record. */
  private complete(assignment: Assignment, job: Job): void {
    const { machine, task, runningAt } = assignment;
    if (runningAt !== null) this.events.taskCompleted(assignment, this.eventLoop.now() - runningAt);
    this.failures.recordSuccess(machine);
    if (job.spec.kind === 'gang') this.completeGang(job);
    else this.table.markDone(job, task);
    if (job.doneRecorded[task] === 1) this.forget(assignment);
  }

  /** Tasks of a gang complete together. */
  private completeGang(job: Job): void {
    for (let task = 0; task < job.spec.tasks; task++) this.table.markDone(job, task);
  }

  /** The task has ended and is to run again. */
  private replace(assignment: Assignment, job: Job, outcome: AssignmentOutcome): void {
    const { machine, task } = assignment;
    if (outcome !== 'unsent') this.table.countExit(job, outcome);
    this.eventLoop.log.info(
      { job: job.spec.id, task, machine: machine.id, outcome },
      'task off its machine',
    );
    this.failures.recordFailure(machine, job, outcome);
    if (job.spec.kind === 'gang') this.gangLostMember(job);
    else if (!job.currentAssignments.has(task)) this.table.putBack(job, task);
  }

  /** Also when this was the gang's only part: nothing is left to stop then, but all to regroup. */
  private gangLostMember(job: Job): void {
    if (job.gangRestarting || job.isComplete) {
      this.regroup(job);
      return;
    }
    job.gangRestarting = true;
    this.stopJob(job, 0, 'gang lost a part');
  }

  /** A gang starts anew once nothing of its old attempt is left anywhere. */
  private regroup(job: Job): void {
    if (
      !job.gangRestarting ||
      job.currentAssignments.size > 0 ||
      job.terminalState !== null ||
      job.isComplete
    )
      return;
    job.gangRestarting = false;
    for (let task = job.spec.tasks - 1; task >= 0; task--) this.table.putBack(job, task);
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

  /** The task is gone, whatever is still to be written of it. */
  private release(assignment: Assignment): void {
    const { machine, job, team, request } = assignment;
    machine.deallocate(assignment);
    this.teams.add(team, request, -1);
    this.count--;
    if (job === null) return;
    adjustCount(this.countByClass, job.spec.class, -1);
    job.progressChanged = true;
  }

  /** Takes an assignment that has ended from its machine, its job and the record. */
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
 * Leaders before may have left a task's record on a machine that it had gone from, beside that of
 * where it went. Both count until reports tell; the job knows the later attempt.
 */
function attachLatestAttempt(job: Job, assignment: Assignment): void {
  const other = job.currentAssignments.get(assignment.task);
  if (other === undefined || other.attempt < assignment.attempt)
    job.currentAssignments.set(assignment.task, assignment);
}
