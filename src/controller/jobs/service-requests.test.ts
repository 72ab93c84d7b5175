import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import type { Call, Runtime, Logger, Reply } from '../runtime/runtime.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { StateStoreClient } from '../store/client.js';
import type { ApiResponse } from './api-response.js';
import { Frontend } from './frontend.js';

const teams = '[[params.teams]]\nname = "t"\ncpus_max = 8.0\ngpus_max = 4.0\n';
const settings = new Settings(standalonePlatform(teams), defaultProperties());
const nothing = (): void => undefined;
const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };
const ID = 'req-1';

const service = {
  ...{ id: ID, shift: 'c', crew: 't', shape: 'standing', urgency: 'critical', duties: 4 },
  ...{ cores: 2, cards: 1, mem_gb: 1, recipe: 'i', pull_gb: 1, models: null, hall: null },
  ...{ same_place: false, scatter: false, loaners: true, expect_s: 0, bookmark_s: 0 },
  ...{ stow_s: 0, due_s: null },
};

interface Entry {
  k: string;
  value: unknown;
  stamp: number;
}

interface Transaction {
  if: { k: string; stamp: number }[];
  writes: { set?: string; delete?: string; value?: unknown }[];
}

/** What the state service keeps, for all nodes. */
class Store {
  private readonly entries = new Map<string, Entry>();
  private ledger = 5;

  answer(call: Call): Reply {
    if (call.method === 'GET') {
      const entry = this.entries.get(call.path.slice('/keys/'.length));
      if (entry === undefined) return { status: 404, body: { ledger: this.ledger } };
      return { status: 200, body: entry };
    }
    const { if: conditions, writes } = call.body as Transaction;
    const failed = conditions
      .filter((c) => (this.entries.get(c.k)?.stamp ?? 0) !== c.stamp)
      .map((c) => c.k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    this.ledger++;
    for (const { set, delete: gone, value } of writes) {
      if (set !== undefined) this.entries.set(set, { k: set, value, stamp: this.ledger });
      if (gone !== undefined) this.entries.delete(gone);
    }
    return { status: 200, body: { ledger: this.ledger } };
  }
}

/** The users' side of one node. */
class Node {
  private now = 0;
  private readonly soon: (() => void)[] = [];
  private readonly eventLoop: EventLoop;
  private readonly frontend: Frontend;

  constructor(store: Store) {
    const runtime: Runtime = {
      startedAt: -Infinity,
      now: () => this.now,
      wallClock: () => this.now,
      random: () => 0.5,
      defer: (run) => this.soon.push(run),
      startTimer: (_ms, run) => {
        this.soon.push(run);
        return { cancel: nothing };
      },
      call: (call, done) => done(store.answer(call)),
      hasSpareConnection: () => true,
      sendPeer: nothing,
    };
    this.eventLoop = new EventLoop(runtime, silent);
    const client = new StateStoreClient(this.eventLoop, settings);
    client.budget.setRole(true);
    const type = { name: 'g', cpus: 16, gpus: 4, memoryGb: 64, cacheGb: 10, fetchGbPerS: 1 };
    this.frontend = new Frontend(this.eventLoop, settings, client, {
      machineTypes: () => [{ ...type, price: 1, spotPrice: 1, bootS: 1, zones: ['a'] }],
      ...{ progress: () => null, onAccepted: nothing, onCancelled: nothing },
    });
  }

  private ask(
    question: (frontend: Frontend, respond: (answer: ApiResponse) => void) => void,
  ): ApiResponse {
    // By then there are tokens for calls.
    this.now += 60_000;
    const answers: ApiResponse[] = [];
    this.eventLoop.post('ask', () => question(this.frontend, (a) => answers.push(a)));
    for (let run = this.soon.shift(); run !== undefined; run = this.soon.shift()) run();
    return answers[0] ?? assert.fail('no answer');
  }

  submit(body: unknown): ApiResponse {
    return this.ask((f, respond) => f.submit(body, respond));
  }

  poll(): ApiResponse {
    return this.ask((f, respond) => f.poll(ID, respond));
  }

  cancel(): ApiResponse {
    return this.ask((f, respond) => f.cancel(ID, respond));
  }
}

const statusOf = ({ body }: ApiResponse): unknown => (body as { status?: unknown }).status;

describe('a service', () => {
  const refused: [string, object, number][] = [
    ['gangs have to name an estimate', { shape: 'gang' }, 400],
    ['arrays have to name an estimate', { shape: 'batch' }, 400],
    ['an estimate is no negative number', { expect_s: -1 }, 400],
    ['all replicas together are within the limit on CPUs', { cores: 2.1 }, 422],
    ['all replicas together are within the limit on GPUs', { duties: 5, cores: 1 }, 422],
    ['a replica fits a machine', { duties: 1, mem_gb: 65 }, 422],
    ['the team is known', { crew: 'nobody' }, 422],
    ['replicas to scatter find two zones', { scatter: true }, 422],
  ];
  for (const [rule, part, status] of refused)
    it(`gets ${status} unless ${rule}`, () => {
      assert.equal(new Node(new Store()).submit({ ...service, ...part }).status, status);
    });

  it('exactly at its team’s limit is accepted, and known from then on', () => {
    const store = new Store();
    const node = new Node(store);
    assert.equal(node.submit(service).status, 201);
    assert.equal(node.submit(service).status, 200);
    assert.equal(new Node(store).submit(service).status, 200);
    assert.equal(statusOf(new Node(store).poll()), 'pending');
  });

  it('that was called off stays so for every node, question, repeat and cancellation', () => {
    const store = new Store();
    const node = new Node(store);
    node.submit(service);
    const cancelled = node.cancel();
    assert.deepEqual([cancelled.status, statusOf(cancelled)], [200, 'aborted']);
    const other = new Node(store);
    const answers = [node, other, new Node(store)].flatMap((n) => [
      n.submit(service),
      n.poll(),
      n.cancel(),
      n.submit({ ...service, expect_s: 'soon' }),
      n.submit({ ...service, duties: 99 }),
    ]);
    for (const answer of answers)
      assert.deepEqual([answer.status, statusOf(answer)], [200, 'aborted']);
  });

  it('that was never accepted is unknown, also to a cancellation', () => {
    const node = new Node(new Store());
    assert.deepEqual([node.poll().status, node.cancel().status], [404, 404]);
  });
});
