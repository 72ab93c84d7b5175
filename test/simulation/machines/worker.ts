/** One simulated machine and its worker: agent epochs, lease, commands, and faults of the machine. */
import type { MachineType } from '../../../src/controller/wire/cloud.js';
import type { MachineContext } from './machine-context.js';
import type { IncomingRequest, Respond } from '../network.js';
import { HeartbeatLoop, type HeartbeatResponse, type HeartbeatSource } from './heartbeat-loop.js';
import type { FreeCapacity, Placement } from '../rules/placement.js';
import type { Command } from './task.js';
import { TaskRunner, type TaskHost } from './task-runner.js';

/** A response to a heartbeat counts for so long. */
const RESPONSE_VALID_MS = 4000;

/** A direct command as it arrives. */
interface DirectCommand {
  baton?: number;
  tenure?: number;
  orders?: Command[];
}

/** Stand-in for a machine and its worker, after PROTOCOL. */
export class Worker implements HeartbeatSource, TaskHost {
  agentEpoch = 1;
  /** Hangs until then. */
  hungUntil = 0;
  dead = false;
  readonly placement: Placement;
  private heartbeatNumber = 0;
  private fencingToken = 0;
  private leaseStartedAt: number;
  /** When the cloud takes the machine back, where it has said so. */
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

  /** The machine ends with all that is on it. */
  die(): void {
    if (this.dead) return;
    this.dead = true;
    this.tasks.killAll();
    this.context.network.remove(this.address);
  }

  /** The machine ends and is back soon, with its name and nothing else: a new agent epoch. */
  restart(ms: number): void {
    if (this.dead) return;
    this.startEpoch();
    this.hang(ms);
  }

  /** The cloud says that it takes the machine back after so long. */
  noticeInterruption(ms: number): void {
    this.interruptionAt = this.context.clock.now + ms;
    this.stateChanged();
  }

  /** The machine does nothing for a time; what reaches it meanwhile is taken afterwards. */
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

  /** Sends no heartbeat for a time, while direct commands reach it and are answered. */
  blockHeartbeats(ms: number): void {
    this.heartbeats.block(ms);
  }

  /** What no task takes. */
  get freeCapacity(): FreeCapacity {
    return {
      ...this.tasks.freeCapacity(),
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
      interruptionNotice: this.interruptionAt !== null,
    };
  }

  /** Runs the function now, or once the machine no longer hangs; never after its end. */
  whenAwake(run: () => void): void {
    if (this.dead) return;
    if (this.context.clock.now < this.hungUntil) this.deferredCalls.push(run);
    else run();
  }

  /** The next heartbeat will have news. */
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
    this.leaseStartedAt = this.context.clock.now;
    this.stateChanged();
  }

  /** The next heartbeat; each has a number of its own. */
  heartbeat(): unknown {
    this.heartbeatNumber++;
    const { interruptionAt: interruptionAt } = this;
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

  /** Takes the response to a heartbeat: the fencing token, the lease, commands. */
  acceptResponse(response: HeartbeatResponse, agentEpoch: number, sentAt: number): void {
    if (agentEpoch !== this.agentEpoch) return;
    if (response.baton === undefined || response.baton < this.fencingToken) return;
    // A later response is dropped by the time-out of the call; a hanging machine may find one that
    // it had received before.
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
    for (const command of directCommand.orders ?? []) this.tasks.execute(command);
    respond({ status: 200, body: this.heartbeat() });
  }
}
