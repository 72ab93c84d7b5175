import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Controller } from '../src/controller/controller.js';
import type { Runtime } from '../src/controller/runtime/runtime.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { decodeBody, encodeBody } from '../src/controller/wire/cbor.js';
import { responseScenarios } from './simulation/scenarios/response-scenarios.js';
import type { FaultScenario } from './simulation/scenarios/fault-scenario.js';
import { faultScenarios } from './simulation/scenarios/fault-scenarios.js';
import { playScenario } from './simulation/scenarios/play-scenario.js';
import { failoverScenarios } from './simulation/scenarios/failover-scenarios.js';
import { presentVersion, type ProgramVersion } from './simulation/program-version.js';

// A day of the table is worth what it catches: controllers with a injected bug break a rule on it.

function named(part: string): FaultScenario {
  const table = [...faultScenarios, ...failoverScenarios, ...responseScenarios];
  const m = table.find((x) => x.name.includes(part));
  assert.ok(m, part);
  return m;
}

type Request = Parameters<Controller['request']>;

/** How long the faulty controller remembers its answers. */
const REMEMBERED_MS = 1000;

/** Answers a poll from memory for a moment, whatever other nodes have told since. */
class CachingController extends Controller {
  private readonly answers = new Map<string, { at: number; answer: Parameters<Request[3]>[0] }>();
  private readonly runtime: Runtime;

  constructor(...parts: ConstructorParameters<typeof Controller>) {
    super(...parts);
    [this.runtime] = parts;
  }

  override request(...[method, path, bytes, respond]: Request): void {
    const known = this.answers.get(path);
    const now = this.runtime.now();
    if (method === 'GET' && known !== undefined && now - known.at < REMEMBERED_MS)
      return respond(known.answer);
    super.request(method, path, bytes, (answer) => {
      if (method === 'GET' && answer.status === 200) this.answers.set(path, { at: now, answer });
      respond(answer);
    });
  }
}

interface Report {
  kiln: string;
  tenure: number;
  tally: number;
  baton: number;
}

/** Takes every report for the newest, and for one that shows the leader's own term. */
class StaleHeartbeatController extends Controller {
  private readonly newest = new Map<string, Report>();

  override request(...[method, path, bytes, respond]: Request): void {
    if (path !== '/v1/report') return super.request(method, path, bytes, respond);
    const report = decodeBody(bytes) as Report;
    const last = this.newest.get(report.kiln);
    if (last !== undefined) {
      report.tenure = Math.max(report.tenure, last.tenure);
      report.tally = Math.max(report.tally, last.tally + 1);
      report.baton = Math.max(report.baton, last.baton);
    }
    this.newest.set(report.kiln, report);
    super.request(method, path, encodeBody(report), respond);
  }
}

function withController(buggy: typeof Controller): ProgramVersion {
  return { ...presentVersion(), Controller: buggy };
}

describe('planted faults in the code under test', () => {
  // Without its bound a leader renews workers for as long as its lease is renewed.
  it('a leader that answers on a view of any age', () => {
    const version = presentVersion({ ...defaultProperties(), 'workers.view.ratio': 1000 });
    assert.throws(() => playScenario(named('whose watches do not'), 1, version), /ran_cancelled/);
  });

  for (const day of ['right after each answer', 'whose answers alone are lost'])
    it(`a node that remembers its answers, where ${day}`, () => {
      const version = withController(CachingController);
      assert.throws(() => playScenario(named(day), 1, version), /went_back/);
    });

  it('a leader that believes reports of any age', () => {
    const day = named('which arrive 4 s after');
    assert.throws(
      () => playScenario(day, 1, withController(StaleHeartbeatController)),
      /ran_twice|quota/,
    );
  });
});
