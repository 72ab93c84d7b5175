/** The users of a simulation with their jobs, and how they reach the controllers. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { ObservedEvents } from '../faults/observed-events.js';
import type { Network } from '../network.js';
import type { RuleChecker } from '../rules/rule-checker.js';
import type { Deployment } from '../deployments/deployment.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';
import type { StateStoreServer } from '../state-store/state-store-server.js';
import { User, type RequestSender } from './user.js';

const POLL_TIMEOUT_MS = 2000;
const POST_TIMEOUT_MS = 5000;
/** Lifetimes of services, and run times of other jobs' tasks as shares of their estimates. */
const SERVICE_LIFETIME_MS = { least: 20_000, most: 200_000 };
const RUN_TIME_FACTORS = { least: 0.4, most: 1.8 };

/** What the users' requests pass through. */
export interface UserContext {
  clock: VirtualClock;
  random: SeededRandom;
  network: Network;
  stateStore: StateStoreServer;
  checker: RuleChecker;
  observedEvents: ObservedEvents;
  deployment: Deployment;
  apiOf(host: string): string;
}

interface SubmittedJob {
  spec: JobSpec;
  runMs: number;
}

/** Makes jobs, and a user for each that is submitted. */
export class UserPopulation {
  private readonly jobs = new Map<string, SubmittedJob>();
  private readonly users = new Map<string, User>();
  private jobCount = 0;

  constructor(private readonly context: UserContext) {}

  /** A number for a job's name, each once. */
  nextJobNumber(): number {
    return this.jobCount++;
  }

  /** A random job of a kind that the deployment can run. */
  randomJob(): JobSpec {
    const { deployment, random } = this.context;
    return deployment.randomJob(random, `req-${String(this.nextJobNumber()).padStart(6, '0')}`);
  }

  /** A user who submits, polls and perhaps cancels one job. */
  submit(spec: JobSpec, cancelAfterMs: number | null): void {
    const { clock, random, checker } = this.context;
    const runMs =
      spec.kind === 'service'
        ? random.between(SERVICE_LIFETIME_MS.least, SERVICE_LIFETIME_MS.most)
        : spec.estimatedRunS * 1000 * random.between(RUN_TIME_FACTORS.least, RUN_TIME_FACTORS.most);
    this.jobs.set(spec.id, { spec, runMs });
    const sendRequest: RequestSender = (...request) => this.sendRequest(...request);
    this.users.set(spec.id, new User(clock, random, checker, sendRequest, spec, cancelAfterMs));
  }

  /** What the job's user has submitted. */
  specOf(id: string): JobSpec | undefined {
    return this.jobs.get(id)?.spec;
  }

  /** True run time of the job's tasks. */
  runMsOf(id: string): number | undefined {
    return this.jobs.get(id)?.runMs;
  }

  /** The job's user cancels it, at `host` where one is named. */
  cancel(id: string, host?: string): void {
    this.users.get(id)?.cancel(host);
  }

  /** The job's user submits it once more. */
  resubmit(id: string): void {
    this.users.get(id)?.resubmit();
  }

  /** For a time every user polls again and again, one request at a time. */
  everyonePolls(intervalMs: number, durationMs: number): void {
    const { clock } = this.context;
    const until = clock.now + durationMs;
    const pollAll = (): void => {
      for (const user of this.users.values()) user.pollNow();
      if (clock.now + intervalMs <= until) clock.after(intervalMs, pollAll);
    };
    pollAll();
  }

  /** Sends a request to a controller, `host` or any. */
  sendRequest(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    done: (status: number, state: string) => void,
    host = this.context.random.pick(this.context.deployment.hosts),
  ): void {
    const { network, stateStore, observedEvents } = this.context;
    const to = this.context.apiOf(host);
    if (stateStore.inOutage) observedEvents.record('request in an outage');
    const timeoutMs = method === 'GET' ? POLL_TIMEOUT_MS : POST_TIMEOUT_MS;
    network.call(
      'user',
      { to, method, path, timeoutMs, ...(body === undefined ? {} : { body }) },
      () => true,
      (reply) => done(reply.status, (reply.body as { status?: string } | null)?.status ?? ''),
    );
  }
}
