/** One simulated machine and its worker: agent epochs, lease, commands and faults. */
import type { MachineType } from '../../../src/controller/wire/cloud.js';
import type { MachineContext } from './machine-context.js';
import type { IncomingRequest, Respond } from '../network.js';
import { HeartbeatLoop, type HeartbeatResponse, type HeartbeatSource } from './heartbeat-loop.js';
import type { FreeCapacity, Placement } from '../rules/placement.js';
import type { Command } from './task.js';
import { TaskRunner, type TaskHost } from './task-runner.js';

/**
 * Maximum time from sending a heartbeat to handling its response, in milliseconds; a worker ignores
 * later responses.
 */
const RESPONSE_VALID_MS = 4000;

/**
 * A direct command as on the wire: fencing token (`baton`), agent epoch (`tenure`) and commands
 * (`orders`).
 */
interface DirectCommand {
  baton?: number;
  tenure?: number;
  orders?: Command[];
}

/** What a worker keeps when its machine restarts; it always loses its tasks. */
export interface RestartMemory {
  /** Whether it begins the next agent epoch; otherwise it begins the first one again. */
  agentEpoch: boolean;
  /** Whether it knows the highest fencing token that it has seen. */
  fencingToken: boolean;
}

/** By PROTOCOL a worker's epochs increase, and it keeps the highest token it has seen. */
const FULL_MEMORY: RestartMemory = { agentEpoch: true, fencingToken: true };

/** Simulated machine and worker that follow PROTOCOL. */
export class Worker implements HeartbeatSource, TaskHost {
  agentEpoch = 1;
  epochCount = 1;
  /** Virtual time until which the machine hangs. */
  hungUntil = 0;
  dead = false;
  readonly placement: Placement;
  private heartbeatNumber = 0;
  private fencingToken = 0;
  /**
   * Virtual time from which the duration of the lease counts. It is the time at which the last
   * heartbeat that renewed the lease was sent, or the start of the agent epoch, whichever is later.
   */
  private leaseStartedAt: number;
  /** Virtual time of the interruption that the cloud has announced; null without a notice. */
  private interruptionAt: number | null = null;
  private deferredCalls: (() => void)[] = [];
  private readonly tasks: TaskRunner;
  private readonly heartbeats: HeartbeatLoop;

  constructor(
    readonly id: string,
    readonly address: string,
    readonly type: MachineType,
    readonly zone: string,
    readonly spot: boolean,
    private readonly context: MachineContext,
  ) {
    this.placement = { machine: id, type: type.name, zone, spot };
    this.leaseStartedAt = context.clock.now;
    context.network.listen(address, id, (_, request, respond) =>
      this.whenAwake(() => this.serve(request, respond)),
    );
    this.tasks = new TaskRunner(this, context);
    this.heartbeats = new HeartbeatLoop(this, context);
    this.heartbeats.schedule();
    this.checkLease();
  }

  /** Ends the machine and all its tasks. */
  die(): void {
    if (this.dead) return;
    this.dead = true;
    this.tasks.killAll();
    this.context.network.remove(this.address);
  }

  /**
   * Restarts the machine: it loses its tasks, begins an agent epoch and does not respond for
   * `ms`. It keeps its id.
   */
  restart(ms: number, memory = FULL_MEMORY): void {
    if (this.dead) return;
    this.startEpoch();
    if (!memory.fencingToken) this.fencingToken = 0;
    if (!memory.agentEpoch) {
      this.agentEpoch = 1;
      this.heartbeatNumber = 0;
    }
    this.hang(ms);
  }

  /** Notifies the worker that the cloud will interrupt the machine in `ms`. */
  noticeInterruption(ms: number): void {
    this.interruptionAt = this.context.clock.now + ms;
    this.stateChanged();
  }

  /**
   * Makes the machine hang for `ms`. Requests that arrive and timers that expire in the meantime
   * are handled afterwards.
   */
  hang(ms: number): void {
    const { clock } = this.context;
    this.hungUntil = Math.max(this.hungUntil, clock.now + ms);
    clock.after(ms, () => {
      if (clock.now < this.hungUntil) return;
      const deferredCalls = this.deferredCalls;
      this.deferredCalls = [];
      for (const run of deferredCalls) run();
      this.heartbeats.schedule();
    });
  }

  /** Makes all heartbeats fail for `ms`, while direct commands still arrive and are answered. */
  blockHeartbeats(ms: number): void {
    this.heartbeats.block(ms);
  }

  /** Whether a task is on the machine. */
  get isBusy(): boolean {
    return !this.dead && this.tasks.isBusy;
  }

  /** The capacity that no task uses, and the properties of the machine. */
  get freeCapacity(): FreeCapacity {
    return {
      ...this.tasks.freeCapacity(),
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
      interruptionNotice: this.interruptionAt !== null,
    };
  }

  /**
   * Runs the function now or, if the machine hangs, when the machine resumes. Has no effect if the
   * machine has already ended.
   */
  whenAwake(run: () => void): void {
    if (this.dead) return;
    if (this.context.clock.now < this.hungUntil) this.deferredCalls.push(run);
    else run();
  }

  /** Schedules a heartbeat that reports a change of the machine's state. */
  stateChanged(): void {
    this.heartbeats.stateChanged();
  }

  private checkLease(): void {
    if (this.dead) return;
    const { clock, settings } = this.context;
    if (this.leaseStartedAt + settings.leaseMs <= clock.now) {
      this.context.expiredLeases++;
      this.startEpoch();
    }
    clock.after(Math.max(1, this.leaseStartedAt + settings.leaseMs - clock.now), () =>
      this.checkLease(),
    );
  }

  private startEpoch(): void {
    this.tasks.killAll();
    this.tasks.clear();
    this.agentEpoch++;
    this.epochCount++;
    this.leaseStartedAt = this.context.clock.now;
    this.stateChanged();
  }

  /** Creates the next heartbeat, with a new sequence number. */
  heartbeat(): unknown {
    this.heartbeatNumber++;
    const { interruptionAt } = this;
    return {
      kiln: this.id,
      address: this.address,
      model: this.type.name,
      hall: this.zone,
      loaners: this.spot,
      tenure: this.agentEpoch,
      tally: this.heartbeatNumber,
      baton: this.fencingToken,
      recall_s:
        interruptionAt === null
          ? null
          : Math.max(0, (interruptionAt - this.context.clock.now) / 1000),
      duties: this.tasks.heartbeatTasks(),
    };
  }

  /**
   * Handles the response to a heartbeat: adopts the fencing token, renews the lease and executes
   * the commands.
   */
  acceptResponse(response: HeartbeatResponse, epochCount: number, sentAt: number): void {
    if (epochCount !== this.epochCount) return;
    if (response.baton === undefined || response.baton < this.fencingToken) return;
    // The call's time-out drops responses that arrive too late. A response that arrived in time
    // while the machine hung may be too old by the time at which the machine resumes.
    if (this.context.clock.now - sentAt > RESPONSE_VALID_MS) return;
    if (response.baton > this.fencingToken) this.stateChanged();
    this.fencingToken = response.baton;
    this.leaseStartedAt = Math.max(this.leaseStartedAt, sentAt);
    for (const command of response.orders) this.tasks.execute(command);
  }

  private serve(request: IncomingRequest, respond: Respond): void {
    const directCommand = request.body() as DirectCommand | undefined;
    if (request.path === '/inspect') return respond({ status: 200, body: this.heartbeat() });
    if (directCommand?.baton === undefined || directCommand.tenure === undefined)
      return respond({ status: 400, body: null });
    const { observedEvents } = this.context;
    if (directCommand.baton < this.fencingToken)
      observedEvents.record('direct command of an older leader');
    if (directCommand.baton < this.fencingToken || directCommand.tenure !== this.agentEpoch)
      return respond({ status: 409, body: this.heartbeat() });
    if (this.heartbeats.blocked)
      observedEvents.record('direct command to a machine with blocked heartbeats');
    this.fencingToken = directCommand.baton;
    this.executeDirectly(directCommand.orders ?? [], request.duplicate);
    respond({ status: 200, body: this.heartbeat() });
  }

  private executeDirectly(commands: readonly Command[], duplicate: boolean): void {
    const { observedEvents } = this.context;
    const startsBefore = this.tasks.startCount;
    for (const command of commands) this.tasks.execute(command);
    if (!duplicate) return;
    observedEvents.record('repeated direct command');
    if (this.tasks.startCount > startsBefore)
      observedEvents.record('task started by a repeated direct command');
  }
}
