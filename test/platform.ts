/** Platform settings for tests, as TOML and in parsed form. */
import { readPlatform, type Platform } from '../src/controller/settings/platform.js';

const API_PORT = 8080;
const PEER_PORT = 8081;

/** The platform settings that tests vary. */
export interface PlatformOptions {
  zones: string[];
  /** Zones of the hosts, in the order of the hosts; zone `a` for a host without an entry. */
  hostZones: string[];
  /** TOML text of the teams and objectives. */
  teamsToml: string;
  heartbeatIntervalS: number;
  leaseS: number;
  cancelDeadlineS: number;
  rps: number;
  writeRps: number;
  txnOps: number;
  valueKb: number;
  ramMb: number;
  /** TOML text of the upcoming limits of the state store. */
  upcomingLimitsToml: string;
}

/** The default values of `PlatformOptions`. */
export const defaultPlatformOptions: PlatformOptions = {
  zones: ['a', 'b'],
  hostZones: [],
  teamsToml: '',
  heartbeatIntervalS: 3,
  leaseS: 20,
  cancelDeadlineS: 45,
  rps: 100,
  writeRps: 60,
  txnOps: 16,
  valueKb: 16,
  ramMb: 256,
  upcomingLimitsToml: '',
};

function toToml(hostToml: string, hostCount: number, options: PlatformOptions): string {
  return `
${hostToml}
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
count = ${hostCount}
zones = ${JSON.stringify(options.zones)}
time_bound_ms = 100.0
${options.teamsToml}
[params.workers]
report_s = ${options.heartbeatIntervalS.toFixed(1)}
lease_s = ${options.leaseS.toFixed(1)}
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = ${options.cancelDeadlineS.toFixed(1)}
[params.state]
rps = ${options.rps.toFixed(1)}
write_rps = ${options.writeRps.toFixed(1)}
value_kb = ${options.valueKb.toFixed(1)}
txn_ops = ${options.txnOps}
${options.upcomingLimitsToml}
[params.cloud]
rps = 5.0
list_lag_s = 4.0
[params.quota]
cores = 0.2
ram_mb = ${options.ramMb.toFixed(1)}
fd_limit = 1000
`;
}

/** Platform settings of a controller without peers. */
export function standalonePlatform(teamsToml = ''): Platform {
  const hostToml =
    'host_name = "k"\nsite = "a"\napi_addr = "10.0.0.1:1"\ninternal_addr = "10.0.0.1:2"\n';
  return readPlatform(toToml(hostToml, 1, { ...defaultPlatformOptions, teamsToml }));
}

/** TOML text of the platform settings of `host`, one of several controllers. */
export function platformToml(hosts: string[], host: string, options: PlatformOptions): string {
  const addr = (name: string, port: number): string => `10.0.0.${hosts.indexOf(name) + 1}:${port}`;
  const zoneOf = (name: string): string => options.hostZones[hosts.indexOf(name)] ?? 'a';
  const peers = hosts
    .filter((name) => name !== host)
    .map(
      (name) =>
        `[[peers]]\nhost_name = "${name}"\nsite = "${zoneOf(name)}"\naddr = "${addr(name, PEER_PORT)}"\n`,
    );
  const hostLines = [
    `host_name = "${host}"`,
    `site = "${zoneOf(host)}"`,
    `api_addr = "${addr(host, API_PORT)}"`,
    `internal_addr = "${addr(host, PEER_PORT)}"`,
    ...peers,
  ];
  return toToml(hostLines.join('\n'), hosts.length, options);
}

/** Platform settings of `host`, one of several controllers. */
export function platformOf(
  hosts: string[],
  host: string,
  options: PlatformOptions,
  readToml = readPlatform,
): Platform {
  return readToml(platformToml(hosts, host, options));
}
