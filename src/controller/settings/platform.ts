/** The settings that the platform hands to each controller, as TOML. */
import { parse } from 'smol-toml';

/** The settings that the platform hands over, checked. Unknown fields are ignored. */
export interface Platform {
  host: string;
  zone: string;
  apiAddr: string;
  internalAddr: string;
  peers: { host: string; addr: string }[];
  cloudAddr: string;
  stateStoreAddr: string;
  clockBoundMs: number;
  teams: Team[];
  objectives: Objective[];
  workers: {
    heartbeatIntervalS: number;
    leaseS: number;
    gangFetchWaitS: number;
    gangPeerExitS: number;
    cancelDeadlineS: number;
  };
  stateLimits: StateLimits;
  /** Limits that the state service will have from some moment on, without notice. */
  upcomingStateLimits: StateLimits;
  cloudLimits: { rps: number; listLagS: number };
  quota: { cpus: number; ramMb: number; maxSockets: number };
}

/** What the state service takes: calls and writes a second, and the size of what is written. */
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
  deadlineFactor: number;
}

/** A team's guaranteed share of the cluster, and its caps. */
export interface Team {
  name: string;
  /** Guaranteed amounts. */
  guaranteedCpus: number;
  guaranteedGpus: number;
  /** Caps; 0 means none. */
  maxCpus: number;
  maxGpus: number;
}

/** Settings that can't be used; the message names the field. */
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
  if (team.maxCpus > 0 && team.maxCpus < team.guaranteedCpus)
    throw new SettingsError(
      `${path}cpus_max: ${team.maxCpus} is below cpus ${team.guaranteedCpus}`,
    );
  if (team.maxGpus > 0 && team.maxGpus < team.guaranteedGpus)
    throw new SettingsError(
      `${path}gpus_max: ${team.maxGpus} is below gpus ${team.guaranteedGpus}`,
    );
}

/** Ends the start where figures that are each in range contradict one another. */
function checkConsistency(platform: Platform): void {
  const { heartbeatIntervalS, leaseS } = platform.workers;
  if (leaseS <= heartbeatIntervalS)
    throw new SettingsError(
      `params.workers.lease_s: ${leaseS} is not above report_s ${heartbeatIntervalS}: every lease would run out`,
    );
  platform.teams.forEach((team, i) => checkTeam(team, `params.teams.${i}.`));
  const names = [platform.host];
  platform.peers.forEach(({ host }, i) => {
    if (names.includes(host))
      throw new SettingsError(`peers.${i}.host_name: ${host} is named twice`);
    names.push(host);
  });
}

function parseToml(source: string): Table {
  try {
    return parse(source);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new SettingsError(`not TOML: ${message.split('\n', 1)[0] ?? ''}`);
  }
}

function readTeam(from: Table, path: string): Team {
  return {
    name: str(from, 'name', path),
    guaranteedCpus: num(from, 'cpus', path, 0, 0),
    guaranteedGpus: num(from, 'gpus', path, 0, 0),
    maxCpus: num(from, 'cpus_max', path, 0, 0),
    maxGpus: num(from, 'gpus_max', path, 0, 0),
  };
}

function readObjective(from: Table, path: string): Objective {
  const { class: className, within_s: withinS, times } = from;
  return {
    kind: str(from, 'kind', path),
    class: typeof className === 'string' ? className : null,
    withinS: typeof withinS === 'number' ? withinS : null,
    deadlineFactor: typeof times === 'number' ? times : 1,
  };
}

function readWorkers(from: Table, path: string): Platform['workers'] {
  return {
    heartbeatIntervalS: num(from, 'report_s', path, 0.1),
    leaseS: num(from, 'lease_s', path, 1),
    gangFetchWaitS: num(from, 'gang_wait_s', path, 1),
    gangPeerExitS: num(from, 'gang_peer_s', path, 0.1),
    cancelDeadlineS: num(from, 'cancel_s', path, 1),
  };
}

function readCloudLimits(from: Table, path: string): Platform['cloudLimits'] {
  return { rps: num(from, 'rps', path, 0.1), listLagS: num(from, 'list_lag_s', path, 0, 0) };
}

function readQuota(from: Table, path: string): Platform['quota'] {
  return {
    cpus: num(from, 'cores', path, 0.01, 1),
    ramMb: num(from, 'ram_mb', path, 32, 256),
    maxSockets: num(from, 'fd_limit', path, 16, 1024),
  };
}

/** Reads the platform's settings; throws a SettingsError that names the field at fault. */
export function readPlatform(source: string): Platform {
  const platform = parsePlatform(source);
  checkConsistency(platform);
  return platform;
}

function parsePlatform(source: string): Platform {
  const root = parseToml(source);
  const services = table(root, 'services', '');
  const params = table(root, 'params', '');
  const workers = table(params, 'workers', 'params.');
  const state = table(params, 'state', 'params.');
  const cloud = table(params, 'cloud', 'params.');
  const quota = table(params, 'quota', 'params.');
  const stateLimits = readStateLimits(state, 'params.state.');
  const next = state['next'] === undefined ? {} : table(state, 'next', 'params.state.');
  return {
    host: str(root, 'host_name', ''),
    zone: str(root, 'site', ''),
    apiAddr: addr(root, 'api_addr', ''),
    internalAddr: addr(root, 'internal_addr', ''),
    peers: tables(root, 'peers', '').map((peer, index) => ({
      host: str(peer, 'host_name', `peers.${index}.`),
      addr: addr(peer, 'addr', `peers.${index}.`),
    })),
    cloudAddr: addr(services, 'cloud', 'services.'),
    stateStoreAddr: addr(services, 'state', 'services.'),
    clockBoundMs: num(params, 'time_bound_ms', 'params.', 0, 1000),
    teams: tables(params, 'teams', 'params.').map((team, index) =>
      readTeam(team, `params.teams.${index}.`),
    ),
    objectives: tables(params, 'objectives', 'params.').map((objective, index) =>
      readObjective(objective, `params.objectives.${index}.`),
    ),
    workers: readWorkers(workers, 'params.workers.'),
    stateLimits,
    upcomingStateLimits: readStateLimits(next, 'params.state.next.', stateLimits),
    cloudLimits: readCloudLimits(cloud, 'params.cloud.'),
    quota: readQuota(quota, 'params.quota.'),
  };
}
