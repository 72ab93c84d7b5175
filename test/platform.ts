import { readPlatform, type Platform } from '../src/controller/settings/platform.js';

/** The platform's settings as the tests have them; `head` and `teams` are TOML. */
export function platformToml(head: string, teams: string): string {
  return `
${head}
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
count = 3
zones = ["a", "b"]
time_bound_ms = 100.0
${teams}
[params.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = 45.0
[params.state]
rps = 100.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 16
[params.cloud]
rps = 5.0
list_lag_s = 4.0
[params.quota]
cores = 0.2
ram_mb = 256.0
fd_limit = 1000
`;
}

/** Settings of a controller that stands alone. */
export function alone(teams = ''): Platform {
  const head =
    'host_name = "k"\nsite = "a"\napi_addr = "10.0.0.1:1"\ninternal_addr = "10.0.0.1:2"\n';
  return readPlatform(platformToml(head, teams));
}
