/** The leader crashes after the state service has counted 2^31 changes: its successor completes no task. */
import { runCase } from '../stand-ins/case.js';
import type { Fields } from '../stand-ins/cbor-http.js';
import type { Deployment, Site } from '../stand-ins/deployment.js';
import { sleep } from '../stand-ins/worker.js';

/** Changes that the state service has counted before, and the count that has to be passed. */
const LEDGER = 2 ** 31 - 20;
const PASSED_LEDGER = 2 ** 31;
/** A crashed controller is back after this time (DEPLOY: about the time that the brief names). */
const RESTART_MS = 5000;
const RUN_S = 2;
/** No job may wait for longer than this after the troubles while a machine has room (LATER of the hunt). */
const WAIT_LIMIT_S = 90;
const LAST_START_S = 20;

function site(): Site {
  const model = {
    ...{ name: 'megalo64', cores: 64, cards: 0, mem_gb: 256, local_gb: 200, fetch_gb_per_s: 1 },
    ...{ hourly: 4.31, market_price: 1.2, boot_s: 2, halls: ['thermi'] },
  };
  return {
    ...{ zones: ['thermi'], controllers: 3, models: [model], maxKilns: 3, ledger: LEDGER },
    teams: '[[params.teams]]\nname = "kitchen-planning"\ncpus = 64.0\ncpus_max = 400.0\n',
    workers: { reportS: 3, leaseS: 22, gangWaitS: 40, gangPeerS: 8, cancelS: 42 },
    ...{ state: { rps: 150, writeRps: 50, valueKb: 16, txnOps: 16 }, stateNext: null },
    cloud: { rps: 4, listLagS: 4 },
    quota: { cores: 0.34, ramMb: 242, fdLimit: 900 },
  };
}

function job(number: number): Fields {
  return {
    ...{
      id: `req-${String(number).padStart(6, '0')}`,
      shift: 'picklist',
      crew: 'kitchen-planning',
    },
    ...{ shape: 'batch', urgency: 'normal', duties: 4, cores: 1, cards: 0, mem_gb: 2 },
    ...{ models: null, hall: null, same_place: false, scatter: false, loaners: true },
    ...{ recipe: 'img-01', pull_gb: 0.5, expect_s: RUN_S, bookmark_s: 0, stow_s: 0, due_s: null },
  };
}

/** The host of the leader according to the state service, null if there is none. */
function leaderOf({ state }: Deployment): string | null {
  const value = state.entries.get('lead')?.value as { host?: string } | undefined;
  return value?.host ?? null;
}

/** Submits a job and polls it until it is done; returns whether it was done within `limitS`. */
async function runJob(deployment: Deployment, number: number, limitS: number): Promise<boolean> {
  const { record } = deployment;
  const fields = job(number);
  const id = String(fields['id']);
  const status = await deployment.submit(fields, RUN_S);
  if (status !== 201 && status !== 200) throw new Error(`${id} was not accepted: ${status}`);
  const submittedAt = record.now;
  for (let node = 0; record.now - submittedAt < limitS; node++) {
    if ((await deployment.poll(id, node)).body['status'] === 'done') return true;
    await sleep(1000);
  }
  return false;
}

runCase(site, async (deployment, hasTrouble) => {
  const { record, state } = deployment;
  deployment.reported = (kiln, status, duties) => {
    if (duties > 0) record.add(`report of ${kiln} with ${duties} tasks: ${status}`);
  };
  let number = 0;
  while (state.changes <= PASSED_LEDGER) {
    if (record.now > LAST_START_S) throw new Error(`only ${state.changes} changes`);
    if (number === 0 && !(await runJob(deployment, ++number, LAST_START_S)))
      throw new Error('the first job was not done, before any disruption');
    await deployment.submit(job(++number), 0.1);
    await sleep(300);
  }
  record.add(`the state service has counted ${state.changes} changes`);
  const leader = leaderOf(deployment);
  if (hasTrouble && leader !== null) {
    deployment.signal(leader, 'SIGKILL');
    await sleep(RESTART_MS);
    deployment.startController(leader);
  }
  const lastId = number + 1;
  const { starts } = deployment;
  const isDone = await runJob(deployment, lastId, WAIT_LIMIT_S);
  record.add(
    `leader ${leaderOf(deployment) ?? 'none'}, ${deployment.starts - starts} starts since`,
  );
  record.add(`the last job was ${isDone ? '' : 'not '}done within ${WAIT_LIMIT_S} s`);
  return !isDone;
});
