/** All controllers crash; then followers answer no polls about jobs that ended before, while they answer others. */
import http from 'node:http';
import { runCase } from '../stand-ins/case.js';
import { call, encodeBody, type Fields, type Reply } from '../stand-ins/cbor-http.js';
import type { Deployment, Site } from '../stand-ins/deployment.js';
import { sleep } from '../stand-ins/worker.js';

/** Jobs that wait for machines, jobs that have ended, and ids that nobody has submitted; each has a user. */
const ACTIVE = 450;
const ENDED = 80;
const UNKNOWN = 600;
const FIRST_UNKNOWN = 900_001;
/** Changes a second that the state service takes, and the submissions a second as a ratio to them. */
const WRITE_RPS = 70;
const SUBMISSIONS_PER_WRITE = 0.75;
/** Users poll roughly every 5 s and wait 2 s for each response. */
const POLL_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
/** A job is forgotten if every poll for it fails for this time while most other polls are answered. */
const FORGOTTEN_S = 90;
/** The crashed controllers are back within a fraction of a second. */
const RESTART_MS = 500;
const LAST_POLL_S = 112;

function site(): Site {
  const model = {
    ...{ name: 'savannah48', cores: 48, cards: 4, mem_gb: 288, local_gb: 200, fetch_gb_per_s: 1 },
    ...{ hourly: 12.18, market_price: 3.26, boot_s: 25, halls: ['piarco'] },
  };
  return {
    ...{ zones: ['piarco'], controllers: 5, models: [model], maxKilns: 0, ledger: 0 },
    teams: '[[params.teams]]\nname = "care-analytics"\ngpus = 700.0\ngpus_max = 2000.0\n',
    workers: { reportS: 5, leaseS: 22, gangWaitS: 40, gangPeerS: 6, cancelS: 47 },
    ...{ state: { rps: 80, writeRps: WRITE_RPS, valueKb: 16, txnOps: 24 }, stateNext: null },
    cloud: { rps: 5, listLagS: 8 },
    quota: { cores: 0.17, ramMb: 250, fdLimit: 1441 },
  };
}

function idOf(number: number): string {
  return `req-${String(number).padStart(6, '0')}`;
}

function job(number: number): Fields {
  return {
    ...{ id: idOf(number), shift: 'routescore', crew: 'care-analytics' },
    ...{ shape: 'batch', urgency: 'normal', duties: 2, cores: 10, cards: 1, mem_gb: 54 },
    ...{ models: null, hall: null, same_place: false, scatter: false, loaners: true },
    ...{ recipe: 'img-01', pull_gb: 4, expect_s: 35, bookmark_s: 0, stow_s: 0, due_s: null },
  };
}

/** A user, with one connection to one controller and the outcomes of the polls. */
class User {
  readonly polls: { atS: number; isAnswered: boolean }[] = [];
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  private readonly id: string;
  private readonly node: number;

  constructor(
    private readonly deployment: Deployment,
    readonly number: number,
    readonly kind: 'active' | 'ended' | 'unknown',
  ) {
    this.id = idOf(number);
    this.node = number % deployment.controllers.length;
  }

  get host(): string {
    return this.deployment.controllers[this.node]?.host ?? '';
  }

  private request(method: string, path: string, body: Fields | null): Promise<Reply> {
    const address = this.deployment.controllers[this.node]?.address ?? '';
    const bytes = body === null ? null : encodeBody(body);
    const timeoutMs = path === '/submissions' ? 5000 : POLL_TIMEOUT_MS;
    return call(this.agent, address, method, path, bytes, timeoutMs);
  }

  async submit(): Promise<void> {
    for (;;) {
      const { status } = await this.request('POST', '/submissions', job(this.number));
      if (status === 201 || status === 200) return;
      await sleep(1000);
    }
  }

  async cancel(): Promise<void> {
    for (;;) {
      const { status, body } = await this.request('POST', `/submissions/${this.id}/abort`, {});
      if (status === 200 && body['status'] === 'aborted') return;
      await sleep(1000);
    }
  }

  async pollUntil(lastS: number): Promise<void> {
    const { record } = this.deployment;
    await sleep(Math.random() * POLL_MS);
    for (;;) {
      const atS = record.now;
      const { status, body } = await this.request('GET', `/submissions/${this.id}`, null);
      this.polls.push({ atS, isAnswered: status === 200 || status === 404 });
      if (this.kind === 'ended')
        record.add(`poll ${this.id} at ${this.host}: ${status} ${JSON.stringify(body['status'])}`);
      const pauseMs = POLL_MS * (0.9 + Math.random() * 0.2);
      if (record.now + pauseMs / 1000 > lastS) return;
      await sleep(pauseMs);
    }
  }

  /** Whether every poll failed, over at least the time after which a job is forgotten. */
  get isForgotten(): boolean {
    const first = this.polls[0]?.atS ?? 0;
    const last = this.polls.at(-1)?.atS ?? 0;
    return last - first >= FORGOTTEN_S && !this.polls.some(({ isAnswered }) => isAnswered);
  }
}

runCase(site, async (deployment, hasTrouble) => {
  const { record, controllers } = deployment;
  const users: User[] = [];
  const add = (count: number, kind: User['kind'], first: number): void => {
    for (let i = 0; i < count; i++) users.push(new User(deployment, first + i, kind));
  };
  add(ENDED, 'ended', 1);
  add(ACTIVE, 'active', ENDED + 1);
  add(UNKNOWN, 'unknown', FIRST_UNKNOWN);
  const endedUsers = users.filter(({ kind }) => kind === 'ended');

  await Promise.all(
    users.map(async (user, i) => {
      if (user.kind === 'unknown') return;
      await sleep((i * 1000) / (WRITE_RPS * SUBMISSIONS_PER_WRITE));
      await user.submit();
      if (user.kind === 'ended') await user.cancel();
    }),
  );
  record.add(`${ENDED + ACTIVE} jobs are accepted, ${ENDED} of them are confirmed as cancelled`);
  if (record.now > 20) throw new Error('the jobs were accepted too slowly');
  if (hasTrouble) {
    for (const { host } of controllers) deployment.signal(host, 'SIGKILL');
    await sleep(RESTART_MS);
    for (const { host } of controllers) deployment.startController(host);
  }
  await Promise.all(users.map((user) => user.pollUntil(LAST_POLL_S)));

  for (const kind of ['active', 'ended', 'unknown'])
    for (const { host } of controllers) {
      const polls = users
        .filter((user) => user.kind === kind && user.host === host)
        .flatMap((user) => user.polls);
      const answered = polls.filter(({ isAnswered }) => isAnswered).length;
      record.add(`polls of ${kind} jobs at ${host}: ${answered} of ${polls.length} answered`);
    }
  const polls = users.flatMap((user) => user.polls);
  const answeredShare = polls.filter(({ isAnswered }) => isAnswered).length / polls.length;
  record.add(`${(answeredShare * 100).toFixed(1)} % of all polls were answered`);
  const forgotten = endedUsers.filter((user) => user.isForgotten);
  for (const { number, host, polls: failed } of forgotten)
    record.add(`FORGOTTEN ${idOf(number)} at ${host}: ${failed.length} polls, none answered`);
  return forgotten.length > 0 && answeredShare > 0.5;
});
