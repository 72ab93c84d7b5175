/** Shared set-up of the unit tests of a controller's user API. */
import assert from 'node:assert/strict';
import type { ApiResponse, Respond } from '../src/controller/jobs/api-response.js';
import { Frontend } from '../src/controller/jobs/frontend.js';
import { EventLoop } from '../src/controller/runtime/event-loop.js';
import type { Call, Reply } from '../src/controller/runtime/runtime.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { Settings } from '../src/controller/settings/settings.js';
import { StateStoreClient } from '../src/controller/store/client.js';
import type { MachineType } from '../src/controller/wire/cloud.js';
import { ManualRuntime, silentLogger } from './manual-runtime.js';
import { standalonePlatform } from './platform.js';

/** Settings with a team that has limits, and a state store whose upcoming limits allow only small values. */
const settings = new Settings(
  {
    ...standalonePlatform('[[params.teams]]\nname = "t"\ncpus_max = 8.0\ngpus_max = 4.0\n'),
    upcomingStateLimits: { rps: 100, writeRps: 60, valueKb: 2, txnOps: 16 },
  },
  defaultProperties(),
);

const machineType: MachineType = {
  ...{ name: 'g', cpus: 16, gpus: 4, memoryGb: 64, cacheGb: 10, fetchGbPerS: 1 },
  ...{ price: 1, spotPrice: 1, bootS: 1, zones: ['a'] },
};

/** Time in which the token buckets of the state store client refill enough for a call, in milliseconds. */
const TOKEN_REFILL_MS = 60_000;

/** Time after which every group commit has been sent, in milliseconds. */
const GROUP_COMMIT_MS = 1000;

/** The body of a valid submission of a job array. */
export const arraySubmission = {
  ...{ id: 'req-1', shift: 'c', crew: 't', shape: 'batch', urgency: 'normal', duties: 2 },
  ...{ cores: 1, cards: 0, mem_gb: 1, recipe: 'i', pull_gb: 1, models: null, hall: null },
  ...{ same_place: false, scatter: false, loaners: true, expect_s: 10, bookmark_s: 0 },
  ...{ stow_s: 0, due_s: null },
};

/** The body of a submission of a service that requests its team's whole limits. */
export const serviceSubmission = {
  ...arraySubmission,
  ...{ shape: 'standing', urgency: 'critical', duties: 4, cores: 2, cards: 1, expect_s: 0 },
};

/** The user API of one controller; the test moves the clock and answers the controller's calls. */
export class FrontendFixture {
  readonly runtime = new ManualRuntime();
  /** The responses to the test's requests, in the order in which the controller sent the responses. */
  readonly responses: ApiResponse[] = [];
  private readonly eventLoop = new EventLoop(this.runtime, silentLogger);
  private readonly frontend: Frontend;

  constructor() {
    const client = new StateStoreClient(this.eventLoop, settings);
    client.budget.setRole(true);
    this.frontend = new Frontend(this.eventLoop, settings, client, {
      machineTypes: () => [machineType],
      progress: () => null,
      onAccepted: () => undefined,
      onCancelled: () => undefined,
    });
    this.runtime.advance(TOKEN_REFILL_MS);
  }

  submit(body: unknown): void {
    this.request((frontend, respond) => frontend.submit(body, respond));
  }

  poll(id: string): void {
    this.request((frontend, respond) => frontend.poll(id, respond));
  }

  cancel(id: string): void {
    this.request((frontend, respond) => frontend.cancel(id, respond));
  }

  private request(send: (frontend: Frontend, respond: Respond) => void): void {
    this.eventLoop.post('request', () =>
      send(this.frontend, (response) => this.responses.push(response)),
    );
    this.runtime.advance(0);
  }
}

interface Transaction {
  if: { k: string; stamp: number }[];
  writes: { set?: string; delete?: string; value?: unknown }[];
}

/** An in-memory state store that several nodes share. */
export class FakeStateStore {
  private readonly entries = new Map<string, { k: string; value: unknown; stamp: number }>();
  private revision = 5;

  put(key: string, value: unknown): void {
    this.revision++;
    this.entries.set(key, { k: key, value, stamp: this.revision });
  }

  /** Executes a read or transaction and returns the reply. */
  reply(call: Call): Reply {
    if (call.method === 'GET') {
      const entry = this.entries.get(call.path.slice('/keys/'.length));
      if (entry === undefined) return { status: 404, body: { ledger: this.revision } };
      return { status: 200, body: entry };
    }
    return this.transact(call.body as Transaction);
  }

  private transact({ if: conditions, writes }: Transaction): Reply {
    const failed = conditions
      .filter(({ k, stamp }) => (this.entries.get(k)?.stamp ?? 0) !== stamp)
      .map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    this.revision++;
    for (const { set, delete: deleted, value } of writes) {
      if (set !== undefined) this.entries.set(set, { k: set, value, stamp: this.revision });
      if (deleted !== undefined) this.entries.delete(deleted);
    }
    return { status: 200, body: { ledger: this.revision } };
  }
}

/** The user API of one of several nodes. They share a state store that answers every call immediately. */
export class FrontendNode {
  private readonly fixture = new FrontendFixture();

  constructor(private readonly store = new FakeStateStore()) {}

  submit(body: unknown): ApiResponse {
    return this.responseTo((fixture) => fixture.submit(body));
  }

  poll(id: string): ApiResponse {
    return this.responseTo((fixture) => fixture.poll(id));
  }

  cancel(id: string): ApiResponse {
    return this.responseTo((fixture) => fixture.cancel(id));
  }

  private responseTo(send: (fixture: FrontendFixture) => void): ApiResponse {
    const { runtime, responses } = this.fixture;
    runtime.advance(TOKEN_REFILL_MS);
    const countBefore = responses.length;
    send(this.fixture);
    this.answerCalls();
    runtime.advance(GROUP_COMMIT_MS);
    this.answerCalls();
    assert.equal(responses.length, countBefore + 1, 'number of responses to one request');
    return responses[countBefore] ?? assert.fail('the request got no response');
  }

  private answerCalls(): void {
    const { runtime } = this.fixture;
    for (let pending = runtime.calls[0]; pending !== undefined; pending = runtime.calls[0]) {
      const { status, body } = this.store.reply(pending.call);
      runtime.answer(status, body);
    }
  }
}
