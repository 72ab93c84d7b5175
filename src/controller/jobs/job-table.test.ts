import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { immediateRecords } from '../../../test/fake-records.js';
import { arraySpec, FakeClock, idleRuntime } from '../../../test/fakes.js';
import { standalonePlatform } from '../../../test/platform.js';
import { EventLoop } from '../runtime/event-loop.js';
import { defaultProperties } from '../settings/properties.js';
import { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import { writeJobSpec } from '../wire/jobs.js';
import { JobTable } from './job-table.js';

const settings = new Settings(standalonePlatform(), defaultProperties());
const nothing = (): void => undefined;

// World seed 5: a leader replaced without knowing it saw its successor's end of a job.
describe('JobTable', () => {
  it('tells the terminal state of a job whose record was removed only once it has been read', () => {
    const clock = new FakeClock(1000);
    const answers: ((result: unknown) => void)[] = [];
    const ended: string[] = [];
    const client = {
      budget: { requestTokens: { forceTake: () => undefined } },
      read: (_key: string, _ms: number, done: (result: unknown) => void) => answers.push(done),
    } as unknown as StateStoreClient;
    const eventLoop = new EventLoop(idleRuntime(clock), clock.log);
    const table = new JobTable(eventLoop, settings, client, immediateRecords(), {
      ...{ onIncompleteGang: nothing, onJobAdded: nothing, onTasksPending: nothing },
      ...{ onRecordRemoved: nothing, onJobTerminated: nothing, onCompletionRecorded: nothing },
      onTerminalState: (id, state) => ended.push(`${id} ${state}`),
    });
    table.add('req-1', { job: writeJobSpec(arraySpec()), at: 0 }, 1);
    table.handleRecordRemoved('req-1');
    assert.deepEqual(ended, []);
    answers[0]?.({ kind: 'ok', value: { key: '', version: 1, value: { state: 'done' } } });
    assert.deepEqual(ended, ['req-1 done']);
  });
});
