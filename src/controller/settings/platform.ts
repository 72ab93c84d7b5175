/** The settings that the platform hands to each controller as TOML. */
import { SettingsError } from './settings-error.js';
import {
  parseToml,
  readAddress,
  readNumber,
  readTable,
  readTables,
  readText,
  type TomlTable,
} from './toml-fields.js';

/** The platform's settings after all checks. Fields that this version does not know are ignored. */
export interface Platform {
  /** Name of the host of this controller. */
  host: string;
  /** Zone of the host. */
  zone: string;
  /** Address of the API for users, workers and operators. */
  apiAddr: string;
  /** Address for messages of other controllers. */
  internalAddr: string;
  /** The other controllers of the deployment, with their addresses for messages. */
  peers: { host: string; addr: string }[];
  /** Address of the cloud's machine API. */
  cloudAddr: string;
  /** Address of the state store. */
  stateStoreAddr: string;
  /** Largest difference between the wall clocks of two hosts. */
  clockBoundMs: number;
  teams: Team[];
  objectives: Objective[];
  workers: WorkerTimes;
  stateLimits: StateLimits;
  /** Limits that the state store will have from some moment on, without notice. */
  upcomingStateLimits: StateLimits;
  cloudLimits: CloudLimits;
  quota: ProcessQuota;
}

/** Intervals and time limits of the workers, in seconds. */
export interface WorkerTimes {
  /** Time between two heartbeats. */
  heartbeatIntervalS: number;
  /** A worker without an answer ends its tasks this long after it sent the last answered heartbeat. */
  leaseS: number;
  /** A gang member waits this long for the others to fetch their image. */
  gangFetchWaitS: number;
  /** Time within which the other members of a gang notice that one has exited. */
  gangPeerExitS: number;
  /** Tasks of a cancelled job have to be gone after this time. */
  cancelDeadlineS: number;
}

/** Limits of the state store: requests and writes per second, and the size of what is written. */
export interface StateLimits {
  rps: number;
  /** Puts and deletes per second. */
  writeRps: number;
  /** Largest value, in KiB. */
  valueKb: number;
  /** Largest number of writes in a transaction. */
  txnOps: number;
}

/** Limits of the cloud's machine API. */
export interface CloudLimits {
  /** Requests per second. */
  rps: number;
  /** The machine list may lag behind by this time. */
  listLagS: number;
}

/** Resources that the platform grants this process. */
export interface ProcessQuota {
  cpus: number;
  ramMb: number;
  /** Largest number of open sockets. */
  maxSockets: number;
}

/** A service-level objective. Kinds that this version does not know are kept and not used. */
export interface Objective {
  kind: string;
  /** The job class that it is for, `null` for all. */
  class: string | null;
  withinS: number | null;
  /** For deadlines: the multiple of the deadline within which the job should end. */
  deadlineFactor: number;
}

/** A team's guaranteed share of the cluster and its caps. */
export interface Team {
  name: string;
  guaranteedCpus: number;
  guaranteedGpus: number;
  /** 0 means no cap. */
  maxCpus: number;
  /** 0 means no cap. */
  maxGpus: number;
}

/** Reads the platform's settings. Throws a `SettingsError` that names the field at fault. */
export function readPlatform(source: string): Platform {
  const platform = parsePlatform(source);
  checkConsistency(platform);
  return platform;
}

function parsePlatform(source: string): Platform {
  const root = parseToml(source);
  const services = readTable(root, 'services', '');
  const params = readTable(root, 'params', '');
  const workers = readTable(params, 'workers', 'params.');
  const state = readTable(params, 'state', 'params.');
  const cloud = readTable(params, 'cloud', 'params.');
  const quota = readTable(params, 'quota', 'params.');
  const stateLimits = readStateLimits(state, 'params.state.');
  const upcomingState =
    state['next'] === undefined ? {} : readTable(state, 'next', 'params.state.');
  return {
    host: readText(root, 'host_name', ''),
    zone: readText(root, 'site', ''),
    apiAddr: readAddress(root, 'api_addr', ''),
    internalAddr: readAddress(root, 'internal_addr', ''),
    peers: readTables(root, 'peers', '').map((peer, index) => readPeer(peer, `peers.${index}.`)),
    cloudAddr: readAddress(services, 'cloud', 'services.'),
    stateStoreAddr: readAddress(services, 'state', 'services.'),
    clockBoundMs: readNumber(params, 'time_bound_ms', 'params.', 0, 1000),
    teams: readTables(params, 'teams', 'params.').map((team, index) =>
      readTeam(team, `params.teams.${index}.`),
    ),
    objectives: readTables(params, 'objectives', 'params.').map((objective, index) =>
      readObjective(objective, `params.objectives.${index}.`),
    ),
    workers: readWorkers(workers, 'params.workers.'),
    stateLimits,
    upcomingStateLimits: readStateLimits(upcomingState, 'params.state.next.', stateLimits),
    cloudLimits: readCloudLimits(cloud, 'params.cloud.'),
    quota: readQuota(quota, 'params.quota.'),
  };
}

function readPeer(table: TomlTable, path: string): Platform['peers'][number] {
  return { host: readText(table, 'host_name', path), addr: readAddress(table, 'addr', path) };
}

/** Limits that are absent from the table are those of `current`. */
function readStateLimits(table: TomlTable, path: string, fallbacks?: StateLimits): StateLimits {
  return {
    rps: readNumber(table, 'rps', path, 1, fallbacks?.rps),
    writeRps: readNumber(table, 'write_rps', path, 1, fallbacks?.writeRps),
    valueKb: readNumber(table, 'value_kb', path, 1, fallbacks?.valueKb),
    txnOps: readNumber(table, 'txn_ops', path, 2, fallbacks?.txnOps),
  };
}

function readTeam(table: TomlTable, path: string): Team {
  return {
    name: readText(table, 'name', path),
    guaranteedCpus: readNumber(table, 'cpus', path, 0, 0),
    guaranteedGpus: readNumber(table, 'gpus', path, 0, 0),
    maxCpus: readNumber(table, 'cpus_max', path, 0, 0),
    maxGpus: readNumber(table, 'gpus_max', path, 0, 0),
  };
}

function readObjective(table: TomlTable, path: string): Objective {
  const { class: className, within_s: withinS, times: deadlineFactor } = table;
  return {
    kind: readText(table, 'kind', path),
    class: typeof className === 'string' ? className : null,
    withinS: typeof withinS === 'number' ? withinS : null,
    deadlineFactor: typeof deadlineFactor === 'number' ? deadlineFactor : 1,
  };
}

function readWorkers(table: TomlTable, path: string): WorkerTimes {
  return {
    heartbeatIntervalS: readNumber(table, 'report_s', path, 0.1),
    leaseS: readNumber(table, 'lease_s', path, 1),
    gangFetchWaitS: readNumber(table, 'gang_wait_s', path, 1),
    gangPeerExitS: readNumber(table, 'gang_peer_s', path, 0.1),
    cancelDeadlineS: readNumber(table, 'cancel_s', path, 1),
  };
}

function readCloudLimits(table: TomlTable, path: string): CloudLimits {
  return {
    rps: readNumber(table, 'rps', path, 0.1),
    listLagS: readNumber(table, 'list_lag_s', path, 0, 0),
  };
}

function readQuota(table: TomlTable, path: string): ProcessQuota {
  return {
    cpus: readNumber(table, 'cores', path, 0.01, 1),
    ramMb: readNumber(table, 'ram_mb', path, 32, 256),
    maxSockets: readNumber(table, 'fd_limit', path, 16, 1024),
  };
}

/** Throws where values that are each in range contradict one another. */
function checkConsistency(platform: Platform): void {
  const { heartbeatIntervalS, leaseS } = platform.workers;
  if (leaseS <= heartbeatIntervalS)
    throw new SettingsError(
      `params.workers.lease_s: ${leaseS} is not above report_s ${heartbeatIntervalS}: every lease would run out`,
    );
  platform.teams.forEach((team, index) => checkTeam(team, `params.teams.${index}.`));
  const hosts = [platform.host];
  platform.peers.forEach(({ host }, index) => {
    if (hosts.includes(host))
      throw new SettingsError(`peers.${index}.host_name: ${host} is named twice`);
    hosts.push(host);
  });
}

/** Caps of a team are 0, which means none, or not below what it is guaranteed. */
function checkTeam(team: Team, path: string): void {
  const { guaranteedCpus, guaranteedGpus, maxCpus, maxGpus } = team;
  if (maxCpus > 0 && maxCpus < guaranteedCpus)
    throw new SettingsError(`${path}cpus_max: ${maxCpus} is below cpus ${guaranteedCpus}`);
  if (maxGpus > 0 && maxGpus < guaranteedGpus)
    throw new SettingsError(`${path}gpus_max: ${maxGpus} is below gpus ${guaranteedGpus}`);
}
