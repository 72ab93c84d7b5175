/** Days in the simulation on which controllers of two versions serve side by side. */
import assert from 'node:assert/strict';
import type { JobSpec } from '../src/controller/wire/jobs.js';
import { longJobs } from './simulation/scenarios/fault-scenario.js';
import { shrinkingLimits as deployment } from './simulation/deployments/deployment.js';
import { injectFaults, type Fault } from './simulation/faults/faults.js';
import type { ProgramVersion } from './simulation/program-version.js';
import { Simulation } from './simulation/simulation.js';

/** Work runs by then, and the versions mix within `MIXED_MS` after. */
const START_MS = 15_000;
const MIXED_MS = 200_000;
/** Longest time for which a process that was replaced is away. */
export const LONGEST_RESTART_MS = 6000;
/** How often a day looks for a moment that it waits for. */
const LOOK_MS = 10;

/** Work of the day: long, in waves that leave jobs half done for long, and in gangs. */
const work: Partial<JobSpec>[] = [
  longJobs,
  { ...longJobs, tasks: 20, cpus: 4, estimatedRunS: 12 },
  { ...longJobs, kind: 'gang', tasks: 2, gpus: 1, estimatedRunS: 25 },
];

/** Replicas of each service that a day submits. */
export const REPLICAS = 3;

/** A service of which the deployment runs several at one time. */
const service: Partial<JobSpec> = {
  ...{
    kind: 'service',
    estimatedRunS: 0,
    tasks: REPLICAS,
    singleZone: false,
    spread: false,
    deadlineS: null,
  },
  ...{
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    priority: 'production',
    checkpointIntervalS: 0,
    checkpointSaveS: 0,
  },
  ...{ types: null, zone: null, team: 'red' },
};

/** A process of a host that started, and what it runs. */
export interface Start {
  host: string;
  version: ProgramVersion;
}

/** What was the case when the limits of the state service fell. */
export interface LimitsFall {
  leader: string | null;
  outage: boolean;
  /** Keys of the transaction that was arriving; null: none was. */
  transaction: readonly string[] | null;
  /** How many versions the processes ran. */
  versions: number;
}

/** A roll under way: milliseconds until the first process is replaced, and until the last is surely back. */
export interface Roll {
  firstTurnMs: number;
  overMs: number;
}

/** A day on which each host has its own version. */
export class MixedVersionScenario {
  readonly simulation: Simulation;
  readonly starts: Start[] = [];
  /** How the limits fell, once they have. */
  limitsFall: LimitsFall | null = null;
  private readonly versions = new Map<string, ProgramVersion>();

  /** `versions`: what each host runs at first. */
  constructor(seed: number, versions: readonly ProgramVersion[]) {
    for (const [i, host] of deployment.hosts.entries()) {
      const version = versions[i];
      assert.ok(version, `no version for host ${i}`);
      this.versions.set(host, version);
    }
    const quiet = { meanIntervalMs: Infinity, duplicated: 0.01, taskFailures: 0, bootFailures: 0 };
    this.simulation = new Simulation(deployment, seed, quiet, undefined, (host) =>
      this.started(host),
    );
    this.submit(14, START_MS / 2);
    this.simulation.play(START_MS);
  }

  private started(host: string): ProgramVersion {
    const version = this.versions.get(host);
    assert.ok(version, host);
    this.starts.push({ host, version });
    return version;
  }

  private submit(count: number, overMs: number): void {
    const { simulation } = this;
    for (let i = 0; i < count; i++)
      simulation.clock.after(simulation.clock.between(0, overMs), () =>
        simulation.submit(simulation.jobWith(work[i % work.length] ?? longJobs), null),
      );
  }

  /** Users submit services; returns their ids. */
  submitServices(count: number): string[] {
    const specs = Array.from({ length: count }, () => this.simulation.jobWith(service));
    for (const spec of specs) this.simulation.submit(spec, null);
    return specs.map((s) => s.id);
  }

  /**
   * The hosts' processes end one by one and come back as `to`, the leader's as the last.
   * `extraMs`: time that each turn waits beyond what is drawn.
   */
  roll(to: ProgramVersion, extraMs = 0): Roll {
    const { clock, hosts, leader } = this.simulation;
    const others = hosts.filter((h) => h !== leader);
    const turnsMs: number[] = [];
    let atMs = 0;
    for (const host of leader === null ? others : [...others, leader]) {
      atMs += clock.between(3000, 15_000);
      turnsMs.push(atMs);
      clock.after(atMs, () => {
        this.versions.set(host, to);
        this.simulation.kill(host, clock.between(500, LONGEST_RESTART_MS));
      });
      atMs += extraMs;
    }
    return { firstTurnMs: turnsMs[0] ?? 0, overMs: atMs - extraMs + LONGEST_RESTART_MS };
  }

  /** What each host's process runs, or ran last. */
  get running(): ProgramVersion[] {
    const last = new Map(this.starts.map((s) => [s.host, s.version]));
    return [...last.values()];
  }

  /** How often a leader of one version has followed one of the other. */
  get failovers(): number {
    const { electedVersions } = this.simulation;
    return electedVersions.filter((v, i) => i > 0 && v !== electedVersions[i - 1]).length;
  }

  /** The leader ends again and again, until the versions have taken over from each other so often. */
  alternate(times: number): void {
    const { simulation } = this;
    const again = (): void => {
      if (this.failovers >= times) return;
      if (simulation.leader !== null)
        simulation.kill(simulation.leader, simulation.clock.between(100, 6000));
      simulation.clock.after(simulation.clock.between(2000, 8000), again);
    };
    again();
  }

  /** Runs `then` in the first moment from `afterMs` on in which the condition holds. */
  once(afterMs: number, condition: () => boolean, then: () => void): void {
    const { clock } = this.simulation;
    const look = (): void => {
      if (condition()) then();
      else clock.after(LOOK_MS, look);
    };
    clock.after(afterMs, look);
  }

  /** The limits of the state service fall now. */
  lowerLimits(transaction: LimitsFall['transaction'] = null): void {
    const { simulation } = this;
    assert.equal(this.limitsFall, null, 'the limits fall once');
    const versions = new Set(this.running).size;
    this.limitsFall = {
      leader: simulation.leader,
      outage: simulation.stateStore.inOutage,
      transaction,
      versions,
    };
    simulation.stateStore.lowerLimits(simulation.upcomingStateLimits);
  }

  /** The limits fall as a transaction with one of the leader's pages arrives, before it is looked at. */
  lowerLimitsAmidCommit(afterMs: number): void {
    const { clock, stateStore } = this.simulation;
    clock.after(afterMs, () => {
      stateStore.onTransaction = (keys) => {
        if (!keys.some((key) => key.startsWith('page/'))) return;
        stateStore.onTransaction = () => undefined;
        this.lowerLimits(keys);
      };
    });
  }

  /** New work comes and the faults run their course; then all is quiet until the work is done. */
  finish(faults: Fault[]): void {
    const { simulation } = this;
    this.submit(8, MIXED_MS / 4);
    injectFaults(simulation, faults);
    simulation.play(MIXED_MS);
    simulation.stopFaults(0);
    const until = simulation.clock.now + 400_000;
    do simulation.play(60_000);
    while (simulation.clock.now < until && simulation.checker.unfinishedJobs().length > 0);
    assert.deepEqual(simulation.checker.unfinishedJobs(), [], 'never finished');
    assert.ok(
      simulation.checker.cancelledWhileRunning.length > 0,
      'nothing that ran was cancelled',
    );
  }

  /** Every host's newest process runs `version`. */
  assertAllRun(version: ProgramVersion): void {
    for (const { host } of this.starts)
      assert.equal(
        this.starts.findLast((s) => s.host === host)?.version,
        version,
        `${host} does not run ${version.name}`,
      );
  }

  /** Replicas of each service that are on machines. */
  replicas(services: readonly string[]): number[] {
    return services.map((id) => this.simulation.checker.machinesOf(id).length);
  }

  /** Whether every replica of the services is on a machine. */
  complete(services: readonly string[]): boolean {
    return this.replicas(services).every((count) => count === REPLICAS);
  }
}
