/** Plays fault scenarios, and defines a test for each. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { noFaults } from '../faults/fault-rates.js';
import type { FaultScenario } from './fault-scenario.js';
import { smallDeployment } from '../deployments/small.js';
import { injectFaults } from '../faults/scripted/inject-faults.js';
import { presentVersion, type ProgramVersion } from '../program-version.js';
import { Simulation } from '../simulation.js';

/** Time from the first submissions to the injection of faults, in milliseconds. Jobs start to run in this time. */
const START_MS = 15_000;
/** Time within which all faults of a scenario begin and end, in milliseconds. */
const FAULTS_MS = 200_000;
/** Time after the faults within which all jobs have to complete, in milliseconds. */
const RECOVERY_MS = 400_000;

/**
 * Plays a scenario. Apart from its faults, only some requests are duplicated and, if the deployment
 * sets `bootFailures`, some boots fail. Throws an error if a rule is violated.
 */
export function playScenario(
  scenario: FaultScenario,
  seed: number,
  version: ProgramVersion = presentVersion(),
): Simulation {
  const deployment = scenario.deployment ?? smallDeployment;
  const { startMs = START_MS, bootFailures = 0, warmUpJob } = deployment;
  const rates = { ...noFaults, duplicated: 0.01, bootFailures };
  const simulation = new Simulation(deployment, seed, rates, { versionOf: () => version });
  const { clock, random } = simulation;
  if (warmUpJob !== undefined) simulation.submit(simulation.jobWith(warmUpJob), null);
  const firstSubmissionMs = startMs - START_MS;
  for (let i = 0; i < scenario.jobCount; i++)
    clock.after(firstSubmissionMs + random.between(0, START_MS / 2), () =>
      simulation.submit(simulation.jobWith(scenario.jobs), null),
    );
  simulation.play(startMs);
  injectFaults(
    simulation,
    scenario.faults((from, to) => random.between(from, to)),
  );
  simulation.play(FAULTS_MS);
  simulation.stopFaults(0);
  simulation.play(RECOVERY_MS);
  return simulation;
}

/** The first of the consecutive seeds with which each scenario is played. */
const FIRST_SEED = Number(process.env['SCENARIO_FIRST'] ?? 1);

function playSeed(scenario: FaultScenario, seed: number): void {
  const simulation = playScenario(scenario, seed);
  assert.deepEqual(simulation.checker.jobs.unfinished(), [], 'accepted jobs have not completed');
  for (const [event, count] of Object.entries(scenario.expectedEvents(simulation)))
    assert.ok(count > 0, `expected event ${event}: counter is ${count}, must be above 0`);
}

/** Defines a test for each scenario, which plays it with several seeds. */
export function testScenarios(
  title: string,
  faultScenarios: readonly FaultScenario[],
  defaultSeeds = 3,
): void {
  const seeds = Number(process.env['SCENARIO_SEEDS'] ?? defaultSeeds);
  describe(title, () => {
    for (const scenario of faultScenarios)
      it(scenario.name, () => {
        for (let seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++)
          try {
            playSeed(scenario, seed);
          } catch (err) {
            throw new Error(`seed ${seed}: ${(err as Error).message}`, { cause: err });
          }
      });
  });
}
