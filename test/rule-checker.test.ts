import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobSpec } from '../src/controller/wire/jobs.js';
import type { FreeCapacity, Placement } from './simulation/rules/placement.js';
import { RuleChecker } from './simulation/rules/rule-checker.js';

// The simulation is worth what its checks catch: one violation of each rule.

const spec: JobSpec = {
  id: 'req-1',
  class: 'train',
  team: 'red',
  kind: 'gang',
  priority: 'normal',
  tasks: 2,
  cpus: 1,
  gpus: 2,
  memoryGb: 1,
  image: 'i',
  imageGb: 1,
  types: ['big'],
  zone: null,
  singleZone: true,
  spread: false,
  spot: false,
  estimatedRunS: 10,
  checkpointIntervalS: 0,
  checkpointSaveS: 0,
  deadlineS: null,
};
const a: Placement = { machine: 'n-1', type: 'big', zone: 'a', spot: false };
const free: FreeCapacity = {
  ...{ type: 'big', zone: 'a', spot: false, interruptionNotice: false },
  ...{ cpus: 16, gpus: 4, memoryGb: 128 },
};
const team = { name: 'red', guaranteedCpus: 0, guaranteedGpus: 0, maxCpus: 0, maxGpus: 4 };

function broken(violate: (r: RuleChecker, time: { now: number }) => void): string[] {
  const time = { now: 0 };
  const checker = new RuleChecker([team], 45_000, () => time.now);
  checker.jobSubmitted(spec);
  violate(checker, time);
  return checker.violations.map((b) => b.split(' s ')[1]?.split(':')[0] ?? '');
}

describe('planted violations', () => {
  it('none on a clean life', () => {
    const found = broken((r) => {
      r.responseReceived('req-1', 201, 'pending', true);
      for (const t of [0, 1]) r.taskStarted('req-1', t, a);
      for (const t of [0, 1]) {
        r.taskCompleted('req-1', t);
        r.taskStopped('req-1', t, 'n-1');
      }
      r.responseReceived('req-1', 200, 'done', false);
      r.tick();
    });
    assert.deepEqual(found, []);
  });

  it('none where a job waits for room that no machine has, or for its team', () => {
    const waits = (room: FreeCapacity, use: (r: RuleChecker) => void = () => undefined): string[] =>
      broken((r, time) => {
        r.responseReceived('req-1', 201, 'pending', true);
        use(r);
        for (; time.now <= 200_000; time.now += 1000) r.checkWaitingJobs([room]);
      });
    assert.deepEqual(waits({ ...free, gpus: 3 }), []);
    assert.deepEqual(waits({ ...free, type: 'small' }), []);
    assert.deepEqual(waits({ ...free, spot: true }), []);
    const other = (r: RuleChecker): void => {
      r.jobSubmitted({ ...spec, id: 'req-2' });
      r.taskStarted('req-2', 0, a);
    };
    assert.deepEqual(waits(free, other), []);
  });

  it('none where an answer to a question from before arrives after a newer one', () => {
    const found = broken((r) => {
      const unknown = r.visibleState('req-1');
      r.responseReceived('req-1', 201, 'pending', true);
      r.responseReceived('req-1', 404, '', false, unknown);
      const accepted = r.visibleState('req-1');
      r.cancelRequested('req-1');
      r.responseReceived('req-1', 200, 'aborted', false);
      r.responseReceived('req-1', 200, 'running', false, accepted);
    });
    assert.deepEqual(found, []);
  });

  const cases: [string, (r: RuleChecker, time: { now: number }) => void][] = [
    [
      'ran_twice',
      (r) => {
        r.taskStarted('req-1', 0, a);
        r.taskStarted('req-1', 0, { ...a, machine: 'n-2' });
      },
    ],
    [
      'quota',
      (r) => {
        for (const t of [0, 1]) r.taskStarted('req-1', t, a);
        r.jobSubmitted({ ...spec, id: 'req-2' });
        r.taskStarted('req-2', 0, a);
      },
    ],
    ['wrong_place', (r) => r.taskStarted('req-1', 0, { ...a, type: 'small' })],
    ['wrong_place', (r) => r.taskStarted('req-1', 0, { ...a, spot: true })],
    [
      'wrong_place',
      (r) => {
        r.taskStarted('req-1', 0, a);
        r.taskStarted('req-1', 1, { ...a, zone: 'b', machine: 'n-2' });
      },
    ],
    [
      'wrong_place',
      (r) => {
        r.jobSubmitted({ ...spec, id: 'req-2', singleZone: false, spread: true, gpus: 1 });
        r.taskStarted('req-2', 0, a);
        r.taskStarted('req-2', 1, a);
      },
    ],
    [
      'ran_cancelled',
      (r, time) => {
        r.taskStarted('req-1', 0, a);
        r.cancelRequested('req-1');
        r.responseReceived('req-1', 200, 'aborted', false);
        time.now = 46_000;
        r.tick();
      },
    ],
    [
      'forgotten',
      (r) => {
        r.responseReceived('req-1', 201, 'pending', true);
        r.responseReceived('req-1', 404, '', false);
      },
    ],
    [
      'forgotten',
      (r) => {
        r.responseReceived('req-1', 201, 'pending', true);
        r.responseReceived('req-1', 422, '', true);
      },
    ],
    ['invented', (r) => r.responseReceived('req-9', 200, 'pending', false)],
    ['not_done', (r) => r.responseReceived('req-1', 200, 'done', false)],
    [
      'went_back',
      (r) => {
        for (const t of [0, 1]) r.taskCompleted('req-1', t);
        r.responseReceived('req-1', 200, 'done', false);
        r.responseReceived('req-1', 200, 'running', false);
      },
    ],
    ['went_back', (r) => r.responseReceived('req-1', 200, 'aborted', false)],
    [
      'forgotten',
      (r, time) => {
        r.responseReceived('req-1', 201, 'pending', true);
        r.faultsEndedAt = time.now;
        r.responseReceived('req-1', 503, '', false);
        time.now = 76_000;
        r.tick();
      },
    ],
    [
      'left_waiting',
      (r, time) => {
        r.responseReceived('req-1', 201, 'pending', true);
        r.faultsEndedAt = time.now;
        for (; time.now <= 91_000; time.now += 1000) r.checkWaitingJobs([free]);
      },
    ],
    [
      'left_waiting',
      (r, time) => {
        r.jobSubmitted({ ...spec, id: 'req-2', kind: 'service', tasks: 2, gpus: 1 });
        r.responseReceived('req-2', 201, 'pending', true);
        r.faultsEndedAt = time.now;
        r.taskStarted('req-2', 0, a);
        for (; time.now <= 31_000; time.now += 1000) r.checkWaitingJobs([free]);
      },
    ],
    [
      'forgotten',
      (r, time) => {
        r.responseReceived('req-1', 201, 'pending', true);
        r.cancelRequested('req-1');
        r.faultsEndedAt = time.now;
        r.responseReceived('req-1', 503, '', false);
        time.now = 76_000;
        r.tick();
      },
    ],
    [
      'forgotten',
      (r) => {
        r.responseReceived('req-1', 201, 'pending', true);
        const accepted = r.visibleState('req-1');
        r.responseReceived('req-1', 404, '', false, accepted);
      },
    ],
    [
      'went_back',
      (r) => {
        r.cancelRequested('req-1');
        r.responseReceived('req-1', 200, 'aborted', false);
        const cancelled = r.visibleState('req-1');
        r.responseReceived('req-1', 200, 'running', false, cancelled);
      },
    ],
    [
      'went_back',
      (r) => {
        const accepted = r.visibleState('req-1');
        r.cancelRequested('req-1');
        for (const t of [0, 1]) r.taskCompleted('req-1', t);
        r.responseReceived('req-1', 200, 'done', false);
        r.responseReceived('req-1', 200, 'aborted', false, accepted);
      },
    ],
    ['accepted_odd', (r) => r.invalidJobAccepted('req-odd-1')],
  ];
  for (const [i, [rule, violate]] of cases.entries())
    it(`${rule} is caught (${i})`, () => {
      assert.ok(broken(violate).includes(rule));
    });
});
