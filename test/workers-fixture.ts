/** Shared set-up of the unit tests of workers/: settings, heartbeats and `Workers` with a fake record store. */
import assert from 'node:assert/strict';
import { JobTable } from '../src/controller/jobs/job-table.js';
import { type Job, Machine } from '../src/controller/model/entities.js';
import { EventLoop } from '../src/controller/runtime/event-loop.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { Settings } from '../src/controller/settings/settings.js';
import type { StateStoreClient } from '../src/controller/store/client.js';
import type { Int } from '../src/controller/wire/integers.js';
import { type JobSpec, writeJobSpec } from '../src/controller/wire/jobs.js';
import type { Heartbeat, TaskStatus } from '../src/controller/wire/workers.js';
import { makeFencingToken } from '../src/controller/workers/fencing-token.js';
import { Workers } from '../src/controller/workers/workers.js';
import { immediateRecords } from './fake-records.js';
import { arraySpec } from './fakes.js';
import { ManualRuntime, silentLogger } from './manual-runtime.js';
import { standalonePlatform } from './platform.js';

export const settings = new Settings(standalonePlatform(), defaultProperties());

/** The term of the leader under test. */
export const TERM = 50;

/** The lowest fencing token of `TERM`. */
export const TOKEN = Number(makeFencingToken(TERM, 0));

/** The attempt with which tasks are assigned by default. */
export const ATTEMPT = 9;

/** Time of the monotonic clock at which `WorkersFixture` starts, in milliseconds. */
const START_MS = 1000;

/** A machine that was first seen at time 0. */
export function newMachine(id = 'n-1'): Machine {
  return new Machine(id, 0, settings);
}

/** A heartbeat of machine `n-1` in its first agent epoch, without tasks. */
export function heartbeat(overrides: Partial<Heartbeat> = {}): Heartbeat {
  return {
    ...{ machine: 'n-1', addr: '10.1.0.1:9', type: 'g', zone: 'a', spot: false, agentEpoch: 1 },
    ...{ sequence: 1, fencingToken: 0, spotNoticeS: null, tasks: [] },
    ...overrides,
  };
}

/** The body of a heartbeat of machine `n-1` without tasks, with the field names of the worker protocol. */
export function heartbeatBody(sequence: number, fencingToken: Int): object {
  return {
    ...{ kiln: 'n-1', address: '10.1.0.1:9', model: 'g', hall: 'a', loaners: false },
    ...{ tenure: 1, tally: sequence, baton: fencingToken, recall_s: null, duties: [] },
  };
}

/** The status of the first task of `req-1`, running with the given attempt. */
export function taskStatus(attempt: number, overrides: Partial<TaskStatus> = {}): TaskStatus {
  return {
    ...{ name: 'req-1/0', attempt, state: 'running', cause: null, checkpointSaved: false },
    ...overrides,
  };
}

/** The attempt of the task in `RECORDED_MACHINE`. */
export const RECORDED_ATTEMPT = 5;

/** The record of machine `n-1` that a previous leader has stored; it lists the first task of `req-1`. */
export const RECORDED_MACHINE = [
  ...[1, 'g', 'a', 0, '10.1.0.1:9'],
  ['req-1', 't', 1, 0, 1, 0, [RECORDED_ATTEMPT, 0, 0]],
];

/** The contents of a heartbeat response: commands in the form `verb task`, and the fencing token. */
interface SentCommands {
  commands: string[];
  token: number;
}

/** The `Workers` of a leader with one job, over a record store that stores records immediately. */
export class WorkersFixture {
  readonly runtime = new ManualRuntime();
  readonly workers: Workers;
  /** Number of times that the job table has reported a gang as incomplete. */
  incompleteGangs = 0;
  private readonly table: JobTable;
  private lastSequence = 0;

  /** @param machineRecord - the stored record of machine `n-1` to restore; undefined if there is none */
  constructor(jobOverrides: Partial<JobSpec> = {}, machineRecord?: unknown) {
    this.runtime.advance(START_MS);
    const eventLoop = new EventLoop(this.runtime, silentLogger);
    const records = immediateRecords(machineRecord === undefined ? {} : { 'm/n-1': machineRecord });
    this.table = new JobTable(eventLoop, settings, {} as unknown as StateStoreClient, records, {
      onIncompleteGang: (job) => {
        this.incompleteGangs++;
        this.workers.stopJob(job, 0, 'incomplete gang');
      },
      onJobAdded: () => undefined,
      onTasksPending: () => undefined,
      onRecordRemoved: () => undefined,
      onJobTerminated: () => undefined,
      onCompletionRecorded: () => undefined,
      onTerminalState: () => undefined,
    });
    this.workers = new Workers(eventLoop, settings, TERM, records, this.table, {
      findMachineType: () => undefined,
      termReported: () => undefined,
      placementInputChanged: () => undefined,
      taskCompleted: () => undefined,
    });
    this.table.add('req-1', { job: writeJobSpec(arraySpec(jobOverrides)), at: 0 }, 1);
    this.workers.restore();
    this.table.finishRecovery();
  }

  get job(): Job {
    return this.table.jobs.get('req-1') ?? assert.fail('no job req-1');
  }

  get machine(): Machine {
    return this.workers.getOrCreateMachine('n-1');
  }

  /** Assigns the job's first task to the machine and flushes the records. */
  assign(attempt = ATTEMPT): void {
    this.job.pending.remove(0);
    this.workers.assign(this.job, 0, attempt, this.machine);
    this.workers.flush();
  }

  /** Handles the machine's next heartbeat; returns null if it is refused. */
  receiveHeartbeat(
    fencingToken: Int,
    tasks: TaskStatus[] = [],
    overrides: Partial<Heartbeat> = {},
  ): SentCommands | null {
    const sequence = ++this.lastSequence;
    const response = this.workers.handleHeartbeat(
      heartbeat({ sequence, fencingToken, tasks, ...overrides }),
    );
    if (response.status !== 200) return null;
    const body = response.body as { baton: number; orders: { verb: string; duty: string }[] };
    return { commands: body.orders.map(({ verb, duty }) => `${verb} ${duty}`), token: body.baton };
  }

  /** Answers the oldest pending direct command with status 200 and a heartbeat that lists no tasks. */
  answerDirectCommand(): void {
    const command = this.runtime.calls[0]?.call.body as { baton: number };
    this.runtime.answer(200, heartbeatBody(++this.lastSequence, command.baton));
  }
}
