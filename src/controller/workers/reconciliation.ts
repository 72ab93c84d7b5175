/** Reconciles the tasks that a heartbeat lists with those that are assigned to the machine. */
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

/** A heartbeat that is being handled, and the commands of its response. */
export interface HeartbeatInProgress {
  readonly machine: Machine;
  readonly heartbeat: Heartbeat;
  /** Number of this heartbeat among those of all machines in this term. */
  readonly heartbeatNumber: number;
  /**
   * Whether the worker knew this leader's term when it sent the heartbeat. One sent before may be
   * arbitrarily old: a task that it lacks may have been started since by the previous leader.
   */
  readonly sentUnderThisTerm: boolean;
  readonly commands: WorkerCommand[];
}

/** What follows from the tasks that heartbeats show. */
export interface ReconciliationEvents {
  /** Tasks changed: a placement pass is needed. */
  placementInputChanged(): void;
  /** The machine was found to have an image that was not known to be there. */
  imagesChanged(machine: Machine): void;
}

/** Brings assignments in line with the tasks that heartbeats list, and with those that they lack. */
export class Reconciliation {
  constructor(
    private readonly eventLoop: Pick<EventLoop, 'now' | 'log'>,
    private readonly table: Pick<JobTable, 'jobs' | 'markDone'>,
    private readonly assignments: Pick<Assignments, 'end'>,
    private readonly fencingTokens: Pick<FencingTokenSync, 'voidDirectStart' | 'recordLostStart'>,
    private readonly events: ReconciliationEvents,
  ) {}

  /** Handles a task that the heartbeat lists. */
  reconcileReportedTask(inProgress: HeartbeatInProgress, task: TaskStatus): void {
    const { machine } = inProgress;
    const assignment = machine.assignments.get(task.name);
    if (assignment?.attempt === task.attempt && assignment.agentEpoch === machine.agentEpoch) {
      if (!this.reconcileAssignment(inProgress, assignment, task)) return;
    } else if (task.state !== 'exited') {
      // No record assigns it to this machine, so it must not run here.
      this.eventLoop.log.warn({ task: task.name, machine: machine.id }, 'orphaned task');
      inProgress.commands.push({ op: 'stop', name: task.name, attempt: task.attempt, graceS: 0 });
      return;
    }
    if (task.state === 'exited') this.clearExited(inProgress, task);
  }

  /** Handles an assigned task that a heartbeat sent under this term lacks (invariants 5 and 6). */
  reconcileMissingTask(
    { machine, heartbeat, heartbeatNumber }: HeartbeatInProgress,
    assignment: Assignment,
  ): void {
    const { phase, name, attempt, startSentSequence } = assignment;
    if (phase !== 'seen' && phase !== 'sent') return;
    // A direct start may yet be carried out; no longer once the worker shows the raised token.
    if (this.fencingTokens.voidDirectStart(machine, name, attempt)) return;
    // The worker has one heartbeat in flight at a time, so a later one without the task means that
    // the response with its start was dropped, or that the task is gone.
    if (startSentSequence !== null && heartbeat.sequence <= startSentSequence) return;
    // A start of this term that never arrived may be sent again. One of an earlier leader may have
    // arrived, and its task have ended and been cleared: that attempt is over.
    if (phase === 'seen' || startSentSequence === null || assignment.stop !== null) {
      this.assignments.end(assignment, 'lost');
      return;
    }
    assignment.phase = 'recorded';
    // The machine receives no responses. The task is neither there nor on its way, so it may be placed
    // elsewhere.
    if (this.fencingTokens.recordLostStart(machine, heartbeatNumber))
      this.assignments.end(assignment, 'unsent');
  }

  /** Returns true if the task's exit, if it has exited, is to be cleared. */
  private reconcileAssignment(
    inProgress: HeartbeatInProgress,
    assignment: Assignment,
    task: TaskStatus,
  ): boolean {
    assignment.lastHeartbeatNumber = inProgress.heartbeatNumber;
    // A heartbeat from before this term may be arbitrarily old. That a task is done stays true; but one
    // that ended otherwise may have been cleared and started again under the same attempt.
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
   * A gang member gave up waiting while the others still fetch their image. It is started again under
   * the same attempt; stopping the whole gang would throw those fetches away.
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

  /** Has the worker clear a task that has exited, unless the completion still has to be recorded. */
  private clearExited({ machine, commands }: HeartbeatInProgress, task: TaskStatus): void {
    if (task.cause === 'done' && this.isCompletionUnrecorded(task)) return;
    this.fencingTokens.voidDirectStart(machine, task.name, task.attempt);
    commands.push({ op: 'forget', name: task.name, attempt: task.attempt });
  }

  /** Whether the worker's state is the only trace of the completion until that is recorded. */
  private isCompletionUnrecorded({ name }: TaskStatus): boolean {
    const { job: id, task } = parseTaskName(name);
    const job = this.table.jobs.get(id);
    if (job === undefined || job.isService || task >= job.spec.tasks) return false;
    if (job.done[task] !== 1 && job.spec.kind !== 'gang') this.table.markDone(job, task);
    return job.doneRecorded[task] !== 1;
  }

  /** Takes over the task state that the heartbeat shows. */
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
    // Only runs that this leader started are timed: of others it does not know when they began.
    const startedInThisTerm = assignment.startSentSequence !== null;
    const now = this.eventLoop.now();
    if (state === 'running' && startedInThisTerm) assignment.runningAt ??= now;
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

  /** A task that no longer fetches has its image, so the machine has it cached. */
  private recordImage({ job, machine }: Assignment): void {
    if (job === null) return;
    const { image, imageGb } = job.spec;
    if (machine.recordImageUse(image, imageGb)) this.events.imagesChanged(machine);
  }
}

/** Whether a gang member that gave up waiting is still needed, since other members fetch their image. */
function isGangMemberNeeded(assignment: Assignment): boolean {
  const { job, machine } = assignment;
  if (job?.terminalState !== null || job.gangRestarting) return false;
  if (assignment.stop !== null || assignment.phase === 'ended') return false;
  if (machine.interruptionAt !== null || job.currentAssignments.size < job.spec.tasks) return false;
  for (const other of job.currentAssignments.values())
    if (other !== assignment && (other.state === 'fetching' || other.state === null)) return true;
  return false;
}
