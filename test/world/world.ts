import type { Controller } from '../../src/controller/controller.js';
import type { Logger } from '../../src/controller/core/env.js';
import type { StateLimits, Team } from '../../src/controller/settings/platform.js';
import type { MachineType } from '../../src/controller/wire/cloud.js';
import { writeJob, type JobSpec } from '../../src/controller/wire/jobs.js';
import { oneOf } from '../platform.js';
import { Happenings, observe } from './happenings.js';
import { Cloud, Gangs, type Shared, type Worker } from './machines.js';
import { Rules } from './rules.js';
import type { Scenario } from './scenario.js';
import { Network, ProcessEnv, Sim } from './sim.js';
import { User, type Ask } from './users.js';
import { StateService } from './state-service.js';
import { present, type Version } from './version.js';

const quiet: Logger = {
  info: () => undefined,
  debug: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

interface Process {
  controller: Controller;
  env: ProcessEnv;
}

export interface Faults {
  /** Mean time between faults in milliseconds; Infinity for a quiet day. */
  everyMs: number;
  doubled: number;
  errors: number;
  bootFails: number;
}

/** The controllers of a deployment with all that is around them, in virtual time. */
export class World {
  readonly sim: Sim;
  readonly net: Network;
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly rules: Rules;
  readonly shared: Shared;
  readonly happenings = new Happenings();
  /** Called with each line that a controller logs as information. */
  readonly onLog: ((text: string, fields: object) => void)[] = [];
  readonly errors: string[] = [];
  private readonly processes = new Map<string, Process>();
  private readonly peers = new Map<string, (bytes: Buffer) => void>();
  private readonly jobs = new Map<string, { spec: JobSpec; runMs: number }>();
  private readonly users = new Map<string, User>();
  private readonly teams: Team[];
  /** Limits that the state service will have, by the controllers' settings. */
  readonly limitsToCome: StateLimits;
  /** How often the controllers have logged each text. */
  readonly said = new Map<string, number>();
  /** The versions of the leaders, in the order of their elections. */
  readonly elected: Version[] = [];
  private starts = 0;
  private jobCount = 0;
  /** No new faults from then on. */
  private calm = false;

  constructor(
    private readonly scenario: Scenario,
    seed: number,
    private readonly faults: Faults,
    private readonly log: Logger = quiet,
    /** What a host's process runs; asked whenever one starts. */
    public versionOf: (host: string) => Version = () => present(),
  ) {
    this.sim = new Sim(seed);
    this.net = new Network(this.sim);
    this.net.doubled = faults.doubled;
    const { hosts, types } = scenario;
    const platform = oneOf(hosts, hosts[0] ?? '', scenario.platform);
    // Copies of old messages come up to several leases late.
    this.net.latestMs = platform.workers.leaseS * 3000;
    this.teams = platform.teams;
    this.limitsToCome = platform.stateNext;
    const { workers } = platform;
    this.rules = new Rules(this.teams, workers.cancelS * 1000, () => this.sim.now);
    this.state = new StateService(
      this.sim,
      this.net,
      platform.state,
      platform.stateLimits,
      scenario.page,
    );
    this.state.latestMs = workers.leaseS * 600;
    this.shared = {
      sim: this.sim,
      net: this.net,
      rules: this.rules,
      settings: {
        reportMs: workers.reportS * 1000,
        leaseMs: workers.leaseS * 1000,
        gangWaitMs: workers.gangWaitS * 1000,
        gangPeerMs: workers.gangPeerS * 1000,
      },
      controllers: hosts,
      apiOf: (h) => `10.0.0.${hosts.indexOf(h) + 1}:8080`,
      job: (id) => this.jobs.get(id)?.spec,
      runMs: (id) => this.jobs.get(id)?.runMs ?? 1000,
      gangs: new Gangs(this.sim),
      errors: faults.errors,
      happenings: this.happenings,
      leasesLost: 0,
      replicasEnded: 0,
    };
    this.cloud = new Cloud(
      this.shared,
      platform.cloud,
      types,
      scenario.capacity,
      platform.cloudLimits.listLagS * 1000,
      faults.bootFails,
    );
    for (const m of scenario.machines)
      for (let i = 0; i < m.count; i++) this.cloud.add(this.type(m.type), m.zone, m.spot, 100);
    observe(this);
    for (const h of hosts) this.startProcess(h);
    if (Number.isFinite(faults.everyMs)) this.nextFault();
  }

  private type(name: string): MachineType {
    const t = this.scenario.types.find((x) => x.name === name);
    if (t === undefined) throw new Error(name);
    return t;
  }

  // ---- processes

  private startProcess(host: string): void {
    if (this.processes.has(host)) return;
    const env = new ProcessEnv(this.sim, this.net, host, this.peers);
    const version = this.versionOf(host);
    const { hosts, platform } = this.scenario;
    const settings = new version.Settings(
      oneOf(hosts, host, platform, version.readPlatform),
      version.properties,
    );
    const log: Logger = {
      ...this.log,
      info: (fields, text) => {
        this.said.set(text, (this.said.get(text) ?? 0) + 1);
        if (text === 'elected leader') this.elected.push(version);
        for (const logged of this.onLog) logged(text, fields);
        this.log.info(fields, text);
      },
      error: (fields, text) => {
        const { err } = fields as { err?: Error };
        this.errors.push(`${text}: ${err?.stack ?? JSON.stringify(fields)}`);
      },
    };
    const controller = new version.Controller(env, log, settings, `${host}-${this.starts++}`);
    this.processes.set(host, { controller, env });
    this.peers.set(host, (bytes) => env.whenAwake(() => controller.peerFrame(bytes)));
    this.net.listen(this.shared.apiOf(host), host, (_, request, respond) => {
      env.whenAwake(() => {
        controller.request(request.method, request.path, request.bytes, (a) => {
          if (env.alive) respond({ status: a.status, body: a.body ?? null });
        });
      });
    });
    controller.start();
  }

  kill(host: string, restartMs: number): void {
    const p = this.processes.get(host);
    if (p === undefined) return;
    if (p.controller.leads && this.rules.everyTeamAtLimit)
      this.happenings.note('leader ended with every team at its limit');
    p.env.alive = false;
    this.processes.delete(host);
    this.peers.delete(host);
    this.net.remove(this.shared.apiOf(host));
    this.sim.after(restartMs, () => this.startProcess(host));
  }

  // ---- faults

  private nextFault(): void {
    this.sim.after(this.faults.everyMs * this.sim.between(0.3, 1.7), () => {
      if (this.calm) return;
      this.fault();
      this.nextFault();
    });
  }

  private cutFor(a: string, b: string, ms: number): void {
    this.net.cut(a, b, this.sim.random() < 0.5 ? 'hold' : 'reset');
    this.sim.after(ms, () => this.net.heal(a, b));
  }

  private fault(): void {
    const { sim } = this;
    const { hosts } = this.scenario;
    const host = sim.pick(hosts);
    const workers = this.cloud.up.filter((w) => !w.gone);
    const worker: Worker | undefined = workers.length > 0 ? sim.pick(workers) : undefined;
    const long = sim.between(1000, 45_000);
    const restart = sim.random() < 0.3 ? sim.between(100, 600) : 6000;
    switch (Math.floor(sim.between(0, 20))) {
      case 0:
        return this.kill(host, restart);
      case 1:
        for (const h of hosts) this.kill(h, restart);
        return;
      case 2:
        return this.state.outage(sim.between(1000, 30_000));
      case 3:
        return this.state.refuse(host, long);
      case 4:
        return this.cutFor(host, 'state', long);
      case 5:
        return this.cutFromWorkers(host, long);
      case 6:
        for (const h of hosts) if (h !== host) this.cutFor(host, h, long);
        return;
      case 7:
        if (worker !== undefined) for (const h of hosts) this.cutFor(h, worker.id, long);
        return;
      case 8:
        return worker?.hang(sim.between(1000, 60_000));
      case 9:
        return worker?.die();
      case 10:
        return worker?.restart(sim.between(100, 600));
      case 11:
        return this.deafen(worker, long);
      case 12:
        return this.isolate(host, long);
      case 13:
        return this.killElected();
      case 14:
        return this.freeze(host, long);
      case 15:
        return this.state.slow(long);
      case 16:
        return this.refusePeers(long);
      case 17:
        return this.cutMachines(0.3, long);
      case 18:
        return this.roll(sim.between(2000, 15_000));
      default:
        if (worker?.spot === true) {
          worker.warn(10_000);
          sim.after(10_000, () => this.cloud.take(worker.id));
        }
    }
  }

  /** The machine's reports arrive, but neither answers nor commands get to it. */
  deafen(worker: Worker | undefined, ms: number, mode?: 'hold' | 'reset'): void {
    if (worker === undefined) return;
    const { hosts } = this.scenario;
    for (const h of hosts)
      this.net.cutWay(h, worker.id, mode ?? (this.sim.random() < 0.5 ? 'hold' : 'reset'));
    this.sim.after(ms, () => {
      for (const h of hosts) this.net.heal(h, worker.id);
    });
  }

  /** What the machine says is held back, reports and answers; what it is told arrives. */
  hush(worker: Worker, ms: number): void {
    const { hosts } = this.scenario;
    for (const h of hosts) this.net.cutWay(worker.id, h, 'hold');
    this.sim.after(ms, () => {
      for (const h of hosts) this.net.heal(h, worker.id);
    });
  }

  /** A zone goes on by itself, with its workers and some controllers in it. */
  cutZone(zone: string, inside: readonly string[], ms: number): void {
    const { hosts } = this.scenario;
    const cut = (a: string, b: string): void => {
      this.net.cut(a, b, 'hold');
      this.sim.after(ms, () => this.net.heal(a, b));
    };
    for (const h of inside) {
      for (const other of ['state', 'user', 'cloud']) cut(h, other);
      for (const other of hosts) if (!inside.includes(other)) cut(h, other);
    }
    for (const w of this.workers)
      for (const h of hosts) if ((w.zone === zone) !== inside.includes(h)) cut(w.id, h);
  }

  /** The zone of a controller where the deployment spreads them over zones. */
  siteOf(host: string): string | undefined {
    return this.scenario.platform.sites[this.scenario.hosts.indexOf(host)];
  }

  /** Another controller than `host` can't lead: all others end, and are back after a time. */
  endAllBut(host: string, backMs: number): void {
    for (const h of this.scenario.hosts) if (h !== host) this.kill(h, backMs);
  }

  get hosts(): readonly string[] {
    return this.scenario.hosts;
  }

  get workers(): Worker[] {
    return this.cloud.up.filter((w) => !w.gone);
  }

  worker(id: string): Worker | undefined {
    return this.workers.find((w) => w.id === id);
  }

  /** A controller loses the state service and its peers, but not its workers. */
  isolate(host: string, ms: number): void {
    this.cutFor(host, 'state', ms);
    for (const h of this.scenario.hosts) if (h !== host) this.cutFor(host, h, ms);
  }

  /** A controller stands still. */
  freeze(host: string, ms: number): void {
    this.processes.get(host)?.env.freeze(ms);
  }

  /** The controllers are restarted one after the other. */
  roll(everyMs: number): void {
    for (const [i, h] of this.scenario.hosts.entries())
      this.sim.after(i * everyMs, () => this.kill(h, 6000));
  }

  /** Connections between controllers are refused. */
  refusePeers(ms: number): void {
    const { hosts } = this.scenario;
    for (const a of hosts) for (const b of hosts) if (a < b) this.net.cut(a, b, 'reset');
    this.sim.after(ms, () => {
      for (const a of hosts) for (const b of hosts) if (a < b) this.net.heal(a, b);
    });
  }

  private some(share: number): Worker[] {
    const up = this.cloud.up.filter((w) => !w.gone);
    return up.filter(() => this.sim.random() < share);
  }

  /** A share of the machines loses the network, and what was held back is delivered afterwards. */
  cutMachines(share: number, ms: number): void {
    for (const w of this.some(share)) this.cutMachine(w, ms);
  }

  /** A machine loses the network, and what was held back is delivered afterwards. */
  cutMachine(worker: Worker, ms: number): void {
    const { hosts } = this.scenario;
    for (const h of hosts) this.net.cut(h, worker.id, 'hold');
    this.sim.after(ms, () => {
      for (const h of hosts) this.net.heal(h, worker.id);
    });
  }

  /** Machines with tasks of the job. */
  workersOf(id: string): Worker[] {
    const names = this.rules.machinesOf(id);
    return this.workers.filter((w) => names.includes(w.id));
  }

  /** Many machines stop at once. */
  killMachines(share: number): void {
    for (const w of this.some(share)) w.die();
  }

  /** Spot machines are taken in a wave, without notice. */
  takeSpot(share: number, overMs: number): void {
    for (const w of this.some(share))
      if (w.spot) this.sim.after(this.sim.between(0, overMs), () => this.cloud.take(w.id));
  }

  /** Whether the host leads, as it believes itself. */
  leads(host: string): boolean {
    return this.processes.get(host)?.controller.leads === true;
  }

  /** The host that leads, as it believes itself. */
  get leader(): string | null {
    for (const [host, { controller }] of this.processes) if (controller.leads) return host;
    return null;
  }

  /** A controller loses every worker, but neither the state service nor its peers. */
  cutFromWorkers(host: string, ms: number): void {
    for (const w of this.cloud.up) if (!w.gone) this.cutFor(host, w.id, ms);
  }

  /** Replicas of services that ended by themselves. */
  get replicasEnded(): number {
    return this.shared.replicasEnded;
  }

  /** How often a worker's lease has run out. */
  get leasesLost(): number {
    return this.shared.leasesLost;
  }

  /** The leader ends, and so do those who follow, each in the midst of its election; all are soon back. */
  killElected(times = 4, overMs = 6000): void {
    const { sim } = this;
    let left = times;
    const again = (): void => {
      for (const [host, { controller }] of [...this.processes])
        if (controller.leads) this.kill(host, sim.between(50, 400));
      if (--left > 0) sim.after(sim.between(20, (2 * overMs) / times), again);
    };
    again();
  }

  // ---- users

  /** Users who repeat, cancel what is done, ask for what can't run or leave a field out. */
  oddRequests(ms: number): void {
    const { sim, rules } = this;
    const until = sim.now + ms;
    const again = (): void => {
      if (sim.now > until) return;
      sim.after(sim.between(300, 900), again);
      const known = rules.known();
      const id = known.length > 0 ? sim.pick(known) : '';
      const spec = this.jobs.get(id)?.spec;
      if (spec === undefined) return;
      if (rules.toldDone(id)) return this.cancel(id);
      if (sim.random() < 0.5) return this.users.get(id)?.repeat();
      const odd = writeJob({ ...spec, id: `req-odd-${this.jobCount++}` });
      if (sim.random() < 0.5) odd['cores'] = 1e6;
      else Reflect.deleteProperty(odd, sim.pick(['duties', 'loaners', 'scatter', 'expect_s']));
      this.ask('POST', '/submissions', odd, (status) => {
        if (status === 200 || status === 201) rules.acceptedOdd(String(odd['id']));
      });
    };
    again();
  }

  /** A job of a kind that this world can run, with what the caller wants of it. */
  job(part: Partial<JobSpec>): JobSpec {
    const { taskScale = 1 } = this.scenario;
    const job = { ...this.randomJob(), ...part };
    if (part.cpus !== undefined) job.cpus = part.cpus * taskScale;
    if (part.memoryGb !== undefined) job.memoryGb = part.memoryGb * taskScale;
    return job;
  }

  /** A random job of a kind that this world can run. */
  randomJob(): JobSpec {
    return this.scenario.job(this.sim, `req-${String(this.jobCount++).padStart(6, '0')}`);
  }

  /** For a time every user asks again as soon as there is an answer, or none, to the question before. */
  everyoneAsks(everyMs: number, ms: number): void {
    const until = this.sim.now + ms;
    const again = (): void => {
      for (const user of this.users.values()) user.askNow();
      if (this.sim.now + everyMs <= until) this.sim.after(everyMs, again);
    };
    again();
  }

  /** What the job's user has submitted. */
  specOf(id: string): JobSpec | undefined {
    return this.jobs.get(id)?.spec;
  }

  /** The job's user calls it off, at `host` where one is named. */
  cancel(id: string, host?: string): void {
    this.users.get(id)?.cancel(host);
  }

  /** A user who submits, polls and perhaps cancels one job. */
  user(spec: JobSpec, cancelAfterMs: number | null): void {
    const { sim } = this;
    const runMs =
      spec.kind === 'service'
        ? sim.between(20_000, 200_000)
        : spec.estimateS * 1000 * sim.between(0.4, 1.8);
    this.jobs.set(spec.id, { spec, runMs });
    const ask: Ask = (...args) => this.ask(...args);
    this.users.set(spec.id, new User(this.sim, this.rules, ask, spec, cancelAfterMs));
  }

  ask(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    done: (status: number, state: string) => void,
    host = this.sim.pick(this.scenario.hosts),
  ): void {
    if (this.state.inOutage) this.happenings.note('asked in an outage');
    this.net.call(
      'user',
      {
        to: this.shared.apiOf(host),
        method,
        path,
        timeoutMs: method === 'GET' ? 2000 : 5000,
        ...(body === undefined ? {} : { body }),
      },
      () => true,
      (r) => done(r.status, (r.body as { status?: string } | null)?.status ?? ''),
    );
  }

  /** From now on there are no new troubles; those under way end within the time given. */
  calmDown(ms: number): void {
    this.calm = true;
    this.sim.after(ms, () => {
      this.rules.calmAt = this.sim.now;
    });
  }

  /** Plays a day; the rules are checked after every step. */
  play(ms: number): void {
    let nextTick = 0;
    this.sim.run(this.sim.now + ms, () => {
      if (this.sim.now >= nextTick) {
        nextTick = this.sim.now + 1000;
        this.rules.tick();
        if (this.rules.calmAt !== null) this.rules.waiting(this.workers.map((w) => w.free));
      }
      if (this.rules.broken.length > 0 || this.errors.length > 0)
        throw new Error([...this.rules.broken, ...this.errors].join('\n'));
    });
  }
}
