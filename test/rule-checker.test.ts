import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobSpec } from '../src/controller/wire/jobs.js';
import type { FreeRoom, Place } from './simulation/place.js';
import { RuleChecker } from './simulation/rule-checker.js';

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
const a: Place = { machine: 'n-1', type: 'big', zone: 'a', spot: false };
const free: FreeRoom = {
  ...{ type: 'big', zone: 'a', spot: false, recalled: false },
  ...{ cpus: 16, gpus: 4, memoryGb: 128 },
};
const team = { name: 'red', guaranteedCpus: 0, guaranteedGpus: 0, maxCpus: 0, maxGpus: 4 };

function broken(violate: (r: RuleChecker, time: { now: number }) => void): string[] {
  const time = { now: 0 };
  const checker = new RuleChecker([team], 45_000, () => time.now);
  checker.submitted(spec);
  violate(checker, time);
  return checker.broken.map((b) => b.split(' s ')[1]?.split(':')[0] ?? '');
}

describe('planted violations', () => {
  it('none on a clean life', () => {
    const found = broken((r) => {
      r.answered('req-1', 201, 'pending', true);
      for (const t of [0, 1]) r.taskOn('req-1', t, a);
      for (const t of [0, 1]) {
        r.taskDone('req-1', t);
        r.taskOff('req-1', t, 'n-1');
      }
      r.answered('req-1', 200, 'done', false);
      r.tick();
    });
    assert.deepEqual(found, []);
  });

  it('none where a job waits for room that no machine has, or for its team', () => {
    const waits = (room: FreeRoom, use: (r: RuleChecker) => void = () => undefined): string[] =>
      broken((r, time) => {
        r.answered('req-1', 201, 'pending', true);
        use(r);
        for (; time.now <= 200_000; time.now += 1000) r.waiting([room]);
      });
    assert.deepEqual(waits({ ...free, gpus: 3 }), []);
    assert.deepEqual(waits({ ...free, type: 'small' }), []);
    assert.deepEqual(waits({ ...free, spot: true }), []);
    const other = (r: RuleChecker): void => {
      r.submitted({ ...spec, id: 'req-2' });
      r.taskOn('req-2', 0, a);
    };
    assert.deepEqual(waits(free, other), []);
  });

  it('none where an answer to a question from before arrives after a newer one', () => {
    const found = broken((r) => {
      const unknown = r.standing('req-1');
      r.answered('req-1', 201, 'pending', true);
      r.answered('req-1', 404, '', false, unknown);
      const accepted = r.standing('req-1');
      r.cancelAsked('req-1');
      r.answered('req-1', 200, 'aborted', false);
      r.answered('req-1', 200, 'running', false, accepted);
    });
    assert.deepEqual(found, []);
  });

  const cases: [string, (r: RuleChecker, time: { now: number }) => void][] = [
    [
      'ran_twice',
      (r) => {
        r.taskOn('req-1', 0, a);
        r.taskOn('req-1', 0, { ...a, machine: 'n-2' });
      },
    ],
    [
      'quota',
      (r) => {
        for (const t of [0, 1]) r.taskOn('req-1', t, a);
        r.submitted({ ...spec, id: 'req-2' });
        r.taskOn('req-2', 0, a);
      },
    ],
    ['wrong_place', (r) => r.taskOn('req-1', 0, { ...a, type: 'small' })],
    ['wrong_place', (r) => r.taskOn('req-1', 0, { ...a, spot: true })],
    [
      'wrong_place',
      (r) => {
        r.taskOn('req-1', 0, a);
        r.taskOn('req-1', 1, { ...a, zone: 'b', machine: 'n-2' });
      },
    ],
    [
      'wrong_place',
      (r) => {
        r.submitted({ ...spec, id: 'req-2', singleZone: false, spread: true, gpus: 1 });
        r.taskOn('req-2', 0, a);
        r.taskOn('req-2', 1, a);
      },
    ],
    [
      'ran_cancelled',
      (r, time) => {
        r.taskOn('req-1', 0, a);
        r.cancelAsked('req-1');
        r.answered('req-1', 200, 'aborted', false);
        time.now = 46_000;
        r.tick();
      },
    ],
    [
      'forgotten',
      (r) => {
        r.answered('req-1', 201, 'pending', true);
        r.answered('req-1', 404, '', false);
      },
    ],
    [
      'forgotten',
      (r) => {
        r.answered('req-1', 201, 'pending', true);
        r.answered('req-1', 422, '', true);
      },
    ],
    ['invented', (r) => r.answered('req-9', 200, 'pending', false)],
    ['not_done', (r) => r.answered('req-1', 200, 'done', false)],
    [
      'went_back',
      (r) => {
        for (const t of [0, 1]) r.taskDone('req-1', t);
        r.answered('req-1', 200, 'done', false);
        r.answered('req-1', 200, 'running', false);
      },
    ],
    ['went_back', (r) => r.answered('req-1', 200, 'aborted', false)],
    [
      'forgotten',
      (r, time) => {
        r.answered('req-1', 201, 'pending', true);
        r.calmAt = time.now;
        r.answered('req-1', 503, '', false);
        time.now = 76_000;
        r.tick();
      },
    ],
    [
      'left_waiting',
      (r, time) => {
        r.answered('req-1', 201, 'pending', true);
        r.calmAt = time.now;
        for (; time.now <= 91_000; time.now += 1000) r.waiting([free]);
      },
    ],
    [
      'left_waiting',
      (r, time) => {
        r.submitted({ ...spec, id: 'req-2', kind: 'service', tasks: 2, gpus: 1 });
        r.answered('req-2', 201, 'pending', true);
        r.calmAt = time.now;
        r.taskOn('req-2', 0, a);
        for (; time.now <= 31_000; time.now += 1000) r.waiting([free]);
      },
    ],
    [
      'forgotten',
      (r, time) => {
        r.answered('req-1', 201, 'pending', true);
        r.cancelAsked('req-1');
        r.calmAt = time.now;
        r.answered('req-1', 503, '', false);
        time.now = 76_000;
        r.tick();
      },
    ],
    [
      'forgotten',
      (r) => {
        r.answered('req-1', 201, 'pending', true);
        const accepted = r.standing('req-1');
        r.answered('req-1', 404, '', false, accepted);
      },
    ],
    [
      'went_back',
      (r) => {
        r.cancelAsked('req-1');
        r.answered('req-1', 200, 'aborted', false);
        const cancelled = r.standing('req-1');
        r.answered('req-1', 200, 'running', false, cancelled);
      },
    ],
    [
      'went_back',
      (r) => {
        const accepted = r.standing('req-1');
        r.cancelAsked('req-1');
        for (const t of [0, 1]) r.taskDone('req-1', t);
        r.answered('req-1', 200, 'done', false);
        r.answered('req-1', 200, 'aborted', false, accepted);
      },
    ],
    ['accepted_odd', (r) => r.acceptedOdd('req-odd-1')],
  ];
  for (const [i, [rule, violate]] of cases.entries())
    it(`${rule} is caught (${i})`, () => {
      assert.ok(broken(violate).includes(rule));
    });
});
