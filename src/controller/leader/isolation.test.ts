import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { isIsolated, type WorkerReachability } from './isolation.js';

/**
 * Creates the reachability of 100 machines.
 * @param overdueShare - overdue share of all machines
 * @param unresponsiveShare - overdue share of the machines seen in this term
 */
function workers(overdueShare: number, unresponsiveShare: number): WorkerReachability {
  return {
    heartbeatIntervalMs: 1000,
    machineCount: 100,
    overdueShare: (_minOverdueMs, onlySeenInThisTerm) =>
      onlySeenInThisTerm ? unresponsiveShare : overdueShare,
  };
}

/** Creates statuses of peers that redirect the given numbers of heartbeats per second. */
function peers(...redirectedPerSecond: number[]): { strayReports: number }[] {
  return redirectedPerSecond.map((strayReports) => ({ strayReports }));
}

describe('isIsolated', () => {
  const cases = [
    {
      title: 'is true if most machines are overdue and peers redirect a tenth of all heartbeats',
      expected: true,
      reachability: workers(0.6, 0),
      statuses: peers(4, 6),
    },
    {
      title: 'is false if peers redirect less than a tenth of all heartbeats',
      expected: false,
      reachability: workers(0.6, 0),
      statuses: peers(4, 5),
    },
    {
      title: 'is false if peers redirect heartbeats but only half of the machines are overdue',
      expected: false,
      reachability: workers(0.5, 1),
      statuses: peers(100),
    },
    {
      title:
        'is true if no peer sends a status and more than nine tenths of the machines are unresponsive',
      expected: true,
      reachability: workers(0, 0.95),
      statuses: peers(),
    },
    {
      title: 'is false if no peer sends a status and a tenth of the machines respond',
      expected: false,
      reachability: workers(0, 0.9),
      statuses: peers(),
    },
    {
      title:
        'is false if more than nine tenths of the machines are unresponsive but a peer sends its status',
      expected: false,
      reachability: workers(0, 0.95),
      statuses: peers(0),
    },
  ];
  for (const { title, expected, reachability, statuses } of cases)
    it(title, () => assert.equal(isIsolated(reachability, statuses), expected));
});
