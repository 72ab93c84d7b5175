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
import { terminalKey, activeKey } from './job-records.js';

const teams = '[[params.teams]]\nname = "t"\ncpus_max = 8.0\n';
const next = { rps: 100, writeRps: 60, valueKb: 2, txnOps: 16 };
const settings = new Settings(
  { ...standalonePlatform(teams), upcomingStateLimits: next },
  defaultProperties(),
);
const nothing = (): void => undefined;
const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };

const submission = {
  ...{ id: 'req-1', shift: 'c', crew: 't', shape: 'batch', urgency: 'normal', duties: 2 },
  ...{ cores: 1, cards: 0, mem_gb: 1, recipe: 'i', pull_gb: 1, models: null, hall: null },
  ...{ same_place: false, scatter: false, loaners: true, expect_s: 10, bookmark_s: 0 },
  ...{ stow_s: 0, due_s: null },
};

/** The users' side of one controller, with a state service that answers as the test says. */
class Node {
  readonly answers: ApiResponse[] = [];
  private readonly soon: (() => void)[] = [];
  private readonly eventLoop: EventLoop;
  private readonly frontend: Frontend;

  constructor(call: Runtime['call']) {
    let now = 0;
    this.eventLoop = new EventLoop(
      {
        startedAt: -Infinity,
        now: () => now,
        wallClock: () => now,
        random: () => 0.5,
        defer: (fn) => this.soon.push(fn),
        startTimer: () => ({ cancel: nothing }),
        call,
        hasSpareConnection: () => true,
        sendPeer: nothing,
      },
      silent,
    );
    const client = new StateStoreClient(this.eventLoop, settings);
    client.budget.setRole(true);
    this.frontend = new Frontend(this.eventLoop, settings, client, {
      machineTypes: () => [
        {
          ...{ name: 'g', cpus: 16, gpus: 0, memoryGb: 64, cacheGb: 10, fetchGbPerS: 1 },
          ...{ price: 1, spotPrice: 1, bootS: 1, zones: ['a'] },
        },
      ],
      progress: () => null,
      onAccepted: nothing,
      onCancelled: nothing,
    });
    // By then there are tokens for calls.
    now = 60_000;
  }

  submit(body: unknown): void {
    this.eventLoop.post('submit', () => this.frontend.submit(body, (a) => this.answers.push(a)));
    this.run();
  }

  /** Everything that is due is done. */
  run(): void {
    for (let fn = this.soon.shift(); fn !== undefined; fn = this.soon.shift()) fn();
  }
}

/** The users' side against a state service where the named jobs are live. */
function ask(live: string[], body: unknown): ApiResponse {
  const answer = (call: Call): Reply => {
    const { if: conditions } = call.body as { if: { k: string; stamp: number }[] };
    const failed = conditions
      .filter((c) => live.some((id) => c.k === activeKey(id)) !== c.stamp > 0)
      .map((c) => c.k);
    return { status: failed.length > 0 ? 409 : 200, body: { ledger: 5, failed } };
  };
  const node = new Node((call, done) => done(answer(call)));
  node.submit(body);
  const [first] = node.answers;
  assert.ok(first);
  return first;
}

describe('submissions', () => {
  const { loaners, ...lacking } = submission;
  const tooMany = Array.from({ length: 60 }, (_, i) => `model-${i}-${'x'.repeat(40)}`);
  const standing = { ...submission, shape: 'standing', expect_s: 0 };
  const cases: [string, unknown, number][] = [
    ['can run', submission, 201],
    ['lacks a field', lacking, 400],
    ['has a field of a wrong type', { ...submission, loaners: String(loaners) }, 400],
    ['asks for more than its team may have', { ...submission, cores: 9 }, 422],
    ['is a service within its limit', { ...standing, duties: 8 }, 201],
    ['is a service beyond its limit', { ...standing, duties: 9 }, 422],
    ['is an array without an estimate', { ...submission, expect_s: 0 }, 400],
    ['is larger than a value may be', { ...submission, models: ['g', ...tooMany] }, 400],
    ['fits no machine', { ...submission, hall: 'b' }, 422],
  ];
  for (const [what, body, status] of cases) {
    it(`one that ${what} gets ${status}`, () => assert.equal(ask([], body).status, status));
    // Accepted by another version, or before settings changed: it stays known.
    it(`one that ${what} gets 200 if its job is known`, () =>
      assert.equal(ask(['req-1'], body).status, 200));
  }

  // The job may have been accepted, and called off, through another node in between.
  it('a repeat does not share the answer to a transaction that has left before', () => {
    const calls: { call: Call; done: (reply: Reply) => void }[] = [];
    const node = new Node((call, done) => calls.push({ call, done }));
    const reply = (status: number, body: unknown): void => {
      const first = calls.shift();
      assert.ok(first);
      first.done({ status, body });
      node.run();
    };
    node.submit(submission);
    node.submit(submission);
    assert.equal(calls.length, 1);
    reply(200, { ledger: 5 });
    assert.deepEqual(
      node.answers.map((a) => a.status),
      [201],
    );
    reply(409, { ledger: 9, failed: [terminalKey('req-1')] });
    reply(200, { k: terminalKey('req-1'), value: { state: 'cancelled' }, stamp: 8, permit: null });
    assert.deepEqual(node.answers[1]?.body, { id: 'req-1', status: 'aborted' });
  });
});
