/** Reconciles the tasks that a heartbeat lists with the assignments of the machine. */
import type { JobTable } from '../jobs/job-table.js';
import type { Assignment, Machine } from '../model/entities.js';
import type { EventLoop } from '../runtime/event-loop.js';
import {
  type Heartbeat,
  parseTaskName,
  type TaskStatus,
  type WorkerCommand,
} from '../wire/workers.js';
import type { Assignments } from './assignments.js';
import type { FencingTokenSync } from './fencing-token-sync.js';

/** A heartbeat that is being handled, and the commands that its response will carry. */
export interface HeartbeatInProgress {
  readonly machine: Machine;
  readonly heartbeat: Heartbeat;
  /**
   * Number of this heartbeat. All machines' heartbeats in this term are numbered in one sequence.
   */
  readonly heartbeatNumber: number;
  /**
   * Whether the worker had seen this leader's term when it sent the heartbeat. If not, the
   * heartbeat may be arbitrarily old, and the previous leader may since have started a task that
   * the heartbeat does not list.
   */
  readonly sentUnderThisTerm: boolean;
  /** Commands for the response; reconciliation appends to this list. */
  readonly commands: WorkerCommand[];
}

/** Events that `Reconciliation` raises. */
export interface ReconciliationEvents {
  /** The state of a task changed: a placement pass is needed. */
  placementInputChanged(): void;
  /** The machine has cached an image that was not yet in `machine.images`. */
  imagesChanged(machine: Machine): void;
}

/**
 * Updates assignments according to a heartbeat: those of the tasks that it lists, and those of the
 * assigned tasks that it lacks.
 */
export class Reconciliation {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly jobTable: Pick<JobTable, 'jobs' | 'markDone'>,
    private readonly assignments: Pick<Assignments, 'end'>,
    private readonly fencingTokens: Pick<FencingTokenSync, 'voidDirectStart' | 'recordLostStart'>,
    private readonly events: ReconciliationEvents,
  ) {}

  /**
   * Updates the assignment of a task that the heartbeat lists, or stops the task if it is not
   * assigned to the machine. Adds the command to clear the task if it has exited.
   */
  reconcileReportedTask(inProgress: HeartbeatInProgress, task: TaskStatus): void {
    const { machine } = inProgress;
    const assignment = machine.assignments.get(task.name);
    if (assignment?.attempt === task.attempt && assignment.agentEpoch === machine.agentEpoch) {
      if (!this.reconcileAssignment(inProgress, assignment, task)) return;
    } else if (task.state !== 'exited') {
      // The attempt is not assigned to this machine in this agent epoch, so it must not run here.
      this.eventLoop.log.warn(
        { task: task.name, machine: machine.id },
        'stopping a task that is not assigned to this machine',
      );
      inProgress.commands.push({ op: 'stop', name: task.name, attempt: task.attempt, graceS: 0 });
      return;
    }
    if (task.state === 'exited') this.clearExited(inProgress, task);
  }

  /**
   * Handles an assigned task that is missing from a heartbeat sent under this term. Once the start
   * is settled, such a heartbeat proves that the task is gone (invariant 5). A direct start is
   * settled only when the worker has shown a higher fencing token, because it then refuses late
   * copies of the start (invariant 6).
   */
  reconcileMissingTask(
    { machine, heartbeat, heartbeatNumber }: HeartbeatInProgress,
    assignment: Assignment,
  ): void {
    const { phase, name, attempt, startSentSequence } = assignment;
    if (phase !== 'seen' && phase !== 'sent') return;
    // The worker may still carry out a direct start until its heartbeats show the raised token.
    if (this.fencingTokens.voidDirectStart(machine, name, attempt)) return;
    // A worker has one heartbeat in flight at a time, so a heartbeat that was sent after the start
    // and lacks the task means that the response with the start was lost or that the task is gone.
    if (startSentSequence !== null && heartbeat.sequence <= startSentSequence) return;
    // A start that this leader sent and that never arrived may be sent again. A start that an
    // earlier leader sent may have arrived, and the task may have ended and been cleared since, so
    // the attempt is ended.
    if (phase === 'seen' || startSentSequence === null || assignment.stop !== null) {
      this.assignments.end(assignment, 'lost');
      return;
    }
    assignment.phase = 'recorded';
    // If responses do not reach the machine, the task is neither on it nor about to start there, so
    // it may be placed on another machine.
    if (this.fencingTokens.recordLostStart(machine, heartbeatNumber))
      this.assignments.end(assignment, 'unsent');
  }

  /**
   * Updates the assignment. Returns false if the worker must not clear the task even if it exited.
   */
  private reconcileAssignment(
    inProgress: HeartbeatInProgress,
    assignment: Assignment,
    task: TaskStatus,
  ): boolean {
    assignment.lastHeartbeatNumber = inProgress.heartbeatNumber;
    // A heartbeat sent before this term may be arbitrarily old. A completion remains valid, but a
    // task that exited with another cause may have been cleared and started again under the same
    // attempt.
    const isCompletion = task.cause === 'done' && assignment.job?.isService !== true;
    if (!inProgress.sentUnderThisTerm && task.state === 'exited' && !isCompletion) return false;
    if (task.cause === 'alone' && isGangMemberNeeded(assignment)) {
      this.restartGangMember(inProgress, assignment, task);
      return false;
    }
    if (assignment.phase !== 'ended') this.applyTaskState(assignment, task);
    return true;
  }

  /**
   * Restarts a gang member that has stopped waiting for its peers, and keeps its attempt. A new
   * attempt would require stopping the whole gang, which would discard the other members' image
   * fetches in progress.
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

  /** Adds the command to clear an exited task, unless its completion is not recorded yet. */
  private clearExited({ machine, commands }: HeartbeatInProgress, task: TaskStatus): void {
    if (task.cause === 'done' && this.isCompletionUnrecorded(task)) return;
    this.fencingTokens.voidDirectStart(machine, task.name, task.attempt);
    commands.push({ op: 'forget', name: task.name, attempt: task.attempt });
  }

  /**
   * Returns true if the completion of the task is not recorded yet. The worker's state is then the
   * only evidence of the completion. Also marks the task as done if it is not marked yet and
   * belongs to no gang.
   */
  private isCompletionUnrecorded({ name }: TaskStatus): boolean {
    const { job: jobId, task } = parseTaskName(name);
    const job = this.jobTable.jobs.get(jobId);
    if (job === undefined || job.isService || task >= job.spec.tasks) return false;
    if (job.done[task] !== 1 && job.spec.kind !== 'gang') this.jobTable.markDone(job, task);
    return job.doneRecorded[task] !== 1;
  }

  /** Applies the task state in the heartbeat to the assignment. */
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
    // Only tasks that this leader started are timed: it does not know when the others began to run.
    const startedInThisTerm = assignment.startSentSequence !== null;
    const now = this.eventLoop.now();
    if (state === 'running' && startedInThisTerm) assignment.runningAt ??= now;
    assignment.state = state;
    if (job !== null) job.progressChanged = true;
    const { jobId, task, assignedAt } = assignment;
    const afterMs = now - assignedAt;
    this.eventLoop.log.debug(
      { job: jobId, task, machine: machine.id, state, afterMs },
      'task state changed',
    );
    this.events.placementInputChanged();
  }

  /** Records that the machine has cached the task's image; called once the task has fetched it. */
  private recordImage({ job, machine }: Assignment): void {
    if (job === null) return;
    const { image, imageGb } = job.spec;
    if (machine.recordImageUse(image, imageGb)) this.events.imagesChanged(machine);
  }
}

/**
 * Returns true if a gang member that stopped waiting for its peers has to be started again. This is
 * the case if another member still fetches its image or has not been listed by a heartbeat yet, and
 * nothing else prevents the gang from running.
 */
function isGangMemberNeeded(assignment: Assignment): boolean {
  const { job, machine } = assignment;
  if (job?.terminalState !== null || job.gangRestarting) return false;
  if (assignment.stop !== null || assignment.phase === 'ended') return false;
  if (machine.interruptionAt !== null || job.currentAssignments.size < job.spec.tasks) return false;
  for (const other of job.currentAssignments.values())
    if (other !== assignment && (other.state === 'fetching' || other.state === null)) return true;
  return false;
}
