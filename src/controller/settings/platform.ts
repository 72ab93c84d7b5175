/** Reads and checks the settings that the platform passes to each controller as TOML. */
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

/** The platform's settings after validation. Fields that this version does not know are ignored. */
export interface Platform {
  /** Name of the host that this controller runs on. */
  host: string;
  /** Zone of the host. */
  zone: string;
  /** Address of the API for users, workers and operators. */
  apiAddr: string;
  /** Address on which this controller receives messages from the other controllers. */
  internalAddr: string;
  /** The other controllers of the deployment, with the addresses on which they receive messages. */
  peers: { host: string; addr: string }[];
  /** Address of the cloud's machine API. */
  cloudAddr: string;
  /** Address of the state store. */
  stateStoreAddr: string;
  /** Largest difference between the wall clocks of two hosts, in milliseconds. */
  clockBoundMs: number;
  teams: Team[];
  objectives: Objective[];
  workers: WorkerTimes;
  stateLimits: StateLimits;
  /** Limits to which the state store may switch at any time without notice. */
  upcomingStateLimits: StateLimits;
  cloudLimits: CloudLimits;
  quota: ProcessQuota;
}

/** Intervals and time limits of the workers, in seconds. */
export interface WorkerTimes {
  /** Time between two heartbeats. */
  heartbeatIntervalS: number;
  /** A worker stops its tasks this long after it sent the last heartbeat that got a response. */
  leaseS: number;
  /** How long a gang member that is ready to start waits for the other members to fetch their image. */
  gangFetchWaitS: number;
  /** Time within which the members of a gang detect that another member has exited. */
  gangPeerExitS: number;
  /** Time after a cancellation within which the job's tasks must be gone. */
  cancelDeadlineS: number;
}

/** Limits of the state store: rates, and sizes of values and transactions. */
export interface StateLimits {
  /** Largest number of requests per second. */
  rps: number;
  /** Largest number of puts and deletes per second. */
  writeRps: number;
  /** Size of the largest value, in KiB. */
  valueKb: number;
  /** Largest number of writes in a transaction. */
  txnOps: number;
}

/** Limits of the cloud's machine API. */
export interface CloudLimits {
  /** Largest number of requests per second. */
  rps: number;
  /** The machine list may be out of date by up to this many seconds. */
  listLagS: number;
}

/** Resources that the platform grants to this process. */
export interface ProcessQuota {
  cpus: number;
  ramMb: number;
  /** Largest number of open sockets. */
  maxSockets: number;
}

/** A service-level objective. Objectives of kinds that this version does not know are read but not used. */
export interface Objective {
  kind: string;
  /** The job class to which the objective applies; null for all classes. */
  class: string | null;
  /** Time limit in seconds; null if the settings give none. */
  withinS: number | null;
  /** For objectives of kind `deadline`: a job should end within this multiple of its deadline. */
  deadlineFactor: number;
}

/** A team's guaranteed share of the cluster and its caps. */
export interface Team {
  name: string;
  guaranteedCpus: number;
  guaranteedGpus: number;
  /** Largest number of CPUs that the team may use; 0 means no cap. */
  maxCpus: number;
  /** Largest number of GPUs that the team may use; 0 means no cap. */
  maxGpus: number;
}

/** Reads the platform's settings. Throws a `SettingsError` that names the invalid field. */
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

/** Reads limits of the state store. Limits that are absent from the table are taken from `fallbacks`. */
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

/** Throws a `SettingsError` if fields contradict one another although each is valid by itself. */
function checkConsistency(platform: Platform): void {
  const { heartbeatIntervalS, leaseS } = platform.workers;
  if (leaseS <= heartbeatIntervalS)
    throw new SettingsError(
      `params.workers.lease_s: ${leaseS} is not greater than report_s ${heartbeatIntervalS}: every lease would expire before the next heartbeat`,
    );
  platform.teams.forEach((team, index) => checkTeam(team, `params.teams.${index}.`));
  const hosts = [platform.host];
  platform.peers.forEach(({ host }, index) => {
    if (hosts.includes(host))
      throw new SettingsError(
        `peers.${index}.host_name: ${host} is also the name of this host or of another peer`,
      );
    hosts.push(host);
  });
}

/** Throws a `SettingsError` if a cap of the team is below its guarantee. A cap of 0 means no cap. */
function checkTeam(team: Team, path: string): void {
  const { guaranteedCpus, guaranteedGpus, maxCpus, maxGpus } = team;
  if (maxCpus > 0 && maxCpus < guaranteedCpus)
    throw new SettingsError(
      `${path}cpus_max: ${maxCpus} is below the guaranteed cpus ${guaranteedCpus}; 0 means no cap`,
    );
  if (maxGpus > 0 && maxGpus < guaranteedGpus)
    throw new SettingsError(
      `${path}gpus_max: ${maxGpus} is below the guaranteed gpus ${guaranteedGpus}; 0 means no cap`,
    );
}
