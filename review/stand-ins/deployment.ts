/** A small deployment: controllers as separate processes, and stand-ins for all that they talk to. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parse } from 'smol-toml';
import { call, encodeBody, freeAddresses, type Fields, type Reply } from './cbor-http.js';
import { Cloud, type Model } from './cloud.js';
import { StateService, type StateLimits } from './state-service.js';
import { sleep, Worker, type WorkerWorld } from './worker.js';

/** Settings of the deployment, with the names of the settings file where they have one. */
export interface Site {
  zones: string[];
  controllers: number;
  models: Model[];
  maxKilns: number;
  teams: string;
  workers: {
    reportS: number;
    leaseS: number;
    gangWaitS: number;
    gangPeerS: number;
    cancelS: number;
  };
  state: StateLimits;
  /** The limits of `params.state.next`, if the state service announces any. */
  stateNext: StateLimits | null;
  /** Changes that the state service has counted before. */
  ledger: number;
  cloud: { rps: number; listLagS: number };
  quota: { cores: number; ramMb: number; fdLimit: number };
}

/** Longest time that a user waits for the response to a submission. */
const SUBMIT_TIMEOUT_MS = 5000;
/** Longest time that a user waits for the response to a poll. */
const POLL_TIMEOUT_MS = 2000;
const RETRY_MS = 1000;
const READY_TIMEOUT_MS = 20_000;

function stateToml(name: string, { rps, writeRps, valueKb, txnOps }: StateLimits): string {
  return `
[${name}]
rps = ${rps.toFixed(1)}
write_rps = ${writeRps.toFixed(1)}
value_kb = ${valueKb.toFixed(1)}
txn_ops = ${txnOps}
`;
}

/** What was sent, answered and run, one line an event. */
export class Record {
  private readonly lines: string[] = [];
  private readonly startedAt = performance.now();

  constructor(private readonly file: string) {}

  /** Seconds since the start of the case. */
  get now(): number {
    return (performance.now() - this.startedAt) / 1000;
  }

  add(text: string): void {
    this.lines.push(`${this.now.toFixed(2).padStart(7)} ${text}`);
  }

  save(): void {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

export class Deployment implements WorkerWorld {
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly controllers: { host: string; address: string }[] = [];
  readonly times: { reportS: number; leaseS: number };
  readonly jobs: WorkerWorld['jobs'] = new Map();
  readonly doneDuties = new Set<string>();
  /** The machines on which each task is at present. */
  readonly placements = new Map<string, Set<string>>();
  /** Tasks that started on one machine while they were on another. */
  readonly ranTwice: string[] = [];
  reported: WorkerWorld['reported'] = () => undefined;
  leasesExpired = 0;
  private rejections = 0;
  private isStopped = false;
  starts = 0;
  private readonly processes = new Map<string, ChildProcess>();
  private readonly agent = new http.Agent({ keepAlive: true });
  private readonly directory = mkdtempSync(join(tmpdir(), 'review-'));

  constructor(
    private readonly root: string,
    private readonly site: Site,
    readonly record: Record,
  ) {
    this.times = site.workers;
    this.state = new StateService(site.state, site.ledger);
    this.cloud = new Cloud(site.models, site.maxKilns, async (kiln) => {
      const worker = new Worker(kiln, this);
      const address = await worker.start();
      record.add(`machine ${kiln.id} ${kiln.model.name} is up at ${address}`);
      return { address, end: () => worker.end() };
    });
  }

  // ---- processes

  async start(): Promise<void> {
    await this.state.start();
    await this.cloud.start();
    const count = this.site.controllers;
    const addresses = await freeAddresses(2 * count);
    for (let i = 0; i < count; i++)
      this.controllers.push({ host: `kiln-${i}`, address: addresses[i] ?? '' });
    const internal = addresses.slice(count);
    this.controllers.forEach(({ host }, i) => {
      writeFileSync(join(this.directory, `${host}.toml`), this.settings(i, internal));
      this.startController(host);
    });
    await this.waitUntilReady();
  }

  /** Starts a controller with the `run` command of the deploy file. */
  startController(host: string): void {
    if (this.isStopped) return;
    const deploy = parse(readFileSync(join(this.root, 'deploy/service.toml'), 'utf8'));
    const [program = '', ...words] = (deploy['run'] as string).split(' ');
    const child = spawn(program, [...words, join(this.directory, `${host}.toml`)], {
      cwd: this.root,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    child.stderr.on('data', (text: Buffer) => {
      for (const line of text.toString().split('\n')) this.logLine(host, line);
    });
    child.on('exit', (code, signal) => {
      this.record.add(`controller ${host} ended: ${signal ?? code}`);
    });
    this.processes.set(host, child);
    this.record.add(`controller ${host} started, process ${child.pid}`);
  }

  /** Records the lines that tell about leadership, and all warnings and errors. */
  private logLine(host: string, line: string): void {
    const isNotable = /"level":[45]0|leader|lease renewed|recovered/.test(line);
    const isRepeated = line.includes('rejected a transaction') && ++this.rejections > 20;
    if (isNotable && !isRepeated) this.record.add(`log of ${host}: ${line.slice(0, 400)}`);
  }

  signal(host: string, signal: NodeJS.Signals): void {
    this.record.add(`${signal} to controller ${host}`);
    this.processes.get(host)?.kill(signal);
  }

  /** Whether all controllers that were started are still running. */
  get allRunning(): boolean {
    return [...this.processes.values()].every(
      ({ exitCode, signalCode }) => exitCode === null && signalCode === null,
    );
  }

  /** Ends all processes, waits until they are gone, and removes the temporary folder. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(
      [...this.processes.values()].map(async (child) => {
        if (child.exitCode !== null || child.signalCode !== null) return;
        child.kill('SIGKILL');
        await once(child, 'exit');
      }),
    );
    rmSync(this.directory, { recursive: true, force: true });
  }

  private settings(index: number, internal: readonly string[]): string {
    const { zones, controllers, teams, workers, state, stateNext, cloud, quota } = this.site;
    const site = (i: number): string => JSON.stringify(zones[i % zones.length]);
    const peers = this.controllers
      .map(({ host }, i) =>
        i === index
          ? ''
          : `[[peers]]\nhost_name = "${host}"\nsite = ${site(i)}\naddr = "${internal[i] ?? ''}"\n`,
      )
      .join('');
    return `
host_name = "${this.controllers[index]?.host ?? ''}"
site = ${site(index)}
api_addr = "${this.controllers[index]?.address ?? ''}"
internal_addr = "${internal[index] ?? ''}"
${peers}
[services]
cloud = "${this.cloud.address}"
state = "${this.state.address}"
[params]
count = ${controllers}
zones = ${JSON.stringify(zones)}
time_bound_ms = 100.0
${teams}
[params.workers]
report_s = ${workers.reportS.toFixed(1)}
lease_s = ${workers.leaseS.toFixed(1)}
gang_wait_s = ${workers.gangWaitS.toFixed(1)}
gang_peer_s = ${workers.gangPeerS.toFixed(1)}
cancel_s = ${workers.cancelS.toFixed(1)}
${stateToml('params.state', state)}
${stateNext === null ? '' : stateToml('params.state.next', stateNext)}
[params.cloud]
rps = ${cloud.rps.toFixed(1)}
list_lag_s = ${cloud.listLagS.toFixed(1)}
[params.quota]
cores = ${quota.cores}
ram_mb = ${quota.ramMb.toFixed(1)}
fd_limit = ${quota.fdLimit}
`;
  }

  private async waitUntilReady(): Promise<void> {
    const limit = performance.now() + READY_TIMEOUT_MS;
    for (const { host, address } of this.controllers)
      for (;;) {
        const { status } = await call(this.agent, address, 'GET', '/ready', null, 1000);
        if (status === 200) break;
        if (performance.now() > limit) throw new Error(`${host} does not become ready`);
        await sleep(100);
      }
    this.record.add('all controllers are ready');
  }

  // ---- users

  private request(node: number, method: string, path: string, body: Fields | null): Promise<Reply> {
    const address = this.controllers[node % this.controllers.length]?.address ?? '';
    const bytes = body === null ? null : encodeBody(body);
    const timeoutMs = path === '/submissions' ? SUBMIT_TIMEOUT_MS : POLL_TIMEOUT_MS;
    return call(this.agent, address, method, path, bytes, timeoutMs);
  }

  /** Submits a job until it is accepted or refused, for at most 60 s; returns the last status. */
  async submit(fields: Fields, runS: number): Promise<number> {
    const id = String(fields['id']);
    this.jobs.set(id, { fields, runS });
    const limit = performance.now() + 60_000;
    for (let node = 0; ; node++) {
      const { status } = await this.request(node, 'POST', '/submissions', fields);
      this.record.add(`submission ${id} at node ${node % this.controllers.length}: ${status}`);
      const isFinal = [200, 201, 400, 422].includes(status);
      if (isFinal || performance.now() > limit) return status;
      await sleep(RETRY_MS);
    }
  }

  /** Asks for the status of a job at one node. */
  async poll(id: string, node: number): Promise<Reply> {
    const reply = await this.request(node, 'GET', `/submissions/${id}`, null);
    const { status, done, running } = reply.body as {
      status?: string;
      done?: number;
      running?: number;
    };
    this.record.add(
      `poll ${id} at node ${node % this.controllers.length}: ${reply.status} ${status ?? ''} done=${done ?? '-'} running=${running ?? '-'}`,
    );
    return reply;
  }

  /** Asks to cancel a job at one node. */
  async cancel(id: string, node: number): Promise<Reply> {
    const reply = await this.request(node, 'POST', `/submissions/${id}/abort`, {});
    this.record.add(
      `cancellation of ${id} at node ${node % this.controllers.length}: ${reply.status} ${JSON.stringify(reply.body['status'])}`,
    );
    return reply;
  }

  // ---- tasks

  started = (duty: string, attempt: bigint, kiln: string): void => {
    this.starts++;
    const machines = this.placements.get(duty) ?? new Set();
    const others = [...machines].filter((machine) => machine !== kiln);
    if (others.length > 0) {
      this.ranTwice.push(duty);
      this.record.add(`RAN TWICE ${duty} starts on ${kiln} while on ${others.join()}`);
    }
    this.placements.set(duty, machines.add(kiln));
    this.record.add(`${duty} try ${attempt} starts on ${kiln}`);
  };

  ended = (duty: string, attempt: bigint, kiln: string, cause: string): void => {
    this.placements.get(duty)?.delete(kiln);
    this.record.add(`${duty} try ${attempt} ends on ${kiln}: ${cause}`);
  };

  expired = (kiln: string, tenure: number, lost: number): void => {
    this.leasesExpired++;
    this.record.add(`lease of ${kiln} expires, session ${tenure}, ${lost} tasks lost`);
  };
}
