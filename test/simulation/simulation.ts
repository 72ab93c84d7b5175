/** A deployment put together: controllers, state store, cloud, machines, users, faults. */
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

/** True run time of jobs that nobody submitted. */
const DEFAULT_RUN_MS = 1000;
/** How often the rules that depend on time are checked. */
const RULE_CHECK_INTERVAL_MS = 1000;

/** What a simulation may be given beside its deployment, seed and fault rates. */
export interface SimulationOptions {
  /** Receives what the controllers log. */
  log?: Logger;
  /** The program that a host's process runs; asked whenever one starts. */
  versionOf?: (host: string) => ProgramVersion;
}

/** The controllers of a deployment with all that is around them, in virtual time. */
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
  /** Limits that the state store will have, by the controllers' settings. */
  readonly upcomingStateLimits: StateLimits;
  /** No new faults from then on. */
  faultsStopped = false;

  constructor(
    private readonly deployment: Deployment,
    seed: number,
    rates: FaultRates,
    { log = silentLog, versionOf = () => presentVersion() }: SimulationOptions = {},
  ) {
    const { hosts, pageSize } = deployment;
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
    this.stateStore = createStateStore(clock, random, network, platform, pageSize);
    this.machines = this.machineContext(platform, rates);
    this.users = this.userPopulation();
    this.cloud = createCloud(this.machines, deployment, platform, rates);
    this.connectionFaults = new ConnectionFaults(clock, random, network, hosts, () => this.workers);
    this.machineFaults = new MachineFaults(clock, random, this.cloud, this.connectionFaults);
    const host = { clock, random, network, deployment, apiOf, log, versionOf };
    this.processes = new ControllerProcesses(host);
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

  /** The zone of a controller where the deployment spreads them over zones. */
  zoneOf(host: string): string | undefined {
    const { hosts, platform } = this.deployment;
    return platform.hostZones[hosts.indexOf(host)];
  }

  /** Replicas of services that ended by themselves. */
  get replicasEnded(): number {
    return this.machines.replicasEnded;
  }

  /** How often a worker's lease has expired. */
  get expiredLeases(): number {
    return this.machines.expiredLeases;
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
  jobWith(fields: Partial<JobSpec>): JobSpec {
    const { taskScale = 1 } = this.deployment;
    const job = { ...this.randomJob(), ...fields };
    if (fields.cpus !== undefined) job.cpus = fields.cpus * taskScale;
    if (fields.memoryGb !== undefined) job.memoryGb = fields.memoryGb * taskScale;
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

  /** Plays on for a time; throws as soon as a rule is violated or a controller logs an error. */
  play(ms: number): void {
    let nextRuleCheck = 0;
    this.clock.run(this.clock.now + ms, () => {
      if (this.clock.now >= nextRuleCheck) {
        nextRuleCheck = this.clock.now + RULE_CHECK_INTERVAL_MS;
        this.checker.tick();
        if (this.checker.faultsEndedAt !== null)
          this.checker.checkWaitingJobs(this.workers.map((w) => w.freeCapacity));
      }
      if (this.checker.violations.length > 0 || this.processes.errors.length > 0)
        throw new Error([...this.checker.violations, ...this.processes.errors].join('\n'));
    });
  }
}
