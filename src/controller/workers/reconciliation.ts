/** What a worker reports of its tasks, held against what is assigned to its machine. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { JobTable } from '../jobs/job-table.js';
import {
  parseTaskName,
  type WorkerCommand,
  type Heartbeat,
  type TaskStatus,
} from '../wire/workers.js';
import type { Assignment } from './assignment.js';
import type { Assignments } from './assignments.js';
import type { Machine } from './machine.js';
import type { FencingTokenSync } from './fencing-token-sync.js';

/** A report that is being handled, and the orders of its answer. */
export interface HeartbeatInProgress {
  readonly machine: Machine;
  readonly heartbeat: Heartbeat;
  /** Counts the reports of all machines. */
  readonly heartbeatNumber: number;
  /**
   * Whether the worker knew our term when it sent the report. One sent before may be as old as any
   * report: what it lacks proves nothing, for the leader before may have started it since.
   */
  readonly sentUnderThisTerm: boolean;
  readonly commands: WorkerCommand[];
}

/** What reconciliation tells of. */
export interface ReconciliationEvents {
  /** Tasks changed: placement should look again. */
  placementInputChanged(): void;
  /** An image was seen on the machine that was not known to be there. */
  imagesChanged(machine: Machine): void;
}

/** Follows the tasks that reports show, and those that they lack. */
export class Reconciliation {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly table: Pick<JobTable, 'jobs' | 'markDone'>,
    private readonly assignments: Pick<Assignments, 'end'>,
    private readonly fencingTokens: Pick<FencingTokenSync, 'voidDirectStart' | 'recordLostStart'>,
    private readonly events: ReconciliationEvents,
  ) {}

  /** The report lists a task. */
  reconcileReportedTask(handled: HeartbeatInProgress, task: TaskStatus): void {
    const { machine } = handled;
    const assignment = machine.assignments.get(task.name);
    if (assignment?.attempt === task.attempt && assignment.agentEpoch === machine.agentEpoch) {
      if (!this.reconcileAssignment(handled, assignment, task)) return;
    } else if (task.state !== 'exited') {
      // Nothing on record and yet there: it should not be; it must not stay either.
      this.eventLoop.log.warn({ task: task.name, machine: machine.id }, 'unexpected task');
      handled.commands.push({ op: 'stop', name: task.name, attempt: task.attempt, graceS: 0 });
      return;
    }
    if (task.state === 'exited') this.clearExited(handled, task);
  }

  /** A report that was sent under our term lacks a task that should be there. */
  reconcileMissingTask(
    { machine, heartbeat, heartbeatNumber }: HeartbeatInProgress,
    assignment: Assignment,
  ): void {
    const { phase, name, attempt, startSentSequence } = assignment;
    if (phase !== 'seen' && phase !== 'sent') return;
    // A direct start may yet come. Once the worker shows the raised token, it can't any more.
    if (this.fencingTokens.voidDirectStart(machine, name, attempt)) return;
    // The worker has one report in flight at a time, so a later report without the task means that
    // the answer with its start was dropped, or that the task is gone.
    if (startSentSequence !== null && heartbeat.sequence <= startSentSequence) return;
    // A start of this term that never arrived may go out again. One of the leader before may have
    // arrived, ended and been cleared: its attempt is over.
    if (phase === 'seen' || startSentSequence === null || assignment.stop !== null) {
      this.assignments.end(assignment, 'lost');
      return;
    }
    assignment.phase = 'recorded';
    // Answers don't get there. It is surely not there and not on its way: others may have it.
    if (this.fencingTokens.recordLostStart(machine, heartbeatNumber))
      this.assignments.end(assignment, 'unsent');
  }

  /** True if the task's exit, should it have one, is to be acted on. */
  private reconcileAssignment(
    handled: HeartbeatInProgress,
    assignment: Assignment,
    task: TaskStatus,
  ): boolean {
    assignment.lastHeartbeatNumber = handled.heartbeatNumber;
    // A report from before our term may be as old as any. That a task is done stays true; but one
    // that had ended otherwise may have been cleared and started again under the same attempt.
    const lasting = task.cause === 'done' && assignment.job?.isService !== true;
    if (!handled.sentUnderThisTerm && task.state === 'exited' && !lasting) return false;
    if (task.cause === 'alone' && isGangMemberAwaited(assignment)) {
      this.restartGangMember(handled, assignment, task);
      return false;
    }
    if (assignment.phase !== 'ended') this.applyTaskState(assignment, task);
    return true;
  }

  /**
   * A part of the gang came too early: the others still fetch their image. It starts again under the
   * same attempt; tearing the gang down would throw those fetches away.
   */
  private restartGangMember(
    { machine, commands }: HeartbeatInProgress,
    assignment: Assignment,
    { name, attempt }: TaskStatus,
  ): void {
    this.fencingTokens.voidDirectStart(machine, name, attempt);
    commands.push({ op: 'forget', name, attempt }, { op: 'start', name, attempt });
    assignment.phase = 'sent';
    assignment.state = null;
    assignment.startSentSequence = machine.lastHeartbeatSequence;
  }

  /** Has the worker forget a task that has exited, unless its report is still needed. */
  private clearExited({ machine, commands }: HeartbeatInProgress, task: TaskStatus): void {
    if (task.cause === 'done' && this.isCompletionUnrecorded(task)) return;
    this.fencingTokens.voidDirectStart(machine, task.name, task.attempt);
    commands.push({ op: 'forget', name: task.name, attempt: task.attempt });
  }

  /** A completion of which this report is the only trace until it is on record. */
  private isCompletionUnrecorded({ name }: TaskStatus): boolean {
    const { job: id, task } = parseTaskName(name);
    const job = this.table.jobs.get(id);
    if (job === undefined || job.isService || task >= job.spec.tasks) return false;
    if (job.done[task] !== 1 && job.spec.kind !== 'gang') this.table.markDone(job, task);
    return job.doneRecorded[task] !== 1;
  }

  /** Takes over the state that the report shows. */
  private applyTaskState(assignment: Assignment, { state, cause }: TaskStatus): void {
    const { job, machine } = assignment;
    if (assignment.phase !== 'seen') machine.lostStartHeartbeats = 0;
    assignment.phase = 'seen';
    if (state === 'exited') {
      this.assignments.end(assignment, cause ?? 'other');
      return;
    }
    if (state === assignment.state) return;
    if (state === 'running' || state === 'waiting') this.recordImage(assignment);
    // The run is timed only from a start that was seen, not from one of the leader before.
    const startSeen = assignment.startSentSequence !== null;
    const now = this.eventLoop.now();
    if (state === 'running' && startSeen) assignment.runningAt ??= now;
    assignment.state = state;
    if (job !== null) job.progressChanged = true;
    const { jobId, task, assignedAt } = assignment;
    const afterMs = now - assignedAt;
    this.eventLoop.log.debug(
      { job: jobId, task, machine: machine.id, state, afterMs },
      'task state',
    );
    this.events.placementInputChanged();
  }

  /** The task has its image, so the machine has. */
  private recordImage({ job, machine }: Assignment): void {
    if (job === null) return;
    const { image, imageGb } = job.spec;
    if (machine.recordImageUse(image, imageGb)) this.events.imagesChanged(machine);
  }
}

/** Whether a gang's part that gave up waiting is still wanted. */
function isGangMemberAwaited(assignment: Assignment): boolean {
  const { job, machine } = assignment;
  if (job?.terminalState !== null || job.gangRestarting) return false;
  if (assignment.stop !== null || assignment.phase === 'ended') return false;
  if (machine.interruptionAt !== null || job.currentAssignments.size < job.spec.tasks) return false;
  for (const other of job.currentAssignments.values())
    if (other !== assignment && (other.state === 'fetching' || other.state === null)) return true;
  return false;
}
