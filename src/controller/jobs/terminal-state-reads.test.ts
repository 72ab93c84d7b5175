import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { ManualRuntime, silentLogger } from '../../../test/manual-runtime.js';
import { standalonePlatform } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import { StateStoreClient } from '../store/client.js';
import { tokenReserve } from '../store/rate-budget.js';
import { terminalRecord } from './job-records.js';
import { JobStateCache } from './job-state-cache.js';
import { TerminalStateReads } from './terminal-state-reads.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const STEP_MS = 5;
const JOB_COUNT = 40;
/** By the contract of the queue, waiting reads get half of the requests and leave the rest to polls. */
const SHARE = 0.5;

/** A node whose polls take every token that they may take, and whose users ask about ended jobs. */
class BusyNode {
  readonly runtime = new ManualRuntime();
  readonly jobStates = new JobStateCache(1000);
  pollsSent = 0;
  private readonly client: StateStoreClient;
  private readonly reads: TerminalStateReads;

  constructor(private readonly requestsPerS: number) {
    const eventLoop = new EventLoop(this.runtime, silentLogger);
    this.client = new StateStoreClient(eventLoop, settings);
    const { requestTokens } = this.client.budget;
    requestTokens.setRate(requestsPerS, Math.max(1, requestsPerS));
    while (requestTokens.tryTake());
    this.reads = new TerminalStateReads({
      eventLoop,
      client: this.client,
      jobStates: this.jobStates,
    });
  }

  ask(id: string): void {
    this.reads.read(id, () => undefined);
  }

  /** Plays until all jobs are known; returns the time in ms, or Infinity if it exceeds the limit. */
  playUntilKnown(ids: readonly string[], limitMs: number): number {
    for (let ms = 0; ms <= limitMs; ms += STEP_MS) {
      if (ids.every((id) => this.jobStates.terminalState(id) !== undefined)) return ms;
      if (this.client.budget.requestTokens.tryTake(1, tokenReserve.polls)) this.pollsSent++;
      this.runtime.advance(STEP_MS);
      this.answerReads();
    }
    return Infinity;
  }

  private answerReads(): void {
    while (this.runtime.calls.length > 0)
      this.runtime.answer(200, { k: 'final/x', value: terminalRecord('done', 0), stamp: 1 });
  }

  /** Time in ms in which `count` requests are allowed at this share of the rate. */
  timeFor(count: number, share: number): number {
    return ((count / share) * 1000) / this.requestsPerS;
  }
}

// Guards against reads that found less than one token for ever: polls took the tokens down to their reserve first, and
// the reserve of reads is less than one token below it at small rates.
describe('TerminalStateReads', () => {
  it('reads each job in its turn at any rate, while polls take all they may, and leaves a share to them', () => {
    fc.assert(
      fc.property(fc.double({ min: 0.2, max: 200, noNaN: true }), (requestsPerS) => {
        const node = new BusyNode(requestsPerS);
        const ids = Array.from({ length: JOB_COUNT }, (_, i) => `req-${i}`);
        for (const id of ids) node.ask(id);
        // Two more requests: the first token, and one poll that is ahead of the first read. The empty bucket is
        // refilled to the reserve of reads first.
        const refillMs = node.timeFor(Math.max(1, requestsPerS) * tokenReserve.reads, 1);
        const timersMs = JOB_COUNT * 2 * STEP_MS;
        const limitMs = node.timeFor(JOB_COUNT + 2, SHARE) + refillMs + timersMs;
        const knownAfterMs = node.playUntilKnown(ids, limitMs);
        assert.ok(knownAfterMs <= limitMs, `not known after ${limitMs} ms`);
        // Polls begin once the bucket is refilled to their reserve.
        const reservedTokens = Math.max(1, requestsPerS) * tokenReserve.polls;
        const pollsAllowed = (knownAfterMs / 1000) * requestsPerS * (1 - SHARE) - reservedTokens;
        const pollsPossible = Math.min(pollsAllowed, knownAfterMs / STEP_MS);
        assert.ok(node.pollsSent >= pollsPossible / 2 - 2, `${node.pollsSent} polls`);
      }),
      { seed: 11, numRuns: 60 },
    );
  });

  it('answers a caller in time and reads the job nevertheless', () => {
    const node = new BusyNode(0.2);
    const ids = ['req-1'];
    node.ask('req-1');
    assert.ok(node.playUntilKnown(ids, 20_000) > 2000);
  });
});
