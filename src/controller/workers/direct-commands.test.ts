import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { acceptedJob } from '../../../test/fakes.js';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import {
  ATTEMPT,
  heartbeatBody,
  newMachine,
  settings,
  TERM,
  TOKEN,
} from '../../../test/workers-fixture.js';
import { type Assignment, attemptKey, planAssignment } from '../model/entities.js';
import { EventLoop } from '../runtime/event-loop.js';
import { DirectCommands } from './direct-commands.js';
import { FencingTokenSync } from './fencing-token-sync.js';
import { makeFencingToken } from './fencing-token.js';

const KEY = attemptKey('req-1/0', ATTEMPT);

/**
 * A machine that has acknowledged its token and has one recorded assignment. The calls to it are in
 * `runtime.calls`.
 */
class Fixture {
  readonly runtime = new ManualRuntime();
  readonly reportedTerms: number[] = [];
  readonly machine = newMachine();
  readonly assignment: Assignment;
  private readonly commands: DirectCommands;

  constructor() {
    this.runtime.advance(1000);
    const eventLoop = new EventLoop(this.runtime, silentLogger);
    this.commands = new DirectCommands(
      eventLoop,
      settings,
      new FencingTokenSync(eventLoop, TERM),
      { isAlive: () => true },
      { termReported: (term) => this.reportedTerms.push(term) },
    );
    this.machine.addr = '10.1.0.1:9';
    this.machine.agentEpoch = 1;
    this.machine.lastHeartbeatSequence = 4;
    this.machine.tokenAcknowledged = true;
    this.assignment = planAssignment(acceptedJob(), 0, ATTEMPT, this.machine, 0);
    this.assignment.phase = 'recorded';
    this.machine.assignments.set(this.assignment.name, this.assignment);
  }

  send(): void {
    this.commands.request(this.machine);
    this.commands.flush();
  }

  /** Makes the worker respond with its state, which has the sequence number 6. */
  respond(status: number, term = TERM): void {
    this.runtime.answer(status, heartbeatBody(6, makeFencingToken(term, 0)));
  }
}

describe('DirectCommands', () => {
  it('starts a recorded assignment with the current fencing token of the machine', () => {
    const fixture = new Fixture();
    fixture.send();
    assert.deepEqual(fixture.runtime.calls[0]?.call.body, {
      baton: TOKEN,
      tenure: 1,
      orders: [{ verb: 'run', duty: 'req-1/0', try: ATTEMPT }],
    });
    assert.equal(fixture.assignment.phase, 'sent');
    assert.equal(fixture.assignment.startSentSequence, 4);
    assert.equal(fixture.machine.directStartTokens.get(KEY), TOKEN);
    fixture.respond(200);
    assert.equal(fixture.assignment.startSentSequence, 6);
    assert.equal(fixture.machine.pendingDirectCalls, 0);
  });

  it('starts nothing on a machine that has not acknowledged its token', () => {
    const fixture = new Fixture();
    fixture.machine.tokenAcknowledged = false;
    fixture.send();
    assert.equal(fixture.runtime.calls.length, 0);
  });

  it('starts nothing on a machine with a spot interruption notice', () => {
    const fixture = new Fixture();
    fixture.machine.interruptionAt = 5000;
    fixture.send();
    assert.equal(fixture.runtime.calls.length, 0);
  });

  it('sends a stop once', () => {
    const fixture = new Fixture();
    fixture.assignment.phase = 'seen';
    fixture.assignment.stop = {
      ...{ graceS: 5, requestedAt: 0, reason: 'preempted', sentAsDirectCommand: false },
    };
    fixture.send();
    fixture.send();
    assert.equal(fixture.runtime.calls.length, 1);
    const { orders } = fixture.runtime.calls[0]?.call.body as { orders: unknown[] };
    assert.deepEqual(orders, [{ verb: 'stop', duty: 'req-1/0', try: ATTEMPT, leeway_s: 5 }]);
  });

  it('makes a refused start due again, and reports the higher term', () => {
    const fixture = new Fixture();
    fixture.send();
    fixture.respond(409, TERM + 1);
    assert.deepEqual(fixture.reportedTerms, [TERM + 1]);
    assert.equal(fixture.assignment.phase, 'recorded');
    assert.ok(!fixture.machine.directStartTokens.has(KEY));
  });

  it('treats a start without a response as sent, because it may still be carried out', () => {
    const fixture = new Fixture();
    fixture.send();
    fixture.runtime.answer(0);
    assert.equal(fixture.assignment.phase, 'sent');
    assert.ok(fixture.machine.directStartTokens.has(KEY));
  });

  it('sends nothing while two calls to the machine are unanswered', () => {
    const fixture = new Fixture();
    fixture.machine.pendingDirectCalls = 2;
    fixture.send();
    assert.equal(fixture.runtime.calls.length, 0);
    assert.equal(fixture.assignment.phase, 'recorded');
  });
});
