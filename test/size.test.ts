/** Hundreds of machines: what the service costs, and that it survives one fault after the other. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { mediumFleet } from './simulation/deployments/fleets.js';
import { rareFaults } from './simulation/faults/fault-rates.js';
import { submitSteadily } from './simulation/scenarios/steady-work.js';
import { Simulation } from './simulation/simulation.js';

/** Machines at most; more would only make the test slow. */
const MACHINES = 200;
const FIRST_JOBS = 30;
/** Mean time between two jobs: as many as keep most of the machines busy. */
const MEAN_ARRIVAL_MS = 1100;
/** At the state store, by the platform's settings. */
const REQUESTS_PER_SECOND = 80;

/** A time in milliseconds, and what happens then. */
type TimedAction = [number, (simulation: Simulation) => void];

/** Plays a fleet to which jobs come all the time, with the actions given. */
function playFleet(seed: number, ms: number, actions: readonly TimedAction[]): Simulation {
  const simulation = new Simulation(mediumFleet(MACHINES), seed, rareFaults);
  submitSteadily(simulation, {
    jobsAtStart: FIRST_JOBS,
    meanIntervalMs: MEAN_ARRIVAL_MS,
    untilMs: ms,
  });
  for (const [atMs, action] of actions) simulation.clock.after(atMs, () => action(simulation));
  simulation.play(ms);
  return simulation;
}

/** Plays on without new faults: all accepted jobs are done then, and none was neglected. */
function assertCompletes(simulation: Simulation): void {
  simulation.stopFaults(60_000);
  simulation.play(400_000);
  assert.deepEqual(simulation.checker.jobs.unfinished(), []);
  assert.deepEqual(simulation.checker.jobs.neglected(), []);
}

/** What was done so far, and what it cost at the state store. */
interface Usage {
  puts: number;
  requests: number;
  startedTasks: number;
}

function usageOf({ stateStore, checker }: Simulation): Usage {
  const { puts, requests } = stateStore;
  return { puts, requests, startedTasks: checker.startedTasks };
}

const leaderOf = ({ leader }: Simulation): string => leader ?? 'kiln-0';

const controllerFaults: TimedAction[] = [
  [
    30_000,
    (simulation) => simulation.connectionFaults.cutFromWorkers(leaderOf(simulation), 37_000),
  ],
  [80_000, (simulation) => simulation.processes.freeze(leaderOf(simulation), 28_000)],
  [120_000, (simulation) => simulation.connectionFaults.refusePeers(30_000)],
  [130_000, (simulation) => simulation.connectionFaults.isolate(leaderOf(simulation), 42_000)],
  [180_000, (simulation) => simulation.processes.rollingRestart(9000)],
];

const massFaults: TimedAction[] = [
  [30_000, (simulation) => simulation.machineFaults.cut(0.2, 47_000)],
  [33_000, (simulation) => simulation.kill(leaderOf(simulation), 6000)],
  [90_000, (simulation) => simulation.machineFaults.kill(0.07)],
  [92_000, (simulation) => simulation.machineFaults.reclaimSpot(0.6, 8000)],
  [110_000, (simulation) => simulation.stateStore.slowDown(60_000)],
  [150_000, (simulation) => simulation.stateStore.outage(10_000)],
  [156_000, (simulation) => simulation.hosts.forEach((host) => simulation.kill(host, 6000))],
  [200_000, (simulation) => simulation.processes.killElected()],
];

describe('a fleet of hundreds of machines', () => {
  it('takes few requests and writes of the state store, within its limits', () => {
    let before: Usage = { puts: 0, requests: 0, startedTasks: 0 };
    const measureMs = 60_000;
    const measure: TimedAction = [measureMs, (simulation) => (before = usageOf(simulation))];
    const simulation = playFleet(1, 2 * measureMs, [measure]);
    const after = usageOf(simulation);
    const tasks = after.startedTasks - before.startedTasks;
    assert.ok(tasks > 300, `only ${tasks} tasks started`);
    // Records are packed: a put serves several tasks, beside the three that each job costs.
    const putsPerTask = (after.puts - before.puts) / tasks;
    assert.ok(putsPerTask < 2, `${putsPerTask} puts a task`);
    const requestsPerSecond = (after.requests - before.requests) / (measureMs / 1000);
    assert.ok(requestsPerSecond < REQUESTS_PER_SECOND);
    assert.equal(simulation.stateStore.rateLimited, 0);
    assertCompletes(simulation);
  });

  // What the operators expect of a fleet's day, one fault after the other.
  it('expires no lease and finishes all jobs when controllers are lost one after the other', () => {
    const simulation = playFleet(2, 240_000, controllerFaults);
    assert.equal(simulation.expiredLeases, 0);
    assertCompletes(simulation);
  });

  it('finishes all jobs after mass losses of machines, an outage and crashes of all controllers', () => {
    assertCompletes(playFleet(3, 240_000, massFaults));
  });
});
