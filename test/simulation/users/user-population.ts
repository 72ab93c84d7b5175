/** The simulated users, their jobs, and their requests to the controllers. */
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import type { ObservedEvents } from '../faults/observed-events.js';
import type { Network } from '../network.js';
import type { RuleChecker } from '../rules/rule-checker.js';
import type { Deployment } from '../deployments/deployment.js';
import type { SeededRandom } from '../seeded-random.js';
import type { VirtualClock } from '../virtual-clock.js';
import type { StateStoreServer } from '../state-store/state-store-server.js';
import { User, type RequestSender } from './user.js';

/** Time without a response after which a GET request ends, in milliseconds. */
const POLL_TIMEOUT_MS = 2000;
/** Time without a response after which a POST request ends, in milliseconds. */
const POST_TIMEOUT_MS = 5000;
/**
 * Range of the run time drawn for a service, in milliseconds. Each replica runs for a random
 * multiple of the drawn time.
 */
const SERVICE_LIFETIME_MS = { least: 20_000, most: 200_000 };
/** Range of the run time of tasks of gangs and arrays, as multiples of the job's estimate. */
const RUN_TIME_FACTORS = { least: 0.4, most: 1.8 };

/** The context that all users of a simulation share. */
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

/** Creates random jobs, and a user for each job that is submitted. */
export class UserPopulation {
  private readonly jobs = new Map<string, SubmittedJob>();
  private readonly users = new Map<string, User>();
  private jobCount = 0;

  constructor(private readonly context: UserContext) {}

  /** Returns a unique number for the id of a job. */
  nextJobNumber(): number {
    return this.jobCount++;
  }

  /** Returns a random job of a kind that the deployment can run. */
  randomJob(): JobSpec {
    const { deployment, random } = this.context;
    return deployment.randomJob(random, `req-${String(this.nextJobNumber()).padStart(6, '0')}`);
  }

  /**
   * Adds a user who submits and polls one job, and cancels it after `cancelAfterMs` unless that is
   * null.
   */
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

  /** Returns the specification of a submitted job; undefined if no user has submitted it. */
  specOf(id: string): JobSpec | undefined {
    return this.jobs.get(id)?.spec;
  }

  /**
   * Returns the actual run time of the job's tasks in ms; undefined if no user submitted the job.
   */
  runMsOf(id: string): number | undefined {
    return this.jobs.get(id)?.runMs;
  }

  /** Makes the job's user cancel it, through the controller on `host` if one is given. */
  cancel(id: string, host?: string): void {
    this.users.get(id)?.cancel(host);
  }

  /** Makes the job's user submit it again. */
  resubmit(id: string): void {
    this.users.get(id)?.resubmit();
  }

  /**
   * For `durationMs`, makes all users poll once every `intervalMs`. A user whose last request is
   * still in flight skips a poll.
   */
  everyonePolls(intervalMs: number, durationMs: number): void {
    const { clock } = this.context;
    const until = clock.now + durationMs;
    const pollAll = (): void => {
      for (const user of this.users.values()) user.pollNow();
      if (clock.now + intervalMs <= until) clock.after(intervalMs, pollAll);
    };
    pollAll();
  }

  /** Sends a request to the controller on `host`, by default a random one. */
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
