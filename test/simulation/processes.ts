/** The controller processes of a simulation: starts, ends, freezes, and what they log. */
import type { Controller } from '../../src/controller/controller.js';
import type { Logger } from '../../src/controller/runtime/runtime.js';
import { platformOf } from '../platform.js';
import type { Network } from './network.js';
import { ProcessRuntime } from './process-runtime.js';
import type { Deployment } from './deployments/deployment.js';
import type { SeededRandom } from './seeded-random.js';
import type { VirtualClock } from './virtual-clock.js';
import type { ProgramVersion } from './program-version.js';

/** How long a process is away in a rolling restart. */
const ROLL_RESTART_MS = 6000;

/** What the processes of a simulation share. */
export interface ProcessContext {
  clock: VirtualClock;
  random: SeededRandom;
  network: Network;
  deployment: Deployment;
  log: Logger;
  /** Address of a host's API. */
  apiOf(host: string): string;
  /** What a host's process runs; asked whenever one starts. */
  versionOf(host: string): ProgramVersion;
}

interface Process {
  controller: Controller;
  runtime: ProcessRuntime;
}

/** Starts, ends and observes the process of each host. */
export class ControllerProcesses {
  /** Called with each line that a controller logs as information. */
  readonly onLog: ((text: string, fields: object) => void)[] = [];
  /** Called as a process is ended from outside. */
  readonly onKill: ((host: string, leads: boolean) => void)[] = [];
  /** Errors that controllers have logged. */
  readonly errors: string[] = [];
  /** How often the controllers have logged each text. */
  readonly logCounts = new Map<string, number>();
  /** The versions of the leaders, in the order of their elections. */
  readonly electedVersions: ProgramVersion[] = [];
  private readonly processes = new Map<string, Process>();
  private readonly peerFrameHandlers = new Map<string, (bytes: Buffer) => void>();
  private starts = 0;

  constructor(private readonly context: ProcessContext) {}

  /** Starts the process of every host. */
  startAll(): void {
    for (const host of this.context.deployment.hosts) this.start(host);
  }

  /** Starts the host's process, unless it runs. */
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
    const name = `${host}-${this.starts++}`;
    const controller = new version.Controller(runtime, this.observedLog(version), settings, name);
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
        controller.request(request.method, request.path, request.bytes, (answer) => {
          if (runtime.alive) respond({ status: answer.status, body: answer.body ?? null });
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

  /** The host that leads, as it believes itself. */
  get leader(): string | null {
    return this.leaders()[0] ?? null;
  }

  /** The hosts that lead, each as it believes itself. */
  leaders(): string[] {
    return [...this.processes]
      .filter(([, { controller }]) => controller.leads)
      .map(([host]) => host);
  }

  /** The hosts that answer workers, each as it believes that it holds the lease. */
  answeringWorkers(): string[] {
    return [...this.processes]
      .filter(([, { controller }]) => controller.mayAnswerWorkers)
      .map(([host]) => host);
  }

  /** The host's process ends, and starts again after so long. */
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

  /** The leader ends, and so do those who follow, each in the midst of its election; all are soon back. */
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

  /** The processes are restarted one after the other. */
  rollingRestart(intervalMs: number): void {
    for (const [index, host] of this.context.deployment.hosts.entries())
      this.context.clock.after(index * intervalMs, () => this.kill(host, ROLL_RESTART_MS));
  }

  /** The host's process freezes for a time. */
  freeze(host: string, ms: number): void {
    this.processes.get(host)?.runtime.freeze(ms);
  }
}
