/**
 * The settings name lower limits of the state service. Services with few replicas are accepted; the last ones
 * never start although their machines have room.
 */
import { Bench, type Outcome } from '../stand-ins-2/bench.js';
import { Cloud, type Model } from '../stand-ins-2/cloud.js';
import type { Site } from '../stand-ins-2/controllers.js';
import { sleep } from '../stand-ins-2/http.js';
import { StateService, type StateLimits } from '../stand-ins-2/state-service.js';
import { arrayJob, User } from '../stand-ins-2/users.js';

const STATE: StateLimits = { rps: 150, writeRps: 50, valueKb: 16, txnOps: 16 };
const NEXT: StateLimits = { rps: 150, writeRps: 35, valueKb: 2, txnOps: 5 };
const TEAM = { name: 'student-app', cpus: 0, cpusMax: 0, gpus: 90, gpusMax: 250 };
const MEGALO: Model = {
  name: 'megalo64',
  cores: 64,
  cards: 0,
  memGb: 256,
  localGb: 150,
  fetchGbPerS: 1,
  hourly: 4.31,
  marketPrice: 1.2,
  bootS: 30,
  halls: ['a'],
};
const MACHINES = 2;
/** Two replicas each: 24 of 2 CPUs and 6.4 GB on each machine, which has 64 CPUs and 256 GB. */
const SERVICES = 24;
const REPLICAS = 2;
const CORES = 2;
const MEM_GB = 6.4;
const LEFT_WAITING_S = 90;

function site(trouble: boolean): Site {
  return {
    controllers: 5,
    teams: [TEAM],
    workers: { reportS: 3, leaseS: 22, gangWaitS: 40, gangPeerS: 6, cancelS: 42 },
    state: STATE,
    nextState: trouble ? NEXT : null,
    cloud: { rps: 4, listLagS: 4 },
    quota: { cores: 0.34, ramMb: 242, fdLimit: 900 },
  };
}

async function play(bench: Bench): Promise<Outcome> {
  const state = new StateService(STATE, (fault) => bench.note(`state service: 400 ${fault}`));
  const addresses = new Map<string, string>();
  const { workers, cloud: cloudSettings } = site(bench.trouble);
  const started = new Set<string>();
  const cloud = new Cloud([MEGALO], MACHINES, cloudSettings.listLagS, {
    reportS: workers.reportS,
    leaseS: workers.leaseS,
    controllers: addresses,
    describe: () => ({ runS: Infinity, fetchS: 1, tasks: REPLICAS }),
    note: (text) => {
      const duty = /(req-\d+)\/\d+ started/.exec(text)?.[1];
      if (duty !== undefined) started.add(duty);
      bench.note(text);
    },
  });
  bench.cloud = cloud;
  const services = { state: [await state.listen()], cloud: await cloud.listen() };
  if (bench.trouble) state.setLimits(NEXT);
  await bench.startAll(site(bench.trouble), services);
  for (const { name, apiAddress } of bench.controllers.list) addresses.set(name, apiAddress);
  for (let i = 0; i < MACHINES; i++) await cloud.addRunning(MEGALO.name, 'a', false);
  const api = bench.controllers.list[0]?.apiAddress ?? '';
  await bench.waitLeader(api, 15_000);
  await sleep(3000);
  const user = new User(api, (text) => bench.note(text));
  const ids = Array.from({ length: SERVICES }, (_, i) => `req-${String(412 + i).padStart(6, '0')}`);
  for (const id of ids) {
    const fields = {
      shift: 'orderdesk',
      crew: TEAM.name,
      shape: 'standing',
      urgency: 'critical',
      duties: REPLICAS,
      cores: CORES,
      mem_gb: MEM_GB,
      loaners: false,
      expect_s: 0.0,
    };
    if ((await user.submit(arrayJob(id, fields))) !== 201) return 'could not run';
  }
  bench.note('all services are accepted');
  const acceptedAt = bench.seconds;
  while (bench.seconds - acceptedAt <= LEFT_WAITING_S && started.size < SERVICES) await sleep(500);
  return check(
    bench,
    cloud,
    ids.filter((id) => !started.has(id)),
  );
}

/** No job may be left waiting while a machine that fits has room and its team is under its limit. */
function check(bench: Bench, cloud: Cloud, waiting: string[]): Outcome {
  bench.note(`left waiting: ${waiting.length === 0 ? 'none' : waiting.join(' ')}`);
  let room = false;
  for (const { id, worker } of cloud.machines.values()) {
    const cores = MEGALO.cores - worker.taskCount * CORES;
    const memGb = MEGALO.memGb - worker.taskCount * MEM_GB;
    bench.note(`${id}: ${worker.taskCount} tasks, free: ${cores} CPUs, ${memGb.toFixed(1)} GB`);
    if (cores >= CORES && memGb >= MEM_GB) room = true;
  }
  return waiting.length > 0 && room ? 'broken' : 'held';
}

new Bench('review/6/record.txt').run(play);
