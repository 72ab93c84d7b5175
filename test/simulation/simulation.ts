/** A deployment put together: controllers, state service, cloud, machines, users, faults. */
import type { Logger } from '../../src/controller/runtime/runtime.js';
import type { Platform, StateLimits } from '../../src/controller/settings/platform.js';
import type { JobSpec } from '../../src/controller/wire/jobs.js';
import { oneOf } from '../platform.js';
import { Cloud } from './cloud.js';
import { ConnectionFaults } from './connection-faults.js';
import { Gangs } from './gangs.js';
import { Happenings, observe } from './happenings.js';
import type { MachineContext } from './machine-context.js';
import { MachineFaults } from './machine-faults.js';
import { Network } from './network.js';
import { ControllerProcesses } from './processes.js';
import { injectRandomFaults } from './random-faults.js';
import { RuleChecker } from './rule-checker.js';
import type { Deployment } from './deployment.js';
import { Sim } from './sim.js';
import { StateService } from './state-service.js';
import { UserPopulation } from './user-population.js';
import type { Ask } from './users.js';
import { present, type Version } from './version.js';
import type { Worker } from './worker.js';

const noLog: Logger = {
  info: () => undefined,
  debug: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** A transaction that gets no answer is carried out within so many leases of a worker. */
const LATEST_WRITE_LEASES = 0.6;
/** Copies of old messages come up to so many leases late. */
const LATEST_COPY_LEASES = 3;
/** Machines that are there at the start are up after this time. */
const FIRST_BOOT_MS = 100;
/** True run time of jobs that nobody submitted. */
const UNKNOWN_RUN_MS = 1000;
/** How often the rules that depend on time are checked. */
const TICK_MS = 1000;

/** How often faults occur. */
export interface FaultRates {
  /** Mean time between faults in milliseconds; Infinity for a quiet day. */
  everyMs: number;
  /** Chance that a request arrives a second time. */
  doubled: number;
  /** Chance that a task fails. */
  errors: number;
  /** Chance that a rented machine never comes up. */
  bootFails: number;
}

/** The controllers of a deployment with all that is around them, in virtual time. */
export class Simulation {
  readonly sim: Sim;
  readonly net: Network;
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly checker: RuleChecker;
  private readonly context: MachineContext;
  readonly happenings = new Happenings();
  readonly processes: ControllerProcesses;
  readonly users: UserPopulation;
  readonly connectionFaults: ConnectionFaults;
  readonly machineFaults: MachineFaults;
  /** Limits that the state service will have, by the controllers' settings. */
  readonly limitsToCome: StateLimits;
  /** No new faults from then on. */
  calm = false;

  constructor(
    private readonly deployment: Deployment,
    seed: number,
    rates: FaultRates,
    log: Logger = noLog,
    /** What a host's process runs; asked whenever one starts. */
    versionOf: (host: string) => Version = () => present(),
  ) {
    const { hosts } = deployment;
    const platform = oneOf(hosts, hosts[0] ?? '', deployment.platform);
    const { stateStoreAddr, stateLimits, workers } = platform;
    this.limitsToCome = platform.upcomingStateLimits;
    this.sim = new Sim(seed);
    this.net = new Network(this.sim);
    this.net.doubled = rates.doubled;
    this.net.latestMs = workers.leaseS * 1000 * LATEST_COPY_LEASES;
    this.checker = new RuleChecker(
      platform.teams,
      workers.cancelDeadlineS * 1000,
      () => this.sim.now,
    );
    this.state = new StateService(this.sim, this.net, stateStoreAddr, stateLimits, deployment.page);
    this.state.latestWriteMs = workers.leaseS * 1000 * LATEST_WRITE_LEASES;
    this.context = this.machineContext(platform, rates);
    this.users = this.userPopulation();
    this.cloud = this.startCloud(platform, rates);
    this.connectionFaults = new ConnectionFaults(this.sim, this.net, hosts, () => this.workers);
    this.machineFaults = new MachineFaults(this.sim, this.cloud, this.connectionFaults);
    this.processes = new ControllerProcesses(
      this.sim,
      this.net,
      deployment,
      (host) => this.apiOf(host),
      log,
      versionOf,
    );
    observe(this);
    for (const host of hosts) this.processes.start(host);
    if (Number.isFinite(rates.everyMs)) injectRandomFaults(this, rates.everyMs);
  }

  private machineContext({ workers }: Platform, rates: FaultRates): MachineContext {
    return {
      sim: this.sim,
      net: this.net,
      checker: this.checker,
      settings: {
        reportMs: workers.heartbeatIntervalS * 1000,
        leaseMs: workers.leaseS * 1000,
        gangWaitMs: workers.gangFetchWaitS * 1000,
        gangPeerMs: workers.gangPeerExitS * 1000,
      },
      controllers: this.deployment.hosts,
      apiOf: (host) => this.apiOf(host),
      job: (id) => this.users.specOf(id),
      runMs: (id) => this.users.runMsOf(id) ?? UNKNOWN_RUN_MS,
      gangs: new Gangs(this.sim),
      errors: rates.errors,
      happenings: this.happenings,
      leasesLost: 0,
      replicasEnded: 0,
    };
  }

  private userPopulation(): UserPopulation {
    const { sim, net, state, checker, happenings, deployment } = this;
    const apiOf = (host: string): string => this.apiOf(host);
    return new UserPopulation({ sim, net, state, checker, happenings, deployment, apiOf });
  }

  private startCloud({ cloudAddr: address, cloudLimits }: Platform, rates: FaultRates): Cloud {
    const { types, capacity, machines } = this.deployment;
    const lagMs = cloudLimits.listLagS * 1000;
    const cloud = new Cloud(this.context, address, types, capacity, lagMs, rates.bootFails);
    for (const { type: name, zone, spot, count } of machines) {
      const type = types.find((candidate) => candidate.name === name);
      if (type === undefined) throw new Error(name);
      for (let i = 0; i < count; i++) cloud.add(type, zone, spot, FIRST_BOOT_MS);
    }
    return cloud;
  }

  /** Address of the host's API. */
  apiOf(host: string): string {
    return `10.0.0.${this.hosts.indexOf(host) + 1}:8080`;
  }

  /** Hosts of the controllers. */
  get hosts(): readonly string[] {
    return this.deployment.hosts;
  }

  /** Workers of the machines that are up. */
  get workers(): Worker[] {
    return this.cloud.workers;
  }

  /** Machines with tasks of the job. */
  workersOf(id: string): Worker[] {
    const names = this.checker.machinesOf(id);
    return this.workers.filter((worker) => names.includes(worker.id));
  }

  /** The host that leads, as it believes itself. */
  get leader(): string | null {
    return this.processes.leader;
  }

  /** The hosts that lead, each as it believes itself. */
  get leaders(): readonly string[] {
    return this.processes.leaders();
  }

  /** The zone of a controller where the deployment spreads them over zones. */
  siteOf(host: string): string | undefined {
    const { hosts, platform } = this.deployment;
    return platform.sites[hosts.indexOf(host)];
  }

  /** The versions of the leaders, in the order of their elections. */
  get elected(): readonly Version[] {
    return this.processes.elected;
  }

  /** How often the controllers have logged each text. */
  get said(): ReadonlyMap<string, number> {
    return this.processes.said;
  }

  /** Errors that controllers have logged. */
  get errors(): readonly string[] {
    return this.processes.errors;
  }

  /** Called with each line that a controller logs as information. */
  get onLog(): ControllerProcesses['onLog'] {
    return this.processes.onLog;
  }

  /** Replicas of services that ended by themselves. */
  get replicasEnded(): number {
    return this.context.replicasEnded;
  }

  /** How often a worker's lease has run out. */
  get leasesLost(): number {
    return this.context.leasesLost;
  }

  /** The host's process ends, and starts again after so long. */
  kill(host: string, restartMs: number): void {
    this.processes.kill(host, restartMs);
  }

  /** A random job of a kind that the deployment can run. */
  randomJob(): JobSpec {
    return this.users.randomJob();
  }

  /** A job of a kind that the deployment can run, with what the caller wants of it. */
  job(part: Partial<JobSpec>): JobSpec {
    const { taskScale = 1 } = this.deployment;
    const job = { ...this.randomJob(), ...part };
    if (part.cpus !== undefined) job.cpus = part.cpus * taskScale;
    if (part.memoryGb !== undefined) job.memoryGb = part.memoryGb * taskScale;
    return job;
  }

  /** A user who submits, polls and perhaps cancels one job. */
  user(spec: JobSpec, cancelAfterMs: number | null): void {
    this.users.submit(spec, cancelAfterMs);
  }

  /** The job's user calls it off, at `host` where one is named. */
  cancel(id: string, host?: string): void {
    this.users.cancel(id, host);
  }

  /** Sends a request to a controller, a certain one or any. */
  ask(...request: Parameters<Ask>): void {
    this.users.ask(...request);
  }

  /** From now on there are no new faults; those under way end within the time given. */
  calmDown(ms: number): void {
    this.calm = true;
    this.sim.after(ms, () => {
      this.checker.calmAt = this.sim.now;
    });
  }

  /** Plays a day; the rules are checked after every step. */
  play(ms: number): void {
    let nextTick = 0;
    this.sim.run(this.sim.now + ms, () => {
      if (this.sim.now >= nextTick) {
        nextTick = this.sim.now + TICK_MS;
        this.checker.tick();
        if (this.checker.calmAt !== null) this.checker.waiting(this.workers.map((w) => w.free));
      }
      if (this.checker.broken.length > 0 || this.errors.length > 0)
        throw new Error([...this.checker.broken, ...this.errors].join('\n'));
    });
  }
}
