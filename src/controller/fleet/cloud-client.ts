/** The cloud's API for machines, called within its limit of requests. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { Reply } from '../runtime/runtime.js';
import { TokenBucket } from '../runtime/token-bucket.js';
import type { Settings } from '../settings/settings.js';
import {
  readMachinePage,
  readLaunchedIds,
  writeReleaseRequest,
  writeLaunchRequest,
  type ListedMachine,
} from '../wire/cloud.js';
import type { MachineKind } from '../placement/capacity/machine-kind.js';

const CALL_TIMEOUT_MS = 5000;
const LIST_PAGE_SIZE = 500;
const LEAST_TOKEN_WAIT_MS = 5;
/** No calls for this time after the cloud has answered 429. */
const RATE_LIMIT_PAUSE_MS = 500;
/** Share of the cloud's limit for the leader; the other controllers read the catalogue. */
const LEADER_RATE_SHARE = 0.8;
/** Share of the leader's calls that reading the list of machines may take, however long it is. */
const LIST_RATE_SHARE = 0.4;
/** Share of the burst that a rental leaves for lists and releases. */
const RENT_TOKEN_RESERVE = 0.2;

const STATUS_OK = 200;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_NO_RESPONSE = 0;

/** Machines to be rented under a name that makes the request idempotent. */
export interface LaunchRequest {
  name: string;
  kind: MachineKind;
  count: number;
}

/** What became of a request to rent: `lost` may have been carried out. */
export type LaunchResult =
  { kind: 'rented'; machineIds: string[] } | { kind: 'refused' } | { kind: 'lost' };

/** Calls of the leader to the cloud. */
export class CloudClient {
  private readonly tokens: TokenBucket;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
  ) {
    const { rps } = settings.platform.cloudLimits;
    this.tokens = new TokenBucket(() => eventLoop.now(), rps * LEADER_RATE_SHARE, Math.max(1, rps));
  }

  /** Reads the list of machines, page by page; `null` if any page failed. */
  listMachines(done: (machines: ListedMachine[] | null) => void): void {
    this.listPage([], '', done);
  }

  /** Least time between two lists of so many machines that leaves calls for rentals and releases. */
  listIntervalMs(machines: number): number {
    const pages = Math.ceil(machines / LIST_PAGE_SIZE);
    return (pages * 1000) / (this.tokens.perSecond * LIST_RATE_SHARE);
  }

  /** A long list takes more tokens than there are at once: the next page waits for its own. */
  private listPage(
    found: ListedMachine[],
    from: string,
    done: (machines: ListedMachine[] | null) => void,
  ): void {
    if (!this.tokens.tryTake()) {
      const waitMs = Math.max(LEAST_TOKEN_WAIT_MS, this.tokens.waitMs());
      this.eventLoop.after(waitMs, 'list-token', () => this.listPage(found, from, done));
      return;
    }
    const path = `/machines?limit=${LIST_PAGE_SIZE}${from === '' ? '' : `&from=${from}`}`;
    this.call('machine-list', 'GET', path, undefined, (reply) => {
      const page = this.readPage(reply);
      if (page === null) return done(null);
      found.push(...page.machines);
      const last = found.at(-1);
      if (page.more && last !== undefined) return this.listPage(found, last.id, done);
      done(found);
    });
  }

  private readPage(reply: Reply): ReturnType<typeof readMachinePage> | null {
    if (reply.status !== STATUS_OK) return null;
    try {
      return readMachinePage(reply.body);
    } catch (err) {
      this.eventLoop.log.warn({ err }, 'broken machine list');
      return null;
    }
  }

  /** Takes the token that a release needs; false if it has to wait. */
  acquireReleaseToken(): boolean {
    return this.tokens.tryTake();
  }

  /** Returns machines to the cloud; the caller has taken the token. */
  release(machineIds: string[], done: (confirmed: boolean) => void): void {
    this.call('released', 'POST', '/machines/release', writeReleaseRequest(machineIds), (reply) =>
      done(reply.status === STATUS_OK),
    );
  }

  /** Takes the token that a rental needs; false if it has to wait. */
  acquireLaunchToken(): boolean {
    return this.tokens.tryTake(1, RENT_TOKEN_RESERVE);
  }

  /** Rents machines; the caller has taken the token. */
  launch(request: LaunchRequest, done: (result: LaunchResult) => void): void {
    const { name, kind, count } = request;
    const body = writeLaunchRequest(name, kind.type.name, kind.zone, kind.spot, count);
    this.call('rented', 'POST', '/machines', body, (reply) => done(this.launchResult(reply)));
  }

  private launchResult(reply: Reply): LaunchResult {
    if (reply.status === STATUS_NO_RESPONSE) return { kind: 'lost' };
    if (reply.status !== STATUS_OK) return { kind: 'refused' };
    try {
      return { kind: 'rented', machineIds: readLaunchedIds(reply.body) };
    } catch (err) {
      this.eventLoop.log.warn({ err }, 'broken answer to a rental');
      return { kind: 'refused' };
    }
  }

  private call(
    command: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    done: (reply: Reply) => void,
  ): void {
    const to = this.settings.platform.cloudAddr;
    const content = body === undefined ? {} : { body };
    this.eventLoop.runtime.call(
      { to, method, path, ...content, timeoutMs: CALL_TIMEOUT_MS },
      (reply) => {
        this.eventLoop.post(command, () => {
          if (reply.status === STATUS_TOO_MANY_REQUESTS) this.tokens.pauseFor(RATE_LIMIT_PAUSE_MS);
          done(reply);
        });
      },
    );
  }
}
