/** A deployment put together: controllers, state service, cloud, machines, users, faults. */
import type { Logger } from '../../src/controller/runtime/runtime.js';
import type { Platform, StateLimits } from '../../src/controller/settings/platform.js';
import type { JobSpec } from '../../src/controller/wire/jobs.js';
import { platformOf } from '../platform.js';
import { Cloud } from './machines/cloud.js';
import { ConnectionFaults } from './faults/connection-faults.js';
import { Gangs } from './machines/gangs.js';
import { ObservedEvents, observeFaultCombinations } from './faults/observed-events.js';
import type { MachineContext } from './machines/machine-context.js';
import { MachineFaults } from './faults/machine-faults.js';
import { Network } from './network.js';
import { ControllerProcesses } from './processes.js';
import { injectRandomFaults } from './faults/random-faults.js';
import { RuleChecker } from './rules/rule-checker.js';
import type { Deployment } from './deployments/deployment.js';
import { SeededRandom } from './seeded-random.js';
import { VirtualClock } from './virtual-clock.js';
import { StateStoreServer } from './state-store/state-store-server.js';
import { UserPopulation } from './users/user-population.js';
import type { RequestSender } from './users/user.js';
import { presentVersion, type ProgramVersion } from './program-version.js';
import type { Worker } from './machines/worker.js';

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
  meanIntervalMs: number;
  /** Chance that a request arrives a second time. */
  duplicated: number;
  /** Chance that a task fails. */
  taskFailures: number;
  /** Chance that a rented machine never comes up. */
  bootFailures: number;
}

/** The controllers of a deployment with all that is around them, in virtual time. */
export class Simulation {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly network: Network;
  readonly stateStore: StateStoreServer;
  readonly cloud: Cloud;
  readonly checker: RuleChecker;
  private readonly context: MachineContext;
  readonly observedEvents = new ObservedEvents();
  readonly processes: ControllerProcesses;
  readonly users: UserPopulation;
  readonly connectionFaults: ConnectionFaults;
  readonly machineFaults: MachineFaults;
  /** Limits that the state service will have, by the controllers' settings. */
  readonly upcomingStateLimits: StateLimits;
  /** No new faults from then on. */
  faultsStopped = false;

  constructor(
    private readonly deployment: Deployment,
    seed: number,
    rates: FaultRates,
    log: Logger = noLog,
    /** What a host's process runs; asked whenever one starts. */
    versionOf: (host: string) => ProgramVersion = () => presentVersion(),
  ) {
    const { hosts } = deployment;
    const platform = platformOf(hosts, hosts[0] ?? '', deployment.platform);
    const { stateStoreAddr, stateLimits, workers } = platform;
    this.upcomingStateLimits = platform.upcomingStateLimits;
    this.random = new SeededRandom(seed);
    this.network = new Network(this.clock, this.random);
    this.network.duplicated = rates.duplicated;
    this.network.maxDuplicateDelayMs = workers.leaseS * 1000 * LATEST_COPY_LEASES;
    this.checker = new RuleChecker(
      platform.teams,
      workers.cancelDeadlineS * 1000,
      () => this.clock.now,
    );
    this.stateStore = new StateStoreServer(
      this.clock,
      this.random,
      this.network,
      stateStoreAddr,
      stateLimits,
      deployment.pageSize,
    );
    this.stateStore.maxWriteDelayMs = workers.leaseS * 1000 * LATEST_WRITE_LEASES;
    this.context = this.machineContext(platform, rates);
    this.users = this.userPopulation();
    this.cloud = this.startCloud(platform, rates);
    this.connectionFaults = new ConnectionFaults(
      this.clock,
      this.random,
      this.network,
      hosts,
      () => this.workers,
    );
    this.machineFaults = new MachineFaults(
      this.clock,
      this.random,
      this.cloud,
      this.connectionFaults,
    );
    this.processes = new ControllerProcesses(
      this.clock,
      this.random,
      this.network,
      deployment,
      (host) => this.apiOf(host),
      log,
      versionOf,
    );
    observeFaultCombinations(this);
    for (const host of hosts) this.processes.start(host);
    if (Number.isFinite(rates.meanIntervalMs)) injectRandomFaults(this, rates.meanIntervalMs);
  }

  private machineContext({ workers }: Platform, rates: FaultRates): MachineContext {
    return {
      clock: this.clock,
      random: this.random,
      network: this.network,
      checker: this.checker,
      settings: {
        heartbeatIntervalMs: workers.heartbeatIntervalS * 1000,
        leaseMs: workers.leaseS * 1000,
        gangWaitMs: workers.gangFetchWaitS * 1000,
        gangPeerMs: workers.gangPeerExitS * 1000,
      },
      controllers: this.deployment.hosts,
      apiOf: (host) => this.apiOf(host),
      specOf: (id) => this.users.specOf(id),
      runMs: (id) => this.users.runMsOf(id) ?? UNKNOWN_RUN_MS,
      gangs: new Gangs(this.clock),
      taskFailures: rates.taskFailures,
      observedEvents: this.observedEvents,
      expiredLeases: 0,
      replicasEnded: 0,
    };
  }

  private userPopulation(): UserPopulation {
    const { clock, random, network, stateStore, checker, observedEvents, deployment } = this;
    const apiOf = (host: string): string => this.apiOf(host);
    return new UserPopulation({
      clock,
      random,
      network,
      stateStore,
      checker,
      observedEvents,
      deployment,
      apiOf,
    });
  }

  private startCloud({ cloudAddr: address, cloudLimits }: Platform, rates: FaultRates): Cloud {
    const { types, capacity, machines } = this.deployment;
    const lagMs = cloudLimits.listLagS * 1000;
    const cloud = new Cloud(this.context, address, types, capacity, lagMs, rates.bootFailures);
    for (const { type: name, zone, spot, count } of machines) {
      const type = types.find((candidate) => candidate.name === name);
      if (type === undefined) throw new Error(name);
      for (let i = 0; i < count; i++) cloud.addMachine(type, zone, spot, FIRST_BOOT_MS);
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
  zoneOf(host: string): string | undefined {
    const { hosts, platform } = this.deployment;
    return platform.hostZones[hosts.indexOf(host)];
  }

  /** The versions of the leaders, in the order of their elections. */
  get electedVersions(): readonly ProgramVersion[] {
    return this.processes.electedVersions;
  }

  /** How often the controllers have logged each text. */
  get logCounts(): ReadonlyMap<string, number> {
    return this.processes.logCounts;
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
  get expiredLeases(): number {
    return this.context.expiredLeases;
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
  jobWith(part: Partial<JobSpec>): JobSpec {
    const { taskScale = 1 } = this.deployment;
    const job = { ...this.randomJob(), ...part };
    if (part.cpus !== undefined) job.cpus = part.cpus * taskScale;
    if (part.memoryGb !== undefined) job.memoryGb = part.memoryGb * taskScale;
    return job;
  }

  /** A user who submits, polls and perhaps cancels one job. */
  submit(spec: JobSpec, cancelAfterMs: number | null): void {
    this.users.submit(spec, cancelAfterMs);
  }

  /** The job's user calls it off, at `host` where one is named. */
  cancel(id: string, host?: string): void {
    this.users.cancel(id, host);
  }

  /** Sends a request to a controller, a certain one or any. */
  sendRequest(...request: Parameters<RequestSender>): void {
    this.users.sendRequest(...request);
  }

  /** From now on there are no new faults; those under way end within the time given. */
  stopFaults(ms: number): void {
    this.faultsStopped = true;
    this.clock.after(ms, () => {
      this.checker.faultsEndedAt = this.clock.now;
    });
  }

  /** Plays a day; the rules are checked after every step. */
  play(ms: number): void {
    let nextTick = 0;
    this.clock.run(this.clock.now + ms, () => {
      if (this.clock.now >= nextTick) {
        nextTick = this.clock.now + TICK_MS;
        this.checker.tick();
        if (this.checker.faultsEndedAt !== null)
          this.checker.checkWaitingJobs(this.workers.map((w) => w.freeCapacity));
      }
      if (this.checker.violations.length > 0 || this.errors.length > 0)
        throw new Error([...this.checker.violations, ...this.errors].join('\n'));
    });
  }
}
