import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { standalonePlatform } from '../../../test/platform.js';
import { acceptedJob, FakeClock, idleRuntime } from '../../../test/fakes.js';
import { EventLoop } from '../runtime/event-loop.js';
import type { Call, Reply } from '../runtime/runtime.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { attemptKey, planAssignment, type Assignment, Machine } from '../model/entities.js';
import { DirectCommands } from './direct-commands.js';
import { makeFencingToken } from './fencing-token.js';
import { FencingTokenSync } from './fencing-token-sync.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const TERM = 50;
const ATTEMPT = 9;
const KEY = attemptKey('req-1/0', ATTEMPT);

/** A synced machine with one recorded assignment, and the calls made to it. */
class Bench {
  readonly calls: { call: Call; done: (reply: Reply) => void }[] = [];
  readonly higherTerms: number[] = [];
  readonly machine = new Machine('n-1', 0, settings);
  readonly assignment: Assignment;
  readonly commands: DirectCommands;

  constructor() {
    const clock = new FakeClock(1000);
    const runtime = {
      ...idleRuntime(clock),
      defer: (run: () => void) => run(),
      call: (call: Call, done: (reply: Reply) => void) => this.calls.push({ call, done }),
    };
    const eventLoop = new EventLoop(runtime, clock.log);
    const fencingTokens = new FencingTokenSync(eventLoop, TERM);
    this.commands = new DirectCommands(
      eventLoop,
      settings,
      fencingTokens,
      { isAlive: () => true },
      { higherTermSeen: (term) => this.higherTerms.push(term) },
    );
    Object.assign(this.machine, {
      addr: '10.1.0.1:9',
      agentEpoch: 1,
      lastHeartbeatSequence: 4,
      tokenAcknowledged: true,
    });
    this.assignment = planAssignment(acceptedJob(), 0, ATTEMPT, this.machine, 0);
    this.assignment.phase = 'recorded';
    this.machine.assignments.set(this.assignment.name, this.assignment);
  }

  send(): void {
    this.commands.request(this.machine);
    this.commands.flush();
  }

  answer(status: number, term = TERM): void {
    const report = {
      ...{ kiln: 'n-1', address: '10.1.0.1:9', model: 'g', hall: 'a', loaners: false },
      ...{ tenure: 1, tally: 6, baton: makeFencingToken(term, 0), recall_s: null, duties: [] },
    };
    this.calls.pop()?.done({ status, body: report });
  }
}

describe('direct commands', () => {
  it('start what is on record, under the token of the machine', () => {
    const bench = new Bench();
    bench.send();
    assert.deepEqual(bench.calls[0]?.call.body, {
      baton: makeFencingToken(TERM, 0),
      tenure: 1,
      orders: [{ verb: 'run', duty: 'req-1/0', try: ATTEMPT }],
    });
    assert.equal(bench.assignment.phase, 'sent');
    assert.equal(bench.assignment.startSentSequence, 4);
    assert.equal(bench.machine.directStartTokens.get(KEY), makeFencingToken(TERM, 0));
    bench.answer(200);
    assert.equal(bench.assignment.startSentSequence, 6);
    assert.equal(bench.machine.pendingDirectCalls, 0);
  });

  it('start nothing on a machine that is not known to hear, or is recalled', () => {
    const deaf = new Bench();
    deaf.machine.tokenAcknowledged = false;
    deaf.send();
    const recalled = new Bench();
    recalled.machine.interruptionAt = 5000;
    recalled.send();
    assert.equal(deaf.calls.length + recalled.calls.length, 0);
  });

  it('tell of a stop once', () => {
    const bench = new Bench();
    const stop = { graceS: 5, requestedAt: 0, reason: 'preempted', sentDirectly: false };
    Object.assign(bench.assignment, { phase: 'seen', stop });
    bench.send();
    bench.send();
    assert.equal(bench.calls.length, 1);
    const { orders } = bench.calls[0]?.call.body as { orders: unknown[] };
    assert.deepEqual(orders, [{ verb: 'stop', duty: 'req-1/0', try: ATTEMPT, leeway_s: 5 }]);
  });

  it('go out again after a refusal, of which the leadership hears', () => {
    const bench = new Bench();
    bench.send();
    bench.answer(409, TERM + 1);
    assert.deepEqual(bench.higherTerms, [TERM + 1]);
    assert.equal(bench.assignment.phase, 'recorded');
    assert.ok(!bench.machine.directStartTokens.has(KEY));
  });

  it('stay out when no answer came: the start may yet be carried out', () => {
    const bench = new Bench();
    bench.send();
    bench.calls.pop()?.done({ status: 0, body: null });
    assert.equal(bench.assignment.phase, 'sent');
    assert.ok(bench.machine.directStartTokens.has(KEY));
  });

  it('wait where two are out already', () => {
    const bench = new Bench();
    bench.machine.pendingDirectCalls = 2;
    bench.send();
    assert.equal(bench.calls.length, 0);
    assert.equal(bench.assignment.phase, 'recorded');
  });
});
