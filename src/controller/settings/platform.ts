import { parse } from 'smol-toml';

/** The settings that the platform hands over, checked. Unknown fields are ignored. */
export interface Platform {
  host: string;
  zone: string;
  api: string;
  internal: string;
  peers: { host: string; addr: string }[];
  cloud: string;
  state: string;
  clockBoundMs: number;
  teams: Team[];
  objectives: Objective[];
  workers: {
    reportS: number;
    leaseS: number;
    gangWaitS: number;
    gangPeerS: number;
    cancelS: number;
  };
  stateLimits: StateLimits;
  /** Limits that the state service will have from some moment on, without notice. */
  stateNext: StateLimits;
  cloudLimits: { rps: number; listLagS: number };
  quota: { cores: number; ramMb: number; sockets: number };
}

export interface StateLimits {
  rps: number;
  writeRps: number;
  valueKb: number;
  txnOps: number;
}

/** What is expected for a class; kinds that this version doesn't know are kept and not used. */
export interface Objective {
  kind: string;
  class: string | null;
  withinS: number | null;
  /** Of a due time. */
  times: number;
}

export interface Team {
  name: string;
  /** Guaranteed amounts. */
  cpus: number;
  gpus: number;
  /** Caps; 0 means none. */
  cpusMax: number;
  gpusMax: number;
}

export class SettingsError extends Error {}

type Table = Record<string, unknown>;

function table(parent: Table, name: string, path: string): Table {
  const v = parent[name];
  if (typeof v !== 'object' || v === null || Array.isArray(v))
    throw new SettingsError(`${path}${name}: expected a table`);
  return v as Table;
}

function tables(parent: Table, name: string, path: string): Table[] {
  const v = parent[name] ?? [];
  if (!Array.isArray(v)) throw new SettingsError(`${path}${name}: expected a list of tables`);
  return v.map((x: unknown, i) => table({ [i]: x }, String(i), `${path}${name}.`));
}

function str(parent: Table, name: string, path: string): string {
  const v = parent[name];
  if (typeof v !== 'string' || v === '')
    throw new SettingsError(`${path}${name}: expected a non-empty text`);
  return v;
}

function addr(parent: Table, name: string, path: string): string {
  const v = str(parent, name, path);
  const m = /^\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})$/.exec(v);
  if (m === null || Number(m[1]) > 65535)
    throw new SettingsError(`${path}${name}: expected an address such as 10.0.0.1:8080`);
  return v;
}

function num(parent: Table, name: string, path: string, min: number, fallback?: number): number {
  const v = parent[name] ?? fallback;
  const n = typeof v === 'bigint' ? Number(v) : v;
  if (typeof n !== 'number' || !Number.isFinite(n) || n < min)
    throw new SettingsError(`${path}${name}: expected a number of at least ${min}`);
  return n;
}

function readStateLimits(from: Table, path: string, others?: StateLimits): StateLimits {
  return {
    rps: num(from, 'rps', path, 1, others?.rps),
    writeRps: num(from, 'write_rps', path, 1, others?.writeRps),
    valueKb: num(from, 'value_kb', path, 1, others?.valueKb),
    txnOps: num(from, 'txn_ops', path, 2, others?.txnOps),
  };
}

/** Caps of a team are 0, which means none, or not below what it is guaranteed. */
function checkTeam(team: Team, path: string): void {
  if (team.cpusMax > 0 && team.cpusMax < team.cpus)
    throw new SettingsError(`${path}cpus_max: ${team.cpusMax} is below cpus ${team.cpus}`);
  if (team.gpusMax > 0 && team.gpusMax < team.gpus)
    throw new SettingsError(`${path}gpus_max: ${team.gpusMax} is below gpus ${team.gpus}`);
}

/** Ends the start where figures that are each in range contradict one another. */
function checkConsistency(platform: Platform): void {
  const { reportS, leaseS } = platform.workers;
  if (leaseS <= reportS)
    throw new SettingsError(
      `params.workers.lease_s: ${leaseS} is not above report_s ${reportS}: every lease would run out`,
    );
  platform.teams.forEach((team, i) => checkTeam(team, `params.teams.${i}.`));
  const names = [platform.host];
  platform.peers.forEach(({ host }, i) => {
    if (names.includes(host))
      throw new SettingsError(`peers.${i}.host_name: ${host} is named twice`);
    names.push(host);
  });
}

export function readPlatform(source: string): Platform {
  const platform = parsePlatform(source);
  checkConsistency(platform);
  return platform;
}

function parsePlatform(source: string): Platform {
  let root: Table;
  try {
    root = parse(source);
  } catch (err) {
    const first = (err instanceof Error ? err.message : String(err)).split('\n', 1)[0] ?? '';
    throw new SettingsError(`not TOML: ${first}`);
  }
  const services = table(root, 'services', '');
  const params = table(root, 'params', '');
  const workers = table(params, 'workers', 'params.');
  const state = table(params, 'state', 'params.');
  const cloud = table(params, 'cloud', 'params.');
  const quota = table(params, 'quota', 'params.');
  const w = 'params.workers.';
  const stateLimits = readStateLimits(state, 'params.state.');
  const next = state['next'] === undefined ? {} : table(state, 'next', 'params.state.');
  return {
    host: str(root, 'host_name', ''),
    zone: str(root, 'site', ''),
    api: addr(root, 'api_addr', ''),
    internal: addr(root, 'internal_addr', ''),
    peers: tables(root, 'peers', '').map((p, i) => ({
      host: str(p, 'host_name', `peers.${i}.`),
      addr: addr(p, 'addr', `peers.${i}.`),
    })),
    cloud: addr(services, 'cloud', 'services.'),
    state: addr(services, 'state', 'services.'),
    clockBoundMs: num(params, 'time_bound_ms', 'params.', 0, 1000),
    teams: tables(params, 'teams', 'params.').map((t, i) => ({
      name: str(t, 'name', `params.teams.${i}.`),
      cpus: num(t, 'cpus', `params.teams.${i}.`, 0, 0),
      gpus: num(t, 'gpus', `params.teams.${i}.`, 0, 0),
      cpusMax: num(t, 'cpus_max', `params.teams.${i}.`, 0, 0),
      gpusMax: num(t, 'gpus_max', `params.teams.${i}.`, 0, 0),
    })),
    objectives: tables(params, 'objectives', 'params.').map((o, i) => ({
      kind: str(o, 'kind', `params.objectives.${i}.`),
      class: typeof o['class'] === 'string' ? o['class'] : null,
      withinS: typeof o['within_s'] === 'number' ? o['within_s'] : null,
      times: typeof o['times'] === 'number' ? o['times'] : 1,
    })),
    workers: {
      reportS: num(workers, 'report_s', w, 0.1),
      leaseS: num(workers, 'lease_s', w, 1),
      gangWaitS: num(workers, 'gang_wait_s', w, 1),
      gangPeerS: num(workers, 'gang_peer_s', w, 0.1),
      cancelS: num(workers, 'cancel_s', w, 1),
    },
    stateLimits,
    stateNext: readStateLimits(next, 'params.state.next.', stateLimits),
    cloudLimits: {
      rps: num(cloud, 'rps', 'params.cloud.', 0.1),
      listLagS: num(cloud, 'list_lag_s', 'params.cloud.', 0, 0),
    },
    quota: {
      cores: num(quota, 'cores', 'params.quota.', 0.01, 1),
      ramMb: num(quota, 'ram_mb', 'params.quota.', 32, 256),
      sockets: num(quota, 'fd_limit', 'params.quota.', 16, 1024),
    },
  };
}
