/** Checks that the fault scenarios detect bugs: a controller with an injected bug has to violate a rule. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Controller } from '../src/controller/controller.js';
import type { Runtime } from '../src/controller/runtime/runtime.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { decodeBody, encodeBody } from '../src/controller/wire/cbor.js';
import type { FaultScenario } from './simulation/scenarios/fault-scenario.js';
import { allScenarios } from './simulation/scenarios/fault-scenarios.js';
import { playScenario } from './simulation/scenarios/play-scenario.js';
import { presentVersion, type ProgramVersion } from './simulation/program-version.js';

/** Returns the first scenario whose name contains the text. */
function scenarioNamed(fragment: string): FaultScenario {
  const scenario = allScenarios.find(({ name }) => name.includes(fragment));
  assert.ok(scenario, `no scenario name contains "${fragment}"`);
  return scenario;
}

type RequestArguments = Parameters<Controller['request']>;
type Response = Parameters<RequestArguments[3]>[0];

/** Time for which `CachingController` caches a response. */
const CACHE_MS = 1000;

/** Answers status queries from a cache, even if other controllers have reported a newer state since. */
class CachingController extends Controller {
  private readonly cache = new Map<string, { cachedAt: number; response: Response }>();
  private readonly runtime: Runtime;

  constructor(...controllerArguments: ConstructorParameters<typeof Controller>) {
    super(...controllerArguments);
    [this.runtime] = controllerArguments;
  }

  override request(...[method, path, bytes, respond]: RequestArguments): void {
    const cached = this.cache.get(path);
    const now = this.runtime.now();
    if (method === 'GET' && cached !== undefined && now - cached.cachedAt < CACHE_MS)
      return respond(cached.response);
    super.request(method, path, bytes, (response) => {
      if (method === 'GET' && response.status === 200)
        this.cache.set(path, { cachedAt: now, response });
      respond(response);
    });
  }
}

/** The fields of a heartbeat that order it among the heartbeats of its worker, by their names on the wire. */
interface HeartbeatOrder {
  kiln: string;
  tenure: number;
  tally: number;
  baton: number;
}

/**
 * Accepts stale heartbeats: raises the agent epoch, sequence number and fencing token of each heartbeat so
 * that it appears to be the worker's newest.
 */
class StaleHeartbeatController extends Controller {
  private readonly newest = new Map<string, HeartbeatOrder>();

  override request(...[method, path, bytes, respond]: RequestArguments): void {
    if (path !== '/v1/report') return super.request(method, path, bytes, respond);
    const heartbeat = decodeBody(bytes) as HeartbeatOrder;
    const newest = this.newest.get(heartbeat.kiln);
    if (newest !== undefined) {
      heartbeat.tenure = Math.max(heartbeat.tenure, newest.tenure);
      heartbeat.tally = Math.max(heartbeat.tally, newest.tally + 1);
      heartbeat.baton = Math.max(heartbeat.baton, newest.baton);
    }
    this.newest.set(heartbeat.kiln, heartbeat);
    super.request(method, path, encodeBody(heartbeat), respond);
  }
}

/** The present version with its controller class replaced. */
function versionWith(BuggyController: typeof Controller): ProgramVersion {
  return { ...presentVersion(), Controller: BuggyController };
}

describe('an injected bug', () => {
  // A leader without the bound on the watch's staleness renews workers' leases as long as it renews its own.
  // Invariant 8 requires the bound: whoever answers a worker knows of every cancellation older than the bound.
  it('violates ran_cancelled if a leader answers workers however stale its job watch is', () => {
    const version = presentVersion({ ...defaultProperties(), 'workers.view.ratio': 1000 });
    const scenario = scenarioNamed('refuses the watches of the leader but not its lease renewals');
    assert.throws(() => playScenario(scenario, 1, version), /ran_cancelled/);
  });

  for (const nameFragment of [
    'right after each change',
    'responses to committed transactions are lost',
  ])
    it(`violates went_back if a controller caches its responses, in the scenario "${nameFragment}"`, () => {
      const version = versionWith(CachingController);
      assert.throws(() => playScenario(scenarioNamed(nameFragment), 1, version), /went_back/);
    });

  it('violates ran_twice or quota if a leader accepts heartbeats of any age', () => {
    const version = versionWith(StaleHeartbeatController);
    const scenario = scenarioNamed('replayed to the next leader 4 s after');
    assert.throws(() => playScenario(scenario, 1, version), /ran_twice|quota/);
  });
});
