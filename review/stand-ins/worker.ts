/** Worker of one machine as PROTOCOL describes it: reports, tokens, leases, commands and tasks of arrays. */
import http from 'node:http';
import { call, encodeBody, listen, type Fields, type Reply, type Request } from './cbor-http.js';
import type { Kiln } from './cloud.js';

/** A job as its user submitted it, with the time that each task really runs. */
export interface JobUpload {
  fields: Fields;
  runS: number;
}

/** What all workers of a deployment share. */
export interface WorkerWorld {
  /** Host names and API addresses of the controllers. */
  controllers: { host: string; address: string }[];
  times: { reportS: number; leaseS: number };
  /** The jobs that users have submitted, by id. */
  jobs: Map<string, JobUpload>;
  /** Tasks that have completed; their results are kept. */
  doneDuties: Set<string>;
  /** A task is on its machine from `started` until `ended`. */
  started: (duty: string, attempt: bigint, kiln: string) => void;
  ended: (duty: string, attempt: bigint, kiln: string, cause: string) => void;
  /** A report was answered (0: no response); `bytes` is the length of its body, `json` that of its JSON form. */
  reported: (kiln: string, status: number, duties: number, bytes: number, json: number) => void;
  /** The lease of a worker has expired; `lost` tasks were on the machine. */
  expired: (kiln: string, tenure: number, lost: number) => void;
}

interface Task {
  duty: string;
  attempt: bigint;
  status: 'pulling' | 'running' | 'exited';
  cause: string;
  timer: NodeJS.Timeout | null;
}

interface Order {
  verb: string;
  duty: string;
  try: number | bigint;
}

const REPORT_TIMEOUT_MS = 4000;
const RETRY_MS = 1000;
const MIN_INTERVAL_MS = 500;
const TOLERANCE = 1e-6;

function toBigInt(value: unknown): bigint | null {
  return typeof value === 'bigint' || Number.isInteger(value)
    ? BigInt(value as number | bigint)
    : null;
}

export class Worker {
  private address = '';
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  private readonly tasks = new Map<string, Task>();
  private readonly images = new Map<string, Promise<void>>();
  private tenure = 1;
  private tally = 0;
  private baton = 0n;
  private leaseFrom = performance.now();
  private node: number;
  private dead = false;
  private changedAt = 0;

  constructor(
    private readonly kiln: Pick<Kiln, 'id' | 'model' | 'hall' | 'loaners'>,
    private readonly world: WorkerWorld,
  ) {
    this.node = Math.floor(Math.random() * world.controllers.length);
  }

  /** Starts the worker and returns its address. */
  async start(): Promise<string> {
    this.address = await listen((request) => this.serve(request));
    const timer = setInterval(() => this.checkLease(), 50);
    timer.unref();
    void this.reportForever();
    return this.address;
  }

  /** Ends the machine with all that is on it. */
  end(): void {
    this.dead = true;
    this.killAll('machine gone');
  }

  private killAll(cause: string): void {
    for (const task of this.tasks.values()) this.exit(task, cause);
    this.tasks.clear();
  }

  private checkLease(): void {
    if (this.dead || performance.now() - this.leaseFrom <= this.world.times.leaseS * 1000) return;
    const lost = [...this.tasks.values()].filter(({ status }) => status !== 'exited').length;
    this.world.expired(this.kiln.id, this.tenure, lost);
    this.killAll('lease expired');
    this.tenure++;
    this.leaseFrom = performance.now();
    this.changed();
  }

  private changed(): void {
    this.changedAt = performance.now();
  }

  private report(): Fields {
    const { id, model, hall, loaners } = this.kiln;
    const duties = [...this.tasks.values()].map(({ duty, attempt, status, cause }) => ({
      ...{ duty, try: attempt, status },
      ...(status === 'exited' ? { cause } : {}),
    }));
    return {
      ...{ kiln: id, address: this.address, model: model.name, hall, loaners },
      ...{ tenure: this.tenure, tally: ++this.tally, baton: this.baton, recall_s: null, duties },
    };
  }

  private async reportForever(): Promise<void> {
    for (;;) {
      if (this.dead) return;
      const sentAt = performance.now();
      const pauseMs = await this.sendReport(sentAt);
      const { reportS } = this.world.times;
      const regularAt = sentAt + reportS * 1000 * (0.75 + Math.random() / 2);
      if (pauseMs !== null) await sleep(pauseMs);
      else
        while (performance.now() < regularAt) {
          const isDue = this.changedAt >= sentAt && performance.now() >= sentAt + MIN_INTERVAL_MS;
          if (isDue) break;
          await sleep(20);
        }
    }
  }

  /** Sends a report. Returns the pause before the next one, or null if this node has answered with 200. */
  private async sendReport(sentAt: number): Promise<number | null> {
    const { controllers } = this.world;
    const { tenure } = this;
    const report = this.report();
    const body = encodeBody(report);
    const address = controllers[this.node]?.address ?? '';
    const reply = await call(this.agent, address, 'POST', '/v1/report', body, REPORT_TIMEOUT_MS);
    const json = JSON.stringify(report, (_, value: unknown) =>
      typeof value === 'bigint' ? Number(value) : value,
    ).length;
    const duties = (report['duties'] as unknown[]).length;
    this.world.reported(this.kiln.id, reply.status, duties, body.length, json);
    if (reply.status === 200) {
      if (tenure === this.tenure) this.accept(reply.body, sentAt);
      return null;
    }
    const foreman = reply.status === 421 ? reply.body['foreman'] : undefined;
    const next = controllers.findIndex(({ host }) => host === foreman);
    if (next >= 0 && next !== this.node) {
      this.node = next;
      return Math.random() * 500;
    }
    this.node = (this.node + 1) % controllers.length;
    return RETRY_MS;
  }

  private accept(body: Fields, sentAt: number): void {
    const baton = toBigInt(body['baton']);
    if (this.dead || baton === null || baton < this.baton) return;
    if (performance.now() - sentAt > REPORT_TIMEOUT_MS) return;
    if (baton > this.baton) this.changed();
    this.baton = baton;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.execute(body['orders']);
  }

  private serve({ path, body }: Request): Reply {
    if (this.dead) return { status: 503, body: {} };
    if (path === '/inspect') return { status: 200, body: this.report() };
    const baton = toBigInt(body['baton']);
    const tenure = body['tenure'];
    if (path !== '/do' || baton === null || tenure === undefined) return { status: 400, body: {} };
    if (baton < this.baton || tenure !== this.tenure) return { status: 409, body: this.report() };
    this.baton = baton;
    this.execute(body['orders']);
    return { status: 200, body: this.report() };
  }

  private execute(orders: unknown): void {
    for (const order of (orders ?? []) as Order[]) {
      this.changed();
      const attempt = toBigInt(order.try);
      if (attempt === null) continue;
      const key = `${order.duty}@${attempt}`;
      const task = this.tasks.get(key);
      if (order.verb === 'run' && task === undefined) this.run(key, order.duty, attempt);
      else if (order.verb === 'stop' && task !== undefined) this.exit(task, 'stopped');
      else if (order.verb === 'clear' && task?.status === 'exited') this.tasks.delete(key);
    }
  }

  private run(key: string, duty: string, attempt: bigint): void {
    const others = [...this.tasks.values()].filter(({ status }) => status !== 'exited');
    const job = this.jobOf(duty);
    const isInUse = others.some((other) => other.duty === duty);
    const hasRoom = this.hasRoom(others, job);
    const task: Task = { duty, attempt, status: 'pulling', cause: '', timer: null };
    this.tasks.set(key, task);
    if (job === undefined) this.exit(task, 'unknown');
    else if (isInUse) this.exit(task, 'in_use');
    else if (!hasRoom) this.exit(task, 'no_room');
    else void this.fetch(job).then(() => this.begin(task, job));
  }

  private jobOf(duty: string): JobUpload | undefined {
    return this.world.jobs.get(duty.slice(0, duty.lastIndexOf('/')));
  }

  private hasRoom(others: readonly Task[], job: JobUpload | undefined): boolean {
    if (job === undefined) return true;
    const amount = (upload: JobUpload | undefined, name: string): number =>
      Number(upload?.fields[name] ?? 0);
    const { model } = this.kiln;
    const capacity = { cores: model.cores, cards: model.cards, mem_gb: model.mem_gb };
    return Object.entries(capacity).every(([name, total]) => {
      let used = amount(job, name);
      for (const { duty } of others) used += amount(this.jobOf(duty), name);
      return used <= total + TOLERANCE;
    });
  }

  private fetch({ fields }: JobUpload): Promise<void> {
    const image = String(fields['recipe']);
    let fetched = this.images.get(image);
    if (fetched === undefined) {
      fetched = sleep((Number(fields['pull_gb']) / this.kiln.model.fetch_gb_per_s) * 1000);
      this.images.set(image, fetched);
    }
    return fetched;
  }

  private begin(task: Task, job: JobUpload): void {
    if (task.status !== 'pulling') return;
    task.status = 'running';
    this.world.started(task.duty, task.attempt, this.kiln.id);
    this.changed();
    const runMs = this.world.doneDuties.has(task.duty) ? 0 : job.runS * 1000;
    task.timer = setTimeout(() => {
      this.world.doneDuties.add(task.duty);
      this.exit(task, 'done');
    }, runMs);
  }

  private exit(task: Task, cause: string): void {
    if (task.status === 'exited') return;
    if (task.timer !== null) clearTimeout(task.timer);
    if (task.status === 'running') this.world.ended(task.duty, task.attempt, this.kiln.id, cause);
    task.status = 'exited';
    task.cause = cause;
    this.changed();
  }
}

/** Resolves after a delay. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
