import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ArrivalMonitor } from './arrival-monitor.js';

const MEMORY_MS = 120_000;
const LEAST_MS = 20_000;
const GAP_MS = 4000;

/** Arrivals that have seen a job every `gapMs` for `forMs`, and when the last of them came. */
function seen(gapMs: number, forMs: number): { arrivals: ArrivalMonitor; lastAt: number } {
  const arrivals = new ArrivalMonitor(MEMORY_MS, LEAST_MS, 0);
  let lastAt = 0;
  for (let at = gapMs; at <= forMs; at += gapMs) {
    arrivals.observe([at], at);
    lastAt = at;
  }
  return { arrivals, lastAt };
}

describe('arrivals', () => {
  it('have stopped after a silence of many usual gaps, and go on with the next job', () => {
    const { arrivals, lastAt } = seen(GAP_MS, 400_000);
    assert.ok(!arrivals.haveStopped(lastAt + 5 * GAP_MS));
    assert.ok(arrivals.haveStopped(lastAt + 15 * GAP_MS));
    arrivals.observe([lastAt + 16 * GAP_MS], lastAt + 16 * GAP_MS);
    assert.ok(!arrivals.haveStopped(lastAt + 17 * GAP_MS));
  });

  it('do not count as stopped sooner than users retry, however dense they were', () => {
    const { arrivals, lastAt } = seen(100, 60_000);
    assert.ok(!arrivals.haveStopped(lastAt + LEAST_MS));
    assert.ok(arrivals.haveStopped(lastAt + LEAST_MS + 1));
  });

  // An outage lets no job in: that nobody came then says nothing.
  it('count silence only from the end of an interruption', () => {
    const { arrivals, lastAt } = seen(GAP_MS, 400_000);
    const resumedAt = lastAt + 60_000;
    arrivals.noteInterruption(resumedAt);
    assert.ok(!arrivals.haveStopped(resumedAt + GAP_MS));
    assert.ok(arrivals.haveStopped(resumedAt + 15 * GAP_MS));
  });

  it('are unknown until some jobs have come, and a job counts once', () => {
    const arrivals = new ArrivalMonitor(MEMORY_MS, LEAST_MS, 0);
    for (let at = 0; at < 100_000; at += 1000) arrivals.observe([1, 2, 3], at);
    assert.ok(!arrivals.haveStopped(1_000_000));
  });
});
