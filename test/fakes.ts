/** Fakes and example values for unit tests. */
import type { Runtime, Logger } from '../src/controller/runtime/runtime.js';
import { Job } from '../src/controller/model/entities.js';
import type { JobSpec } from '../src/controller/wire/jobs.js';
import { silentLogger } from './manual-runtime.js';

const noop = (): void => undefined;

/** A clock that the test sets, and a log that discards everything. */
export class FakeClock {
  readonly log: Logger = silentLogger;

  constructor(public time: number) {}

  now(): number {
    return this.time;
  }
}

/** A job array of two small tasks, with the given fields replaced. */
export function arraySpec(overrides: Partial<JobSpec> = {}): JobSpec {
  return {
    id: 'req-1',
    class: 'c',
    team: 't',
    kind: 'array',
    priority: 'normal',
    tasks: 2,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    image: 'i',
    imageGb: 1,
    types: null,
    zone: null,
    singleZone: false,
    spread: false,
    spot: true,
    estimatedRunS: 10,
    checkpointIntervalS: 0,
    checkpointSaveS: 0,
    deadlineS: null,
    ...overrides,
  };
}

/** A job accepted at time 0, with the spec of `arraySpec`. */
export function acceptedJob(overrides: Partial<JobSpec> = {}): Job {
  return new Job(arraySpec(overrides), 0, 1, 0);
}

/** A runtime that answers no call, fires no timer and runs no deferred function. */
export function idleRuntime(clock: FakeClock): Runtime {
  return {
    startedAt: -Infinity,
    now: () => clock.time,
    wallClock: () => clock.time,
    random: () => 0.5,
    defer: noop,
    startTimer: () => ({ cancel: noop }),
    call: noop,
    hasSpareConnection: () => true,
    sendPeer: noop,
  };
}
