import { readPlatform, type Platform } from '../src/controller/settings/platform.js';

/** What the tests' platforms differ in. */
export interface PlatformOptions {
  zones: string[];
  /** Zones of the hosts, in their order. */
  sites: string[];
  /** TOML of teams and objectives. */
  teams: string;
  reportS: number;
  leaseS: number;
  cancelS: number;
  rps: number;
  writeRps: number;
  txnOps: number;
  valueKb: number;
  ramMb: number;
  /** TOML of the limits that the state service will have. */
  next: string;
}

export const defaultOptions: PlatformOptions = {
  zones: ['a', 'b'],
  sites: [],
  teams: '',
  reportS: 3,
  leaseS: 20,
  cancelS: 45,
  rps: 100,
  writeRps: 60,
  txnOps: 16,
  valueKb: 16,
  ramMb: 256,
  next: '',
};

function toml(head: string, count: number, p: PlatformOptions): string {
  return `
${head}
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
count = ${count}
zones = ${JSON.stringify(p.zones)}
time_bound_ms = 100.0
${p.teams}
[params.workers]
report_s = ${p.reportS.toFixed(1)}
lease_s = ${p.leaseS.toFixed(1)}
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = ${p.cancelS.toFixed(1)}
[params.state]
rps = ${p.rps.toFixed(1)}
write_rps = ${p.writeRps.toFixed(1)}
value_kb = ${p.valueKb.toFixed(1)}
txn_ops = ${p.txnOps}
${p.next}
[params.cloud]
rps = 5.0
list_lag_s = 4.0
[params.quota]
cores = 0.2
ram_mb = ${p.ramMb.toFixed(1)}
fd_limit = 1000
`;
}

/** Settings of a controller that stands alone. */
export function standalonePlatform(teams = ''): Platform {
  const head =
    'host_name = "k"\nsite = "a"\napi_addr = "10.0.0.1:1"\ninternal_addr = "10.0.0.1:2"\n';
  return readPlatform(toml(head, 1, { ...defaultOptions, teams }));
}

/** TOML of the settings of one of several controllers. */
export function platformToml(hosts: string[], host: string, parts: PlatformOptions): string {
  const addr = (h: string, port: number): string => `10.0.0.${hosts.indexOf(h) + 1}:${port}`;
  const site = (h: string): string => parts.sites[hosts.indexOf(h)] ?? 'a';
  const peers = hosts
    .filter((h) => h !== host)
    .map((h) => `[[peers]]\nhost_name = "${h}"\nsite = "${site(h)}"\naddr = "${addr(h, 8081)}"\n`);
  const head = [
    `host_name = "${host}"`,
    `site = "${site(host)}"`,
    `api_addr = "${addr(host, 8080)}"`,
    `internal_addr = "${addr(host, 8081)}"`,
    ...peers,
  ];
  return toml(head.join('\n'), hosts.length, parts);
}

/** Settings of one of several controllers. */
export function platformOf(
  hosts: string[],
  host: string,
  parts: PlatformOptions,
  read = readPlatform,
): Platform {
  return read(platformToml(hosts, host, parts));
}
