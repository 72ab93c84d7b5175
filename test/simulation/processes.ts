/** The controller processes of a simulation: starting, killing, freezing, and their log lines. */
import type { Controller } from '../../src/controller/controller.js';
import type { Logger } from '../../src/controller/runtime/runtime.js';
import { platformOf } from '../platform.js';
import type { Network } from './network.js';
import { ProcessRuntime } from './process-runtime.js';
import type { Deployment } from './deployments/deployment.js';
import type { SeededRandom } from './seeded-random.js';
import type { VirtualClock } from './virtual-clock.js';
import type { ProgramVersion } from './program-version.js';

/** Downtime of each process in a rolling restart, in milliseconds. */
const ROLLING_RESTART_DOWNTIME_MS = 6000;

/** The context that all controller processes of a simulation share. */
export interface ProcessContext {
  clock: VirtualClock;
  random: SeededRandom;
  network: Network;
  deployment: Deployment;
  log: Logger;
  /** Returns the address of a host's API. */
  apiOf(host: string): string;
  /** Returns the program version for a host's process; called each time a process starts. */
  versionOf(host: string): ProgramVersion;
}

interface Process {
  controller: Controller;
  runtime: ProcessRuntime;
}

/** Starts, kills and observes the controller process of each host. */
export class ControllerProcesses {
  /** Listeners called with each line that a controller logs at level info. */
  readonly onLog: ((text: string, fields: object) => void)[] = [];
  /**
   * Listeners called before a process is killed. `leads` is true if its controller is the leader.
   */
  readonly onKill: ((host: string, leads: boolean) => void)[] = [];
  /** The lines that controllers have logged at level error. */
  readonly errors: string[] = [];
  /** Number of times that controllers have logged each message at level info. */
  readonly logCounts = new Map<string, number>();
  /** The program versions of all elected leaders, in order of election. */
  readonly electedVersions: ProgramVersion[] = [];
  private readonly processes = new Map<string, Process>();
  private readonly peerFrameHandlers = new Map<string, (bytes: Buffer) => void>();
  private startCount = 0;

  constructor(private readonly context: ProcessContext) {}

  /** Starts a process on every host. */
  startAll(): void {
    for (const host of this.context.deployment.hosts) this.start(host);
  }

  /** Starts a process on the host unless one is running. */
  start(host: string): void {
    if (this.processes.has(host)) return;
    const runtime = new ProcessRuntime(
      this.context.clock,
      this.context.random,
      this.context.network,
      host,
      this.peerFrameHandlers,
    );
    const version = this.context.versionOf(host);
    const { hosts, platform } = this.context.deployment;
    const settings = new version.Settings(
      platformOf(hosts, host, platform, version.readPlatform),
      version.properties,
    );
    const identity = `${host}-${this.startCount++}`;
    const controller = new version.Controller(
      runtime,
      this.observedLog(version),
      settings,
      identity,
    );
    this.processes.set(host, { controller, runtime });
    this.connect(host, { controller, runtime });
    controller.start();
  }

  private connect(host: string, { controller, runtime }: Process): void {
    this.peerFrameHandlers.set(host, (bytes) =>
      runtime.whenAwake(() => controller.peerFrame(bytes)),
    );
    this.context.network.listen(this.context.apiOf(host), host, (_, request, respond) => {
      runtime.whenAwake(() => {
        controller.request(request.method, request.path, request.bytes, (response) => {
          if (runtime.alive) respond({ status: response.status, body: response.body ?? null });
        });
      });
    });
  }

  private observedLog(version: ProgramVersion): Logger {
    return {
      ...this.context.log,
      info: (fields, text) => {
        this.logCounts.set(text, (this.logCounts.get(text) ?? 0) + 1);
        if (text === 'elected leader') this.electedVersions.push(version);
        for (const listener of this.onLog) listener(text, fields);
        this.context.log.info(fields, text);
      },
      error: (fields, text) => {
        const { err } = fields as { err?: Error };
        this.errors.push(`${text}: ${err?.stack ?? JSON.stringify(fields)}`);
      },
    };
  }

  /** The first host whose controller considers itself the leader; null if there is none. */
  get leader(): string | null {
    return this.leaders()[0] ?? null;
  }

  /** Returns the hosts whose controllers consider themselves the leader. */
  leaders(): string[] {
    return [...this.processes]
      .filter(([, { controller }]) => controller.leads)
      .map(([host]) => host);
  }

  /**
   * Returns the hosts whose controllers consider themselves entitled to answer workers. A leader
   * can remain entitled to answer workers after its lease has ended.
   */
  answeringWorkers(): string[] {
    return [...this.processes]
      .filter(([, { controller }]) => controller.mayAnswerWorkers)
      .map(([host]) => host);
  }

  /** Kills a host's process and starts a new one after `restartMs`. */
  kill(host: string, restartMs: number): void {
    const process = this.processes.get(host);
    if (process === undefined) return;
    for (const listener of this.onKill) listener(host, process.controller.leads);
    process.runtime.alive = false;
    this.processes.delete(host);
    this.peerFrameHandlers.delete(host);
    this.context.network.remove(this.context.apiOf(host));
    this.context.clock.after(restartMs, () => this.start(host));
  }

  /**
   * Kills the current leader several times at random intervals, so that some leaders are killed
   * soon after their election. Each process restarts after 50 to 400 ms.
   * @param rounds - the number of times that the current leader is killed
   * @param durationMs - the approximate total time of all rounds, in milliseconds
   */
  killElected(rounds = 4, durationMs = 6000): void {
    const { clock, random } = this.context;
    let remainingRounds = rounds;
    const killLeaders = (): void => {
      for (const host of this.leaders()) this.kill(host, random.between(50, 400));
      if (--remainingRounds > 0)
        clock.after(random.between(20, (2 * durationMs) / rounds), killLeaders);
    };
    killLeaders();
  }

  /** Restarts the processes one after another, with `intervalMs` between the restarts. */
  rollingRestart(intervalMs: number): void {
    for (const [index, host] of this.context.deployment.hosts.entries())
      this.context.clock.after(index * intervalMs, () =>
        this.kill(host, ROLLING_RESTART_DOWNTIME_MS),
      );
  }

  /** Freezes a host's process for `ms`. */
  freeze(host: string, ms: number): void {
    this.processes.get(host)?.runtime.freeze(ms);
  }
}
