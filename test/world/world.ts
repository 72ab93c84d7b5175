import { Controller } from '../../src/controller/controller.js';
import type { Logger } from '../../src/controller/core/env.js';
import { readPlatform, type Platform, type Team } from '../../src/controller/settings/platform.js';
import { defaultProperties } from '../../src/controller/settings/properties.js';
import { Settings } from '../../src/controller/settings/settings.js';
import { decodeBody, encodeBody } from '../../src/controller/wire/cbor.js';
import type { MachineType } from '../../src/controller/wire/cloud.js';
import { writeJob, type JobSpec } from '../../src/controller/wire/jobs.js';
import { platformToml } from '../platform.js';
import { Cloud, Gangs, type Shared, type Worker } from './machines.js';
import { Rules } from './rules.js';
import { Network, ProcessEnv, Sim } from './sim.js';
import { StateService } from './state-service.js';

export const hosts = ['kiln-0', 'kiln-1', 'kiln-2'];

const types: MachineType[] = [
  {
    name: 'big',
    cpus: 16,
    gpus: 4,
    memoryGb: 128,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 8,
    spotPrice: 3,
    bootS: 15,
    zones: ['a', 'b'],
  },
  {
    name: 'small',
    cpus: 8,
    gpus: 0,
    memoryGb: 32,
    cacheGb: 20,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.4,
    bootS: 10,
    zones: ['a', 'b'],
  },
];

const teams = `
[[params.teams]]
name = "red"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 12.0
[[params.teams]]
name = "blue"
cpus = 8.0
cpus_max = 40.0
gpus = 4.0
gpus_max = 16.0
`;

function platformOf(host: string): Platform {
  const addr = (h: string, port: number): string => `10.0.0.${hosts.indexOf(h) + 1}:${port}`;
  const peers = hosts
    .filter((h) => h !== host)
    .map((h) => `[[peers]]\nhost_name = "${h}"\nsite = "a"\naddr = "${addr(h, 8081)}"\n`);
  const head = [
    `host_name = "${host}"`,
    'site = "a"',
    `api_addr = "${addr(host, 8080)}"`,
    `internal_addr = "${addr(host, 8081)}"`,
    ...peers,
  ];
  return readPlatform(platformToml(head.join('\n'), teams));
}

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

/** Three controllers with all that is around them, in virtual time. */
export class World {
  readonly sim: Sim;
  readonly net: Network;
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly rules: Rules;
  readonly shared: Shared;
  readonly errors: string[] = [];
  private readonly processes = new Map<string, Process>();
  private readonly peers = new Map<string, (bytes: Buffer) => void>();
  private readonly jobs = new Map<string, { spec: JobSpec; runMs: number }>();
  private readonly teams: Team[];
  private starts = 0;
  private jobCount = 0;
  /** No new faults from then on. */
  calm = false;

  constructor(
    seed: number,
    private readonly faults: Faults,
    private readonly log: Logger = quiet,
  ) {
    this.sim = new Sim(seed);
    this.net = new Network(this.sim);
    this.net.doubled = faults.doubled;
    const platform = platformOf('kiln-0');
    this.teams = platform.teams;
    const { workers } = platform;
    this.rules = new Rules(this.teams, workers.cancelS * 1000, () => this.sim.now);
    this.state = new StateService(this.sim, this.net, platform.state, platform.stateLimits);
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
    };
    this.cloud = new Cloud(
      this.shared,
      platform.cloud,
      types,
      16,
      platform.cloudLimits.listLagS * 1000,
      faults.bootFails,
    );
    for (const zone of ['a', 'b']) {
      for (let i = 0; i < 2; i++) this.cloud.add(this.type('big'), zone, false, 100);
      this.cloud.add(this.type('small'), zone, false, 100);
    }
    for (const h of hosts) this.startProcess(h);
    if (Number.isFinite(faults.everyMs)) this.nextFault();
  }

  private type(name: string): MachineType {
    const t = types.find((x) => x.name === name);
    if (t === undefined) throw new Error(name);
    return t;
  }

  // ---- processes

  private startProcess(host: string): void {
    if (this.processes.has(host)) return;
    const env = new ProcessEnv(this.sim, this.net, host, this.peers);
    const settings = new Settings(platformOf(host), defaultProperties());
    const log: Logger = {
      ...this.log,
      error: (fields, text) => {
        const { err } = fields as { err?: Error };
        this.errors.push(`${text}: ${err?.stack ?? JSON.stringify(fields)}`);
      },
    };
    const controller = new Controller(env, log, settings, `${host}-${this.starts++}`);
    this.processes.set(host, { controller, env });
    this.peers.set(host, (bytes) => controller.peerFrame(bytes));
    this.net.listen(this.shared.apiOf(host), host, (_, call, respond) => {
      const body = call.body === undefined ? Buffer.alloc(0) : encodeBody(call.body);
      controller.request(call.method, call.path, body, (a) => {
        if (!env.alive) return;
        const out = a.body === undefined ? null : decodeBody(encodeBody(a.body));
        respond({ status: a.status, body: out });
      });
    });
    controller.start();
  }

  kill(host: string, restartMs: number): void {
    const p = this.processes.get(host);
    if (p === undefined) return;
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
    const host = sim.pick(hosts);
    const workers = this.cloud.up.filter((w) => !w.gone);
    const worker: Worker | undefined = workers.length > 0 ? sim.pick(workers) : undefined;
    const long = sim.between(1000, 45_000);
    const restart = sim.random() < 0.3 ? sim.between(100, 600) : 6000;
    switch (Math.floor(sim.between(0, 11))) {
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
        for (const w of workers) this.cutFor(host, w.id, long);
        return;
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
      default:
        if (worker?.spot === true) {
          worker.warn(10_000);
          sim.after(10_000, () => this.cloud.take(worker.id));
        }
    }
  }

  // ---- users

  /** A random job of a kind that this world can run. */
  randomJob(): JobSpec {
    const { sim } = this;
    const gang = sim.random() < 0.5;
    const team = sim.pick(['red', 'blue']);
    const gpus = gang ? sim.pick([1, 2, 4]) : sim.pick([0, 0, 1]);
    const tasks = gang ? sim.pick([1, 2, 3]) : sim.pick([1, 3, 10]);
    const twoZones = tasks > 1 && sim.random() < 0.3;
    return {
      id: `req-${String(this.jobCount++).padStart(6, '0')}`,
      class: gang ? 'train' : 'batch',
      team,
      kind: gang ? 'gang' : 'array',
      priority: sim.pick(['low', 'normal', 'normal', 'high']),
      tasks,
      cpus: sim.pick([1, 2, 4]),
      gpus,
      memoryGb: sim.pick([1, 4, 8]),
      image: sim.pick(['img-1', 'img-2', 'img-3']),
      imageGb: sim.pick([1, 3]),
      types: sim.random() < 0.2 ? ['big'] : null,
      zone: !twoZones && sim.random() < 0.1 ? 'a' : null,
      oneZone: !twoZones && gang && sim.random() < 0.5,
      spread: twoZones,
      spot: sim.random() < 0.5,
      estimateS: 20,
      checkpointS: gang ? 10 : 0,
      saveS: gang ? 2 : 0,
      deadlineS: sim.random() < 0.3 ? 100 : null,
    };
  }

  /** A user who submits, polls and perhaps cancels one job, one request at a time. */
  user(spec: JobSpec, cancelAfterMs: number | null): void {
    this.jobs.set(spec.id, { spec, runMs: spec.estimateS * 1000 * this.sim.between(0.4, 1.8) });
    const start = this.sim.now;
    let accepted = false;
    let asked = false;
    const body = writeJob(spec);
    this.rules.submitted(spec);
    const step = (): void => {
      const cancel = accepted && cancelAfterMs !== null && this.sim.now > start + cancelAfterMs;
      // Now and then the submission is repeated long after it was accepted.
      const submit = !accepted || (!cancel && this.sim.random() < 0.1);
      const path = submit ? '/submissions' : `/submissions/${spec.id}${cancel ? '/abort' : ''}`;
      if (cancel && !asked) {
        asked = true;
        this.rules.cancelAsked(spec.id);
      }
      this.ask(
        submit || cancel ? 'POST' : 'GET',
        path,
        submit ? body : undefined,
        (status, state) => {
          this.rules.answered(spec.id, status, state, submit);
          if (status === 200 || status === 201) accepted = true;
          const end = state === 'done' || state === 'aborted';
          this.sim.after(end ? this.sim.between(10_000, 40_000) : accepted ? 4000 : 1200, step);
        },
      );
    };
    step();
  }

  ask(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    done: (status: number, state: string) => void,
  ): void {
    this.net.call(
      'user',
      {
        to: this.shared.apiOf(this.sim.pick(hosts)),
        method,
        path,
        timeoutMs: method === 'GET' ? 2000 : 5000,
        ...(body === undefined ? {} : { body }),
      },
      () => true,
      (r) => done(r.status, (r.body as { status?: string } | null)?.status ?? ''),
    );
  }

  /** Plays a day; the rules are checked after every step. */
  play(ms: number): void {
    let nextTick = 0;
    this.sim.run(this.sim.now + ms, () => {
      if (this.sim.now >= nextTick) {
        nextTick = this.sim.now + 1000;
        this.rules.tick();
      }
      if (this.rules.broken.length > 0 || this.errors.length > 0)
        throw new Error([...this.rules.broken, ...this.errors].join('\n'));
    });
  }
}
