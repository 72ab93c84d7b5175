/** A simulated deployment with its controllers, state store, cloud, machines, users and faults. */
import type { Logger } from '../../src/controller/runtime/runtime.js';
import type { Platform, StateLimits } from '../../src/controller/settings/platform.js';
import type { JobSpec } from '../../src/controller/wire/jobs.js';
import { platformOf } from '../platform.js';
import type { Cloud } from './machines/cloud.js';
import { ConnectionFaults } from './faults/connection-faults.js';
import { Gangs } from './machines/gangs.js';
import { observeFaultCombinations } from './faults/fault-combinations.js';
import { ObservedEvents } from './faults/observed-events.js';
import type { MachineContext } from './machines/machine-context.js';
import { MachineFaults } from './faults/machine-faults.js';
import type { Network } from './network.js';
import { ControllerProcesses } from './processes.js';
import type { FaultRates } from './faults/fault-rates.js';
import { injectRandomFaults } from './faults/random-faults.js';
import { RuleChecker } from './rules/rule-checker.js';
import type { Deployment } from './deployments/deployment.js';
import { SeededRandom } from './seeded-random.js';
import type { SimulatedDeployment } from './simulated-deployment.js';
import {
  createCloud,
  createNetwork,
  createStateStore,
  silentLog,
  workerSettings,
} from './simulation-parts.js';
import { VirtualClock } from './virtual-clock.js';
import type { StateStoreServer } from './state-store/state-store-server.js';
import { UserPopulation } from './users/user-population.js';
import type { RequestSender } from './users/user.js';
import { presentVersion, type ProgramVersion } from './program-version.js';
import type { Worker } from './machines/worker.js';

/** Run time of a task whose job was not submitted by a simulated user, in milliseconds. */
const DEFAULT_RUN_MS = 1000;
/** Interval between checks of the rules that depend on time, in virtual milliseconds. */
const RULE_CHECK_INTERVAL_MS = 1000;

/** Optional arguments of a simulation. */
export interface SimulationOptions {
  /** Receives the log lines of the controllers, except errors. Errors make `play` throw. */
  log?: Logger;
  /** Returns the program version for a host's process; called each time a process starts. */
  versionOf?: (host: string) => ProgramVersion;
}

/**
 * Runs the controllers of a deployment against simulated services, machines and users, in virtual
 * time.
 */
export class Simulation implements SimulatedDeployment {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly network: Network;
  readonly stateStore: StateStoreServer;
  readonly cloud: Cloud;
  readonly checker: RuleChecker;
  private readonly machines: MachineContext;
  readonly observedEvents = new ObservedEvents();
  readonly processes: ControllerProcesses;
  readonly users: UserPopulation;
  readonly connectionFaults: ConnectionFaults;
  readonly machineFaults: MachineFaults;
  /** The upcoming limits of the state store, as announced in the controllers' settings. */
  readonly upcomingStateLimits: StateLimits;
  /** Whether the injection of new faults has been stopped. */
  faultsStopped = false;

  constructor(
    private readonly deployment: Deployment,
    seed: number,
    rates: FaultRates,
    { log = silentLog, versionOf = () => presentVersion() }: SimulationOptions = {},
  ) {
    const { hosts } = deployment;
    const platform = platformOf(hosts, hosts[0] ?? '', deployment.platform);
    const { clock } = this;
    const random = new SeededRandom(seed);
    const apiOf = (host: string): string => this.apiOf(host);
    this.random = random;
    this.upcomingStateLimits = platform.upcomingStateLimits;
    const network = createNetwork(clock, random, platform, rates);
    this.network = network;
    this.checker = new RuleChecker(
      platform.teams,
      platform.workers.cancelDeadlineS * 1000,
      () => clock.now,
    );
    this.stateStore = createStateStore(clock, random, network, platform, deployment);
    this.machines = this.machineContext(platform, rates);
    this.users = this.userPopulation();
    this.cloud = createCloud(this.machines, deployment, platform, rates);
    this.connectionFaults = new ConnectionFaults(clock, random, network, hosts, () => this.workers);
    this.machineFaults = new MachineFaults(clock, random, this.cloud, this.connectionFaults);
    const processContext = { clock, random, network, deployment, apiOf, log, versionOf };
    this.processes = new ControllerProcesses(processContext);
    observeFaultCombinations(this);
    this.processes.startAll();
    if (Number.isFinite(rates.meanIntervalMs)) injectRandomFaults(this, rates.meanIntervalMs);
  }

  private machineContext(platform: Platform, rates: FaultRates): MachineContext {
    const { clock, random, network, checker, observedEvents } = this;
    return {
      ...{ clock, random, network, checker, observedEvents },
      settings: workerSettings(platform),
      controllers: this.deployment.hosts,
      apiOf: (host) => this.apiOf(host),
      specOf: (id) => this.users.specOf(id),
      runMs: (id) => this.users.runMsOf(id) ?? DEFAULT_RUN_MS,
      gangs: new Gangs(clock),
      taskFailures: rates.taskFailures,
      ...{ expiredLeases: 0, replicasEnded: 0 },
    };
  }

  private userPopulation(): UserPopulation {
    const { clock, random, network, stateStore, checker, observedEvents, deployment } = this;
    const apiOf = (host: string): string => this.apiOf(host);
    const shared = { clock, random, network, stateStore, checker, observedEvents };
    return new UserPopulation({ ...shared, deployment, apiOf });
  }

  /** Returns the address of a host's API. */
  apiOf(host: string): string {
    return `10.0.0.${this.hosts.indexOf(host) + 1}:8080`;
  }

  /** Names of the hosts that run a controller. */
  get hosts(): readonly string[] {
    return this.deployment.hosts;
  }

  /** Workers of the machines that are up. */
  get workers(): Worker[] {
    return this.cloud.workers;
  }

  /** Returns the workers of the machines that run tasks of the job. */
  workersOf(id: string): Worker[] {
    const machineIds = this.checker.machinesOf(id);
    return this.workers.filter((worker) => machineIds.includes(worker.id));
  }

  /** The first host whose controller considers itself the leader; null if there is none. */
  get leader(): string | null {
    return this.processes.leader;
  }

  /** Returns the zone of a controller's host; undefined if the deployment gives hosts no zones. */
  zoneOf(host: string): string | undefined {
    const { hosts, platform } = this.deployment;
    return platform.hostZones[hosts.indexOf(host)];
  }

  /** Number of service replicas that ended without being stopped. */
  get replicasEnded(): number {
    return this.machines.replicasEnded;
  }

  /** Number of worker leases that have expired. */
  get expiredLeases(): number {
    return this.machines.expiredLeases;
  }

  /** Kills a host's process and starts a new one after `restartMs`. */
  kill(host: string, restartMs: number): void {
    this.processes.kill(host, restartMs);
  }

  /** Returns a random job of a kind that the deployment can run. */
  randomJob(): JobSpec {
    return this.users.randomJob();
  }

  /**
   * Returns a random job with the given fields replaced. If `fields` contains CPUs or memory, their
   * values are multiplied by the deployment's `taskScale`.
   */
  jobWith(fields: Partial<JobSpec>): JobSpec {
    const { taskScale = 1 } = this.deployment;
    const job = { ...this.randomJob(), ...fields };
    if (fields.cpus !== undefined) job.cpus = fields.cpus * taskScale;
    if (fields.memoryGb !== undefined) job.memoryGb = fields.memoryGb * taskScale;
    return job;
  }

  /**
   * Adds a user who submits and polls one job, and cancels it after `cancelAfterMs` unless that is
   * null.
   */
  submit(spec: JobSpec, cancelAfterMs: number | null): void {
    this.users.submit(spec, cancelAfterMs);
  }

  /** Makes the job's user cancel it, through the controller on `host` if one is given. */
  cancel(id: string, host?: string): void {
    this.users.cancel(id, host);
  }

  /** Sends a request to the controller on the given host, by default a random one. */
  sendRequest(...request: Parameters<RequestSender>): void {
    this.users.sendRequest(...request);
  }

  /**
   * Stops the injection of new faults. Active faults must end within `ms`; after that time the
   * rules for operation without faults apply.
   */
  stopFaults(ms: number): void {
    this.faultsStopped = true;
    this.clock.after(ms, () => {
      this.checker.faultsEndedAt = this.clock.now;
    });
  }

  /** Advances virtual time by `ms`. Throws if a rule is violated or a controller logs an error. */
  play(ms: number): void {
    let nextRuleCheck = 0;
    this.clock.run(this.clock.now + ms, () => {
      if (this.clock.now >= nextRuleCheck) {
        nextRuleCheck = this.clock.now + RULE_CHECK_INTERVAL_MS;
        this.checker.tick();
        if (this.checker.faultsEndedAt !== null)
          this.checker.checkWaitingJobs(this.workers.map((worker) => worker.freeCapacity));
      }
      if (this.checker.violations.length > 0 || this.processes.errors.length > 0)
        throw new Error([...this.checker.violations, ...this.processes.errors].join('\n'));
    });
  }
}
