import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { isIsolated, type WorkerReachability } from './isolation.js';

/** 100 machines, and the shares of them that are overdue: of all, and of those heard in this term. */
function workers(overdueShare: number, unresponsiveShare: number): WorkerReachability {
  return {
    heartbeatIntervalMs: 1000,
    machineCount: 100,
    overdueShare: (_minOverdueMs, onlySeenInThisTerm) =>
      onlySeenInThisTerm ? unresponsiveShare : overdueShare,
  };
}

/** Statuses of peers that redirect so many heartbeats a second. */
function peers(...redirectedPerSecond: number[]): { strayReports: number }[] {
  return redirectedPerSecond.map((strayReports) => ({ strayReports }));
}

describe('isIsolated', () => {
  const cases = [
    {
      title: 'is true where most machines are overdue and peers redirect a tenth of the heartbeats',
      expected: true,
      reach: workers(0.6, 0),
      statuses: peers(4, 6),
    },
    {
      title: 'is false where peers redirect fewer heartbeats',
      expected: false,
      reach: workers(0.6, 0),
      statuses: peers(4, 5),
    },
    {
      title: 'is false where peers redirect heartbeats but only half of the machines are overdue',
      expected: false,
      reach: workers(0.5, 1),
      statuses: peers(100),
    },
    {
      title: 'is true where no peer is heard and nearly all machines are unresponsive',
      expected: true,
      reach: workers(0, 0.95),
      statuses: peers(),
    },
    {
      title: 'is false where no peer is heard and a tenth of the machines respond',
      expected: false,
      reach: workers(0, 0.9),
      statuses: peers(),
    },
    {
      title: 'is false where nearly all machines are unresponsive but a peer is heard',
      expected: false,
      reach: workers(0, 0.95),
      statuses: peers(0),
    },
  ];
  for (const { title, expected, reach, statuses } of cases)
    it(title, () => assert.equal(isIsolated(reach, statuses), expected));
});
