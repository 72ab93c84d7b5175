/** The controllers under test: separate processes, started with the command of the deploy file. */
import { spawn, type ChildProcess } from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import { freePort } from './http.js';
import type { StateLimits } from './state-service.js';

export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

/** The settings of a deployment that a case chooses. */
export interface Site {
  controllers: number;
  teams: Team[];
  workers: {
    reportS: number;
    leaseS: number;
    gangWaitS: number;
    gangPeerS: number;
    cancelS: number;
  };
  state: StateLimits;
  /** Limits that the state service may have later; null if the settings name none. */
  nextState: StateLimits | null;
  cloud: { rps: number; listLagS: number };
  quota: { cores: number; ramMb: number; fdLimit: number };
}

export interface Controller {
  name: string;
  apiAddress: string;
  internalAddress: string;
  /** The TOML file of this controller. */
  settingsFile: string;
  logFile: string;
  process: ChildProcess | null;
}

function limitsToml({ rps, writeRps, valueKb, txnOps }: StateLimits): string {
  return `rps = ${rps.toFixed(1)}
write_rps = ${writeRps.toFixed(1)}
value_kb = ${valueKb.toFixed(1)}
txn_ops = ${txnOps}
`;
}

function teamToml({ name, cpus, cpusMax, gpus, gpusMax }: Team): string {
  return `[[params.teams]]
name = "${name}"
cpus = ${cpus.toFixed(1)}
cpus_max = ${cpusMax.toFixed(1)}
gpus = ${gpus.toFixed(1)}
gpus_max = ${gpusMax.toFixed(1)}

`;
}

function settingsToml(
  site: Site,
  own: Controller,
  all: readonly Controller[],
  services: { cloud: string; state: string },
): string {
  const peers = all
    .filter(({ name }) => name !== own.name)
    .map(({ name, internalAddress }) => {
      return `[[peers]]\nhost_name = "${name}"\nsite = "a"\naddr = "${internalAddress}"\n\n`;
    });
  const { workers, quota, cloud } = site;
  return `host_name = "${own.name}"
site = "a"
api_addr = "${own.apiAddress}"
internal_addr = "${own.internalAddress}"

${peers.join('')}[services]
cloud = "${services.cloud}"
state = "${services.state}"

[params]
count = ${all.length}
zones = ["a"]
time_bound_ms = 100.0

${site.teams.map(teamToml).join('')}[params.workers]
report_s = ${workers.reportS.toFixed(1)}
lease_s = ${workers.leaseS.toFixed(1)}
gang_wait_s = ${workers.gangWaitS.toFixed(1)}
gang_peer_s = ${workers.gangPeerS.toFixed(1)}
cancel_s = ${workers.cancelS.toFixed(1)}

[params.state]
${limitsToml(site.state)}
${site.nextState === null ? '' : `[params.state.next]\n${limitsToml(site.nextState)}\n`}[params.cloud]
rps = ${cloud.rps.toFixed(1)}
list_lag_s = ${cloud.listLagS.toFixed(1)}

[params.quota]
cores = ${quota.cores}
ram_mb = ${quota.ramMb.toFixed(1)}
fd_limit = ${quota.fdLimit}
`;
}

/** Reads the program and its arguments from the deploy file. */
function runCommand(): string[] {
  const deploy = fs.readFileSync('deploy/service.toml', 'utf8');
  const run = /^run = "(.*)"$/m.exec(deploy)?.[1];
  if (run === undefined) throw new Error('no run command in the deploy file');
  return run.split(' ');
}

/** All controllers of a deployment. `stop` must be called at the end. */
export class Controllers {
  readonly list: Controller[] = [];

  constructor(
    private readonly folder: string,
    private readonly note: (text: string) => void,
  ) {}

  /** @param services the address of the cloud, and that of the state service for each controller in turn */
  async create(site: Site, services: { cloud: string; state: string[] }): Promise<void> {
    for (let i = 0; i < site.controllers; i++) {
      const name = `kiln-${i}`;
      this.list.push({
        name,
        apiAddress: `127.0.0.1:${await freePort()}`,
        internalAddress: `127.0.0.1:${await freePort()}`,
        settingsFile: path.join(this.folder, `${name}.toml`),
        logFile: path.join(this.folder, `${name}.log`),
        process: null,
      });
    }
    for (const [index, controller] of this.list.entries()) {
      const state = services.state[index % services.state.length] ?? '';
      const { cloud } = services;
      const settings = settingsToml(site, controller, this.list, { cloud, state });
      fs.writeFileSync(controller.settingsFile, settings);
    }
  }

  start(controller: Controller): void {
    const [program = '', ...args] = runCommand();
    const log = fs.openSync(controller.logFile, 'a');
    controller.process = spawn(program, [...args, controller.settingsFile], {
      stdio: ['ignore', 'ignore', log],
    });
    fs.closeSync(log);
    const { name, process: child } = controller;
    this.note(`${name}: started, pid ${child.pid ?? 0}`);
    child.on('exit', (code, signal) => {
      this.note(`${name}: ended, code ${code ?? '-'}, signal ${signal ?? '-'}`);
    });
  }

  /** Kills a controller and waits for its end. */
  async kill(controller: Controller): Promise<void> {
    const { process: child } = controller;
    if (child?.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise<void>((resolve) => child.once('exit', () => resolve()));
    child.kill('SIGKILL');
    await ended;
  }

  async stop(): Promise<void> {
    for (const controller of this.list) await this.kill(controller);
  }

  /** Number of lines in a controller's log that contain the text. */
  countInLog({ logFile }: Controller, text: string): number {
    const log = fs.existsSync(logFile) ? fs.readFileSync(logFile, 'utf8') : '';
    return log.split('\n').filter((line) => line.includes(text)).length;
  }
}
