/** A fleet of hundreds of machines: load on the state store, and sequences of faults. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { mediumFleet } from './simulation/deployments/fleets.js';
import { rareFaults } from './simulation/faults/fault-rates.js';
import { submitSteadily } from './simulation/scenarios/steady-work.js';
import { Simulation } from './simulation/simulation.js';

/** Largest number of machines in the fleet; more machines would only make the test slower. */
const MACHINES = 200;
const FIRST_JOBS = 30;
/** Mean time between two submissions, chosen so that most of the machines are busy. */
const MEAN_ARRIVAL_MS = 1100;
/** Limit on requests to the state store in the platform settings. */
const REQUESTS_PER_SECOND = 80;

/** A time in milliseconds from the start, and the action at that time. */
type TimedAction = [number, (simulation: Simulation) => void];

/** Runs a fleet to which jobs are submitted at a steady rate, with the given actions. */
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

/** Continues without new faults and asserts that all accepted jobs ended and none was neglected. */
function assertCompletes(simulation: Simulation): void {
  simulation.stopFaults(60_000);
  simulation.play(400_000);
  assert.deepEqual(simulation.checker.jobs.unfinished(), []);
  assert.deepEqual(simulation.checker.jobs.neglected(), []);
}

/** Tasks started so far, and the puts and requests that the state store has received. */
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
  it('sends few requests and writes to the state store, and stays within its rate limits', () => {
    let before: Usage = { puts: 0, requests: 0, startedTasks: 0 };
    const measureMs = 60_000;
    const measure: TimedAction = [measureMs, (simulation) => (before = usageOf(simulation))];
    const simulation = playFleet(1, 2 * measureMs, [measure]);
    const after = usageOf(simulation);
    const tasks = after.startedTasks - before.startedTasks;
    assert.ok(tasks > 300, `only ${tasks} tasks started, expected more than 300`);
    // Records are packed into pages: apart from three puts per job, one put covers several tasks.
    const putsPerTask = (after.puts - before.puts) / tasks;
    assert.ok(putsPerTask < 2, `${putsPerTask} puts per task, expected less than 2`);
    const requestsPerSecond = (after.requests - before.requests) / (measureMs / 1000);
    assert.ok(
      requestsPerSecond < REQUESTS_PER_SECOND,
      `${requestsPerSecond} requests per second, limit ${REQUESTS_PER_SECOND}`,
    );
    assert.equal(simulation.stateStore.rateLimited, 0);
    assertCompletes(simulation);
  });

  // The operators require that no worker's lease expires while controllers fail one after the other.
  it('expires no lease and finishes all jobs under one controller fault after the other', () => {
    const simulation = playFleet(2, 240_000, controllerFaults);
    assert.equal(simulation.expiredLeases, 0);
    assertCompletes(simulation);
  });

  it('finishes all jobs after losses of many machines, an outage and kills of all controllers', () => {
    assertCompletes(playFleet(3, 240_000, massFaults));
  });
});
