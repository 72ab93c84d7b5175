/** A stand-in of a worker: runs tasks of arrays and services, reports, and ends them with its lease. */
import {
  Client,
  isFields,
  jsonBytes,
  listOf,
  serve,
  textOf,
  type Fields,
  type Reply,
} from './http.js';

/** What a worker obtains about a job from its user. */
export interface JobDescription {
  /** Run time of each task in seconds; infinite for a service. */
  runS: number;
  fetchS: number;
  tasks: number;
}

export interface WorkerOptions {
  name: string;
  model: string;
  hall: string;
  loaners: boolean;
  reportS: number;
  leaseS: number;
  /** Addresses of all controllers by name. */
  controllers: ReadonlyMap<string, string>;
  describe: (job: string) => JobDescription | null;
  note: (text: string) => void;
}

interface Task {
  duty: string;
  attempt: unknown;
  status: 'pulling' | 'running' | 'exited';
  cause: string | null;
  timer: NodeJS.Timeout | null;
}

/** A message may have at most this size, in the JSON form. */
const MAX_MESSAGE_BYTES = 64 * 1024;
const ANSWER_TIMEOUT_MS = 4000;
const NEXT_NODE_MS = 1000;
const MIN_REPORT_GAP_MS = 500;

export class Worker {
  address = '';
  /** Largest size of a request to this worker, in the JSON form. */
  largestRequest = 0;
  /** Largest size of a report, in the JSON form. */
  largestReport = 0;
  /** Number of requests of the controllers that were larger than 64 KiB. */
  oversizedRequests = 0;
  oversizedReports = 0;
  readonly statusCounts = new Map<number, number>();
  private readonly client = new Client();
  private readonly tasks = new Map<string, Task>();
  private tenure = 1;
  private tally = 0;
  private baton: number | bigint = 0;
  private node = 0;
  private leaseFrom = performance.now();
  private changed = false;
  private lastReportAt = -Infinity;
  private stopped = false;
  private close: () => void = () => undefined;

  constructor(private readonly options: WorkerOptions) {}

  async start(): Promise<void> {
    const { address, close } = await serve((request) => {
      if (request.path === '/inspect') return { status: 200, body: this.report() };
      if (request.path === '/do') return this.direct(request.body, request.jsonBytes);
      return { status: 404 };
    });
    this.address = address;
    this.close = close;
    this.leaseFrom = performance.now();
    setInterval(() => this.endExpiredLease(), 20).unref();
    void this.reportLoop();
  }

  stop(): void {
    this.stopped = true;
    this.close();
    this.client.close();
    for (const { timer } of this.tasks.values()) if (timer !== null) clearTimeout(timer);
    this.tasks.clear();
  }

  /** The tasks that run now. */
  get running(): string[] {
    return [...this.tasks.values()]
      .filter(({ status }) => status === 'running')
      .map(({ duty }) => duty);
  }

  get taskCount(): number {
    return this.tasks.size;
  }

  private report(): Fields {
    const { name, model, hall, loaners } = this.options;
    this.tally++;
    return {
      kiln: name,
      address: this.address,
      model,
      hall,
      loaners,
      tenure: this.tenure,
      tally: this.tally,
      baton: this.baton,
      recall_s: null,
      duties: [...this.tasks.values()].map(({ duty, attempt, status, cause }) => ({
        duty,
        try: attempt,
        status,
        ...(cause === null ? {} : { cause }),
      })),
    };
  }

  private endExpiredLease(): void {
    if (performance.now() - this.leaseFrom <= this.options.leaseS * 1000) return;
    if (this.tasks.size > 0)
      this.options.note(`${this.options.name}: lease expired with ${this.tasks.size} tasks`);
    for (const task of this.tasks.values()) this.clearTimer(task);
    this.tasks.clear();
    this.tenure++;
    this.leaseFrom = performance.now();
    this.changed = true;
  }

  private clearTimer(task: Task): void {
    if (task.timer !== null) clearTimeout(task.timer);
    task.timer = null;
  }

  private async reportLoop(): Promise<void> {
    for (;;) {
      const delayMs = await this.sendReport();
      const dueAt = performance.now() + delayMs;
      while (!this.stopped && performance.now() < dueAt) {
        const gapOver = performance.now() - this.lastReportAt >= MIN_REPORT_GAP_MS;
        if (this.changed && gapOver && delayMs > NEXT_NODE_MS) break;
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      if (this.stopped) return;
    }
  }

  /** Sends a report; returns the time until the next one is due. */
  private async sendReport(): Promise<number> {
    const { reportS, controllers } = this.options;
    const names = [...controllers.keys()];
    const address = controllers.get(names[this.node % names.length] ?? '') ?? '';
    const report = this.report();
    const { tenure } = this;
    const size = jsonBytes(report);
    this.largestReport = Math.max(this.largestReport, size);
    if (size > MAX_MESSAGE_BYTES) this.oversizedReports++;
    this.changed = false;
    this.lastReportAt = performance.now();
    const sentAt = this.lastReportAt;
    const path = '/v1/report';
    const reply = await this.client.call(address, 'POST', path, report, ANSWER_TIMEOUT_MS);
    const status = reply?.status ?? 0;
    this.statusCounts.set(status, (this.statusCounts.get(status) ?? 0) + 1);
    if (status === 200) {
      this.accept(reply?.body, tenure, sentAt);
      return reportS * 1000 * (0.75 + Math.random() * 0.5);
    }
    const foreman = status === 421 && isFields(reply?.body) ? textOf(reply.body['foreman']) : '';
    const next = names.indexOf(foreman);
    if (next >= 0 && next !== this.node % names.length) {
      this.node = next;
      return Math.random() * 500;
    }
    this.node = (this.node + 1) % names.length;
    return NEXT_NODE_MS;
  }

  private accept(body: unknown, tenure: number, sentAt: number): void {
    if (!isFields(body) || tenure !== this.tenure || !this.seeBaton(body['baton'])) return;
    this.leaseFrom = sentAt;
    this.execute(body['orders']);
  }

  /** Whether the token is not lower than the highest seen one; remembers a higher one. */
  private seeBaton(baton: unknown): boolean {
    if (typeof baton !== 'number' && typeof baton !== 'bigint') return false;
    if (baton < this.baton) return false;
    if (baton > this.baton) this.changed = true;
    this.baton = baton;
    return true;
  }

  private direct(body: unknown, size: number): Reply {
    this.largestRequest = Math.max(this.largestRequest, size);
    if (size > MAX_MESSAGE_BYTES) {
      this.oversizedRequests++;
      return { status: 413 };
    }
    if (!isFields(body) || body['baton'] === undefined || body['tenure'] === undefined)
      return { status: 400 };
    if (body['tenure'] !== this.tenure || !this.seeBaton(body['baton']))
      return { status: 409, body: this.report() };
    this.execute(body['orders']);
    return { status: 200, body: this.report() };
  }

  private execute(orders: unknown): void {
    for (const { verb, duty, try: attempt } of listOf(orders)) {
      const key = `${textOf(duty)}@${String(attempt)}`;
      if (verb === 'run') this.run(key, textOf(duty), attempt);
      else if (verb === 'clear') {
        if (this.tasks.get(key)?.status === 'exited') this.tasks.delete(key);
      } else if (verb === 'stop') this.exit(key, 'stopped');
    }
  }

  private run(key: string, duty: string, attempt: unknown): void {
    if (this.tasks.has(key)) return;
    const task: Task = { duty, attempt, status: 'pulling', cause: null, timer: null };
    const others = [...this.tasks.values()].filter((other) => other.duty === duty);
    this.tasks.set(key, task);
    this.changed = true;
    const slash = duty.lastIndexOf('/');
    const job = this.options.describe(duty.slice(0, slash));
    if (job === null || Number(duty.slice(slash + 1)) >= job.tasks) {
      this.exit(key, 'unknown');
      return;
    }
    if (others.some(({ status }) => status !== 'exited')) {
      this.exit(key, 'in_use');
      return;
    }
    task.timer = setTimeout(() => {
      task.status = 'running';
      this.changed = true;
      this.options.note(`${this.options.name}: ${duty} started, try ${String(attempt)}`);
      if (Number.isFinite(job.runS))
        task.timer = setTimeout(() => this.exit(key, 'done'), job.runS * 1000);
    }, job.fetchS * 1000);
  }

  private exit(key: string, cause: string): void {
    const task = this.tasks.get(key);
    if (task === undefined || task.status === 'exited') return;
    this.clearTimer(task);
    task.status = 'exited';
    task.cause = cause;
    this.changed = true;
    this.options.note(`${this.options.name}: ${task.duty} exited, ${cause}`);
  }
}
