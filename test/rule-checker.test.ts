/** Tests of the simulation's rule checker: each rule is violated at least once and has to be reported. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  accept,
  BOTH_TASKS,
  cancel,
  CANCEL_MS,
  freeMachine,
  gang,
  placement,
  violatedRules,
  waitUntil,
  type Steps,
} from './rule-checker-fixture.js';
import type { FreeCapacity } from './simulation/rules/placement.js';

describe('the rule checker reports no violation', () => {
  it('when a job is accepted, runs and completes', () => {
    const violated = violatedRules((checker) => {
      accept(checker);
      for (const task of BOTH_TASKS) checker.taskStarted('req-1', task, placement);
      for (const task of BOTH_TASKS) {
        checker.taskCompleted('req-1', task);
        checker.taskStopped('req-1', task, 'n-1');
      }
      checker.responseReceived('req-1', 200, 'done', false);
      checker.tick();
    });
    assert.deepEqual(violated, []);
  });

  const waitingReasons: [string, FreeCapacity, Steps][] = [
    ['no machine has enough GPUs', { ...freeMachine, gpus: 3 }, () => undefined],
    ['no machine has a type that it allows', { ...freeMachine, type: 'small' }, () => undefined],
    ['all machines are spot instances', { ...freeMachine, spot: true }, () => undefined],
    [
      'its team is at its limit',
      freeMachine,
      (checker) => {
        checker.jobSubmitted({ ...gang, id: 'req-2' });
        checker.taskStarted('req-2', 0, placement);
      },
    ],
  ];
  for (const [reason, freeCapacity, prepare] of waitingReasons)
    it(`when a job waits because ${reason}`, () => {
      const violated = violatedRules((checker, time) => {
        accept(checker);
        prepare(checker, time);
        waitUntil(checker, time, 200_000, freeCapacity);
      });
      assert.deepEqual(violated, []);
    });

  it('when the response to an earlier request arrives after a newer response', () => {
    const violated = violatedRules((checker) => {
      const stateBefore = checker.visibleState('req-1');
      accept(checker);
      checker.responseReceived('req-1', 404, '', false, stateBefore);
      const acceptedState = checker.visibleState('req-1');
      cancel(checker);
      checker.responseReceived('req-1', 200, 'running', false, acceptedState);
    });
    assert.deepEqual(violated, []);
  });
});

/** Steps that violate a rule. */
interface Violation {
  rule: string;
  when: string;
  play: Steps;
}

const placementViolations: Violation[] = [
  {
    rule: 'ran_twice',
    when: 'a task runs on two machines',
    play: (checker) => {
      checker.taskStarted('req-1', 0, placement);
      checker.taskStarted('req-1', 0, { ...placement, machine: 'n-2' });
    },
  },
  {
    rule: 'quota',
    when: "a team's tasks exceed its limit",
    play: (checker) => {
      for (const task of BOTH_TASKS) checker.taskStarted('req-1', task, placement);
      checker.jobSubmitted({ ...gang, id: 'req-2' });
      checker.taskStarted('req-2', 0, placement);
    },
  },
  {
    rule: 'wrong_place',
    when: 'a task runs on a machine of a type that its job does not allow',
    play: (checker) => checker.taskStarted('req-1', 0, { ...placement, type: 'small' }),
  },
  {
    rule: 'wrong_place',
    when: 'a task that requires an on-demand machine runs on a spot instance',
    play: (checker) => checker.taskStarted('req-1', 0, { ...placement, spot: true }),
  },
  {
    rule: 'wrong_place',
    when: 'tasks that require a single zone run in two zones',
    play: (checker) => {
      checker.taskStarted('req-1', 0, placement);
      checker.taskStarted('req-1', 1, { ...placement, zone: 'b', machine: 'n-2' });
    },
  },
  {
    rule: 'wrong_place',
    when: 'tasks that have to be spread over zones run in one zone',
    play: (checker) => {
      checker.jobSubmitted({ ...gang, id: 'req-2', singleZone: false, spread: true, gpus: 1 });
      for (const task of BOTH_TASKS) checker.taskStarted('req-2', task, placement);
    },
  },
  {
    rule: 'ran_cancelled',
    when: 'a task still runs more than cancel_s after the cancellation of its job was confirmed',
    play: (checker, time) => {
      checker.taskStarted('req-1', 0, placement);
      cancel(checker);
      time.now = CANCEL_MS + 1000;
      checker.tick();
    },
  },
];

const responseViolations: Violation[] = [
  {
    rule: 'forgotten',
    when: 'the response to a later status query reports an accepted job as unknown',
    play: (checker) => {
      accept(checker);
      checker.responseReceived('req-1', 404, '', false);
    },
  },
  {
    rule: 'forgotten',
    when: 'a retried submission of an accepted job is refused',
    play: (checker) => {
      accept(checker);
      checker.responseReceived('req-1', 422, '', true);
    },
  },
  {
    rule: 'forgotten',
    when: 'a job that was accepted before a status query was sent is reported as unknown',
    play: (checker) => {
      accept(checker);
      const acceptedState = checker.visibleState('req-1');
      checker.responseReceived('req-1', 404, '', false, acceptedState);
    },
  },
  {
    rule: 'invented',
    when: 'a response reports the state of a job that nobody submitted',
    play: (checker) => checker.responseReceived('req-9', 200, 'pending', false),
  },
  {
    rule: 'not_done',
    when: 'a response reports a job as done before its tasks have completed',
    play: (checker) => checker.responseReceived('req-1', 200, 'done', false),
  },
  {
    rule: 'went_back',
    when: 'a job is reported as running after it was reported as done',
    play: (checker) => {
      for (const task of BOTH_TASKS) checker.taskCompleted('req-1', task);
      checker.responseReceived('req-1', 200, 'done', false);
      checker.responseReceived('req-1', 200, 'running', false);
    },
  },
  {
    rule: 'went_back',
    when: 'a job is reported as cancelled although nobody requested its cancellation',
    play: (checker) => checker.responseReceived('req-1', 200, 'aborted', false),
  },
  {
    rule: 'went_back',
    when: 'a job is reported as running although it was cancelled before the query was sent',
    play: (checker) => {
      cancel(checker);
      const cancelledState = checker.visibleState('req-1');
      checker.responseReceived('req-1', 200, 'running', false, cancelledState);
    },
  },
  {
    rule: 'went_back',
    when: 'a job is reported as done, and then as cancelled in the response to an earlier request',
    play: (checker) => {
      const acceptedState = checker.visibleState('req-1');
      checker.cancelRequested('req-1');
      for (const task of BOTH_TASKS) checker.taskCompleted('req-1', task);
      checker.responseReceived('req-1', 200, 'done', false);
      checker.responseReceived('req-1', 200, 'aborted', false, acceptedState);
    },
  },
  {
    rule: 'accepted_odd',
    when: 'an invalid submission is accepted',
    play: (checker) => checker.invalidJobAccepted('req-odd-1'),
  },
];

const neglectViolations: Violation[] = [
  {
    rule: 'forgotten',
    when: 'no request about an accepted job is answered within 75 s of the last fault',
    play: (checker, time) => {
      accept(checker);
      checker.faultsEndedAt = time.now;
      checker.responseReceived('req-1', 503, '', false);
      time.now = 76_000;
      checker.tick();
    },
  },
  {
    rule: 'forgotten',
    when: 'a cancellation is not answered within 75 s of the last fault',
    play: (checker, time) => {
      accept(checker);
      checker.cancelRequested('req-1');
      checker.faultsEndedAt = time.now;
      checker.responseReceived('req-1', 503, '', false);
      time.now = 76_000;
      checker.tick();
    },
  },
  {
    rule: 'left_waiting',
    when: 'a gang waits for more than 90 s although there is free capacity for it',
    play: (checker, time) => {
      accept(checker);
      checker.faultsEndedAt = time.now;
      waitUntil(checker, time, 91_000, freeMachine);
    },
  },
  {
    rule: 'left_waiting',
    when: 'a service lacks a replica for more than 30 s although there is free capacity for it',
    play: (checker, time) => {
      checker.jobSubmitted({ ...gang, id: 'req-2', kind: 'service', tasks: 2, gpus: 1 });
      accept(checker, 'req-2');
      checker.faultsEndedAt = time.now;
      checker.taskStarted('req-2', 0, placement);
      waitUntil(checker, time, 31_000, freeMachine);
    },
  },
];

const violations: [string, Violation[]][] = [
  ['the placement of tasks', placementViolations],
  ['responses to users', responseViolations],
  ['the treatment of jobs after the last fault', neglectViolations],
];
for (const [subject, cases] of violations)
  describe(`the rule checker, checking ${subject},`, () => {
    for (const { rule, when, play } of cases)
      it(`reports a violation of the rule ${rule} when ${when}`, () => {
        assert.ok(violatedRules(play).includes(rule));
      });
  });
