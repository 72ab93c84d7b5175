/** Client of the cloud's machine API that stays within the cloud's rate limit. */
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
/**
 * If no rate-limit token is available for reading a page of the list, the next attempt follows after at least
 * this delay.
 */
const MIN_TOKEN_WAIT_MS = 5;
/** Time after a response with status 429 in which no rate-limit token is available. */
const RATE_LIMIT_PAUSE_MS = 500;
/** Share of the cloud's rate limit that the leader uses; followers read the catalogue with the remaining share. */
const LEADER_RATE_SHARE = 0.8;
/**
 * Reads of the machine list take at most this share of the leader's calls, however many machines there are.
 */
const LIST_RATE_SHARE = 0.4;
/** Fraction of the token bucket's burst that launches leave for lists and releases. */
const LAUNCH_TOKEN_RESERVE = 0.2;

const STATUS_OK = 200;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_NO_RESPONSE = 0;

/**
 * Machines of one kind to launch. The cloud carries out only one request per `name`, so retries are idempotent.
 */
export interface LaunchRequest {
  name: string;
  kind: MachineKind;
  count: number;
}

/**
 * Outcome of a launch request. An `unconfirmed` request got no response and may have been carried out. A
 * malformed response counts as `refused`.
 */
export type LaunchResult =
  { kind: 'launched'; machineIds: string[] } | { kind: 'refused' } | { kind: 'unconfirmed' };

/** Outcome of listing all machines: `failed` if any page could not be read. */
export type ListResult = { kind: 'listed'; machines: ListedMachine[] } | { kind: 'failed' };

/** Outcome of reading one page of the machine list; `more` says whether another page follows. */
type PageResult = { kind: 'page'; machines: ListedMachine[]; more: boolean } | { kind: 'failed' };

/** Makes the leader's calls to the cloud. */
export class CloudClient {
  private readonly tokens: TokenBucket;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly settings: Settings,
  ) {
    const { rps } = settings.platform.cloudLimits;
    this.tokens = new TokenBucket(() => eventLoop.now(), rps * LEADER_RATE_SHARE, Math.max(1, rps));
  }

  /** Lists all machines, page by page. */
  listMachines(done: (result: ListResult) => void): void {
    this.listPage([], '', done);
  }

  /**
   * Shortest time in ms between two reads of a list of `machineCount` machines. With it, enough calls remain
   * for launches and releases.
   */
  listIntervalMs(machineCount: number): number {
    const pages = Math.ceil(machineCount / LIST_PAGE_SIZE);
    return (pages * 1000) / (this.tokens.perSecond * LIST_RATE_SHARE);
  }

  /**
   * Reads one page of the list, and then the pages after it. Each read waits for a rate-limit token, since a
   * long list needs more tokens than the bucket holds.
   */
  private listPage(
    listedMachines: ListedMachine[],
    afterId: string,
    done: (result: ListResult) => void,
  ): void {
    if (!this.tokens.tryTake()) {
      const waitMs = Math.max(MIN_TOKEN_WAIT_MS, this.tokens.waitMs());
      this.eventLoop.after(waitMs, 'list-token', () =>
        this.listPage(listedMachines, afterId, done),
      );
      return;
    }
    const path = `/machines?limit=${LIST_PAGE_SIZE}${afterId === '' ? '' : `&from=${afterId}`}`;
    this.call('list-response', 'GET', path, undefined, (reply) => {
      const page = this.readPage(reply);
      if (page.kind === 'failed') return done(page);
      listedMachines.push(...page.machines);
      const lastMachine = listedMachines.at(-1);
      if (page.more && lastMachine !== undefined)
        return this.listPage(listedMachines, lastMachine.id, done);
      done({ kind: 'listed', machines: listedMachines });
    });
  }

  private readPage(reply: Reply): PageResult {
    if (reply.status !== STATUS_OK) return { kind: 'failed' };
    try {
      return { kind: 'page', ...readMachinePage(reply.body) };
    } catch (err) {
      this.eventLoop.log.warn({ err }, 'malformed page of the machine list from the cloud');
      return { kind: 'failed' };
    }
  }

  /** Takes a rate-limit token for a release. Returns false if none is available now. */
  acquireReleaseToken(): boolean {
    return this.tokens.tryTake();
  }

  /** Sends a release request, for which the caller must have acquired a token. */
  release(machineIds: string[], done: (confirmed: boolean) => void): void {
    this.call(
      'release-response',
      'POST',
      '/machines/release',
      writeReleaseRequest(machineIds),
      (reply) => done(reply.status === STATUS_OK),
    );
  }

  /**
   * Takes a rate-limit token for a launch. Returns false if none is available now beyond the reserve for lists
   * and releases.
   */
  acquireLaunchToken(): boolean {
    return this.tokens.tryTake(1, LAUNCH_TOKEN_RESERVE);
  }

  /** Sends a launch request, for which the caller must have acquired a token. */
  launch(request: LaunchRequest, done: (result: LaunchResult) => void): void {
    const { name, kind, count } = request;
    const { type, zone, spot } = kind;
    const body = writeLaunchRequest({ name, type: type.name, zone, spot, count });
    this.call('launch-response', 'POST', '/machines', body, (reply) =>
      done(this.launchResult(reply)),
    );
  }

  private launchResult(reply: Reply): LaunchResult {
    if (reply.status === STATUS_NO_RESPONSE) return { kind: 'unconfirmed' };
    if (reply.status !== STATUS_OK) return { kind: 'refused' };
    try {
      return { kind: 'launched', machineIds: readLaunchedIds(reply.body) };
    } catch (err) {
      this.eventLoop.log.warn({ err }, 'malformed response to a launch request from the cloud');
      return { kind: 'refused' };
    }
  }

  private call(
    eventName: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    done: (reply: Reply) => void,
  ): void {
    const to = this.settings.platform.cloudAddr;
    const optionalBody = body === undefined ? {} : { body };
    this.eventLoop.runtime.call(
      { to, method, path, ...optionalBody, timeoutMs: CALL_TIMEOUT_MS },
      (reply) => {
        this.eventLoop.post(eventName, () => {
          if (reply.status === STATUS_TOO_MANY_REQUESTS) this.tokens.pauseFor(RATE_LIMIT_PAUSE_MS);
          done(reply);
        });
      },
    );
  }
}
