import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { alone } from '../../../test/platform.js';
import { Core } from '../core/core.js';
import type { Call, Env, Logger, Reply } from '../core/env.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { StateClient } from '../store/client.js';
import { Frontend, liveKey, type Answer } from './frontend.js';

const teams = '[[params.teams]]\nname = "t"\ncpus_max = 8.0\n';
const next = { rps: 100, writeRps: 60, valueKb: 2, txnOps: 16 };
const settings = new Settings({ ...alone(teams), stateNext: next }, defaultProperties());
const nothing = (): void => undefined;
const silent: Logger = { info: nothing, debug: nothing, warn: nothing, error: nothing };

const submission = {
  ...{ id: 'req-1', shift: 'c', crew: 't', shape: 'batch', urgency: 'normal', duties: 2 },
  ...{ cores: 1, cards: 0, mem_gb: 1, recipe: 'i', pull_gb: 1, models: null, hall: null },
  ...{ same_place: false, scatter: false, loaners: true, expect_s: 10, bookmark_s: 0 },
  ...{ stow_s: 0, due_s: null },
};

/** The users' side against a state service where the named jobs are live. */
function ask(live: string[], body: unknown): Answer {
  const soon: (() => void)[] = [];
  const answer = (call: Call): Reply => {
    const { if: conditions } = call.body as { if: { k: string; stamp: number }[] };
    const failed = conditions
      .filter((c) => live.some((id) => c.k === liveKey(id)) !== c.stamp > 0)
      .map((c) => c.k);
    return { status: failed.length > 0 ? 409 : 200, body: { ledger: 5, failed } };
  };
  let now = 0;
  const env: Env = {
    now: () => now,
    wall: () => now,
    random: () => 0.5,
    soon: (fn) => soon.push(fn),
    timer: () => ({ cancel: nothing }),
    call: (call, done) => done(answer(call)),
    mayCall: () => true,
    sendPeer: nothing,
  };
  const core = new Core(env, silent);
  const client = new StateClient(core, settings);
  client.setRole(true);
  const frontend = new Frontend(core, settings, client, {
    types: () => [
      {
        ...{ name: 'g', cpus: 16, gpus: 0, memoryGb: 64, cacheGb: 10, fetchGbPerS: 1 },
        ...{ price: 1, spotPrice: 1, bootS: 1, zones: ['a'] },
      },
    ],
    progress: () => null,
    accepted: nothing,
    cancelled: nothing,
  });
  // By then there are tokens for calls.
  now = 60_000;
  const answers: Answer[] = [];
  core.post('submit', () => frontend.submit(body, (a) => answers.push(a)));
  for (let fn = soon.shift(); fn !== undefined; fn = soon.shift()) fn();
  const [first] = answers;
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
});
