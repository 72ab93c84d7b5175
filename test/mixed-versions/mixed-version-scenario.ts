/** Scenarios in which controllers of two program versions run in one deployment. */
import assert from 'node:assert/strict';
import type { JobSpec } from '../../src/controller/wire/jobs.js';
import { longJobs } from '../simulation/scenarios/fault-scenario.js';
import { smallWithLowerLimits as deployment } from '../simulation/deployments/small.js';
import { noFaults } from '../simulation/faults/fault-rates.js';
import type { Fault } from '../simulation/faults/scripted/fault.js';
import { injectFaults } from '../simulation/faults/scripted/inject-faults.js';
import type { ProgramVersion } from '../simulation/program-version.js';
import { Simulation } from '../simulation/simulation.js';

/** Duration of the first phase, in which the first jobs start and no version changes. */
const START_MS = 15_000;
/** Duration of the phase after `START_MS`, in which both versions run and faults are injected. */
const BOTH_VERSIONS_MS = 200_000;
/** Longest time between the kill of a process and its restart in a rolling update. */
export const LONGEST_RESTART_MS = 6000;
/** Interval at which a condition that a scenario waits for is evaluated. */
const CONDITION_INTERVAL_MS = 10;

/** Jobs of a scenario: long jobs, arrays that are partly complete for a long time, and gangs. */
const jobTemplates: Partial<JobSpec>[] = [
  longJobs,
  { ...longJobs, tasks: 20, cpus: 4, estimatedRunS: 12 },
  { ...longJobs, kind: 'gang', tasks: 2, gpus: 1, estimatedRunS: 25 },
];

/** Number of replicas of each service that a scenario submits. */
export const REPLICAS = 3;

/** A service small enough for several of them to run in the deployment at the same time. */
const serviceTemplate: Partial<JobSpec> = {
  ...{ kind: 'service', tasks: REPLICAS, priority: 'production', team: 'red' },
  ...{ cpus: 1, gpus: 0, memoryGb: 1, types: null, zone: null, singleZone: false, spread: false },
  ...{ estimatedRunS: 0, checkpointIntervalS: 0, checkpointSaveS: 0, deadlineS: null },
};

/** A process start: the host, and the version that the process runs. */
export interface ProcessStart {
  host: string;
  version: ProgramVersion;
}

/** The state of the simulation when the limits of the state store were lowered. */
export interface LimitsDecrease {
  /** The leader when the limits were lowered, or null if there was none. */
  leader: string | null;
  inOutage: boolean;
  /** Keys written by the transaction whose arrival triggered the decrease; null if no transaction triggered it. */
  transaction: readonly string[] | null;
  /** Number of different versions that the processes ran when the limits were lowered. */
  versionsRunning: number;
}

/** The times of a rolling update, in milliseconds from its start. */
export interface RollingUpdate {
  /** Time at which the first process is killed. */
  firstRestartMs: number;
  /** Time by which all processes run the new version. */
  completeMs: number;
}

/** A simulation in which the program version is set for each host separately. */
export class MixedVersionScenario {
  readonly simulation: Simulation;
  readonly starts: ProcessStart[] = [];
  /** The state of the simulation when the limits of the state store were lowered; null before the decrease. */
  limitsDecrease: LimitsDecrease | null = null;
  private readonly versions = new Map<string, ProgramVersion>();

  /** @param versions - the version that each host runs at the start, in the order of the hosts */
  constructor(seed: number, versions: readonly ProgramVersion[]) {
    for (const [i, host] of deployment.hosts.entries()) {
      const version = versions[i];
      assert.ok(version, `no version for host ${i}`);
      this.versions.set(host, version);
    }
    const rates = { ...noFaults, duplicated: 0.01 };
    this.simulation = new Simulation(deployment, seed, rates, {
      versionOf: (host) => this.versionToStart(host),
    });
    this.submitJobs(14, START_MS / 2);
    this.simulation.play(START_MS);
  }

  private versionToStart(host: string): ProgramVersion {
    const version = this.versions.get(host);
    assert.ok(version, `no version for ${host}`);
    this.starts.push({ host, version });
    return version;
  }

  private submitJobs(count: number, withinMs: number): void {
    const { simulation } = this;
    for (let i = 0; i < count; i++)
      simulation.clock.after(simulation.random.between(0, withinMs), () =>
        simulation.submit(
          simulation.jobWith(jobTemplates[i % jobTemplates.length] ?? longJobs),
          null,
        ),
      );
  }

  /** Submits services as users and returns their ids. */
  submitServices(count: number): string[] {
    const specs = Array.from({ length: count }, () => this.simulation.jobWith(serviceTemplate));
    for (const spec of specs) this.simulation.submit(spec, null);
    return specs.map(({ id }) => id);
  }

  /**
   * Restarts the processes one by one with version `to`, the leader last.
   * @param pauseMs - pause that is added to the random interval between two restarts
   */
  rollingUpdate(to: ProgramVersion, pauseMs = 0): RollingUpdate {
    const { clock, random, hosts, leader } = this.simulation;
    const followers = hosts.filter((host) => host !== leader);
    const restartsMs: number[] = [];
    let atMs = 0;
    for (const host of leader === null ? followers : [...followers, leader]) {
      atMs += random.between(3000, 15_000);
      restartsMs.push(atMs);
      clock.after(atMs, () => {
        this.versions.set(host, to);
        this.simulation.kill(host, random.between(500, LONGEST_RESTART_MS));
      });
      atMs += pauseMs;
    }
    return {
      firstRestartMs: restartsMs[0] ?? 0,
      completeMs: atMs - pauseMs + LONGEST_RESTART_MS,
    };
  }

  /** For each host, the version of its process; if the process is down, the version that it ran last. */
  get runningVersions(): ProgramVersion[] {
    const latest = new Map(this.starts.map(({ host, version }) => [host, version]));
    return [...latest.values()];
  }

  /** Number of elections in which a leader of one version followed a leader of the other. */
  get versionChanges(): number {
    const { electedVersions } = this.simulation.processes;
    return electedVersions.filter(
      (version, index) => index > 0 && version !== electedVersions[index - 1],
    ).length;
  }

  /** Kills the leader repeatedly until leadership has passed between the two versions `changes` times. */
  alternateLeaders(changes: number): void {
    const { simulation } = this;
    const killLeader = (): void => {
      if (this.versionChanges >= changes) return;
      if (simulation.leader !== null)
        simulation.kill(simulation.leader, simulation.random.between(100, 6000));
      simulation.clock.after(simulation.random.between(2000, 8000), killLeader);
    };
    killLeader();
  }

  /** Waits for `afterMs`, then runs the action once, as soon as the condition holds. */
  runWhen(afterMs: number, condition: () => boolean, action: () => void): void {
    const { clock } = this.simulation;
    const evaluate = (): void => {
      if (condition()) action();
      else clock.after(CONDITION_INTERVAL_MS, evaluate);
    };
    clock.after(afterMs, evaluate);
  }

  /** Lowers the limits of the state store now. */
  lowerLimits(transaction: LimitsDecrease['transaction'] = null): void {
    const { simulation } = this;
    assert.equal(this.limitsDecrease, null, 'the limits have already been lowered');
    this.limitsDecrease = {
      leader: simulation.leader,
      inOutage: simulation.stateStore.inOutage,
      transaction,
      versionsRunning: new Set(this.runningVersions).size,
    };
    simulation.stateStore.lowerLimits(simulation.upcomingStateLimits);
  }

  /**
   * Lowers the limits on the first arrival, after `afterMs`, of a transaction that writes one of the leader's
   * pages. The transaction is then checked against the lowered limits.
   */
  lowerLimitsDuringCommit(afterMs: number): void {
    const { clock, stateStore } = this.simulation;
    clock.after(afterMs, () => {
      stateStore.onTransaction = (keys) => {
        if (!keys.some((key) => key.startsWith('page/'))) return;
        stateStore.onTransaction = () => undefined;
        this.lowerLimits(keys);
      };
    });
  }

  /** Submits more jobs and injects the faults, then runs without faults until all jobs have ended. */
  finish(faults: Fault[]): void {
    const { simulation } = this;
    this.submitJobs(8, BOTH_VERSIONS_MS / 4);
    injectFaults(simulation, faults);
    simulation.play(BOTH_VERSIONS_MS);
    simulation.stopFaults(0);
    const until = simulation.clock.now + 400_000;
    do simulation.play(60_000);
    while (simulation.clock.now < until && simulation.checker.jobs.unfinished().length > 0);
    const { checker } = simulation;
    assert.deepEqual(checker.jobs.unfinished(), [], 'accepted jobs that never finished');
    assert.ok(checker.cancelledWhileRunning.length > 0, 'no running job was cancelled');
  }

  /** Asserts that the latest process of every host runs `version`. */
  assertAllRun(version: ProgramVersion): void {
    for (const { host } of this.starts)
      assert.equal(
        this.starts.findLast((start) => start.host === host)?.version,
        version,
        `${host} does not run ${version.name}`,
      );
  }

  /** For each service, the number of its replicas that run on machines. */
  replicaCounts(services: readonly string[]): number[] {
    return services.map((id) => this.simulation.checker.machinesOf(id).length);
  }

  /** Whether all replicas of the services run on machines. */
  allReplicasRun(services: readonly string[]): boolean {
    return this.replicaCounts(services).every((count) => count === REPLICAS);
  }
}
