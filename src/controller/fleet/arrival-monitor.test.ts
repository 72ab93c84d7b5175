import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ArrivalMonitor } from './arrival-monitor.js';

const DECAY_TIME_CONSTANT_MS = 120_000;
const MIN_STOP_DELAY_MS = 20_000;
const GAP_MS = 4000;

/** Returns a monitor that has observed a job every `gapMs` for `forMs`, and the time of the last arrival. */
function monitorAfterArrivals(
  gapMs: number,
  forMs: number,
): { arrivals: ArrivalMonitor; lastAt: number } {
  const arrivals = new ArrivalMonitor(DECAY_TIME_CONSTANT_MS, MIN_STOP_DELAY_MS, 0);
  let lastAt = 0;
  for (let arrivedAt = gapMs; arrivedAt <= forMs; arrivedAt += gapMs) {
    arrivals.observe([arrivedAt], arrivedAt);
    lastAt = arrivedAt;
  }
  return { arrivals, lastAt };
}

describe('ArrivalMonitor', () => {
  it('reports a stop after many mean gaps without a job, until the next job arrives', () => {
    const { arrivals, lastAt } = monitorAfterArrivals(GAP_MS, 400_000);
    assert.ok(!arrivals.haveStopped(lastAt + 5 * GAP_MS));
    assert.ok(arrivals.haveStopped(lastAt + 15 * GAP_MS));
    arrivals.observe([lastAt + 16 * GAP_MS], lastAt + 16 * GAP_MS);
    assert.ok(!arrivals.haveStopped(lastAt + 17 * GAP_MS));
  });

  it('reports no stop within the time in which users retry, however often jobs arrived before', () => {
    const { arrivals, lastAt } = monitorAfterArrivals(100, 60_000);
    assert.ok(!arrivals.haveStopped(lastAt + MIN_STOP_DELAY_MS));
    assert.ok(arrivals.haveStopped(lastAt + MIN_STOP_DELAY_MS + 1));
  });

  // No job can arrive during an outage, so the lack of jobs is no sign that arrivals have stopped.
  it('measures the time without jobs only from the end of an interruption', () => {
    const { arrivals, lastAt } = monitorAfterArrivals(GAP_MS, 400_000);
    const resumedAt = lastAt + 60_000;
    arrivals.recordInterruption(resumedAt);
    assert.ok(!arrivals.haveStopped(resumedAt + GAP_MS));
    assert.ok(arrivals.haveStopped(resumedAt + 15 * GAP_MS));
  });

  it('reports no stop before several jobs have arrived, and counts each job once', () => {
    const arrivals = new ArrivalMonitor(DECAY_TIME_CONSTANT_MS, MIN_STOP_DELAY_MS, 0);
    for (let now = 0; now < 100_000; now += 1000) arrivals.observe([1, 2, 3], now);
    assert.ok(!arrivals.haveStopped(1_000_000));
  });
});
