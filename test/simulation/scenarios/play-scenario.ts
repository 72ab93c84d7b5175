/** Plays fault scenarios, and makes a test of each. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { noFaults } from '../faults/fault-rates.js';
import type { FaultScenario } from './fault-scenario.js';
import { smallDeployment } from '../deployments/small.js';
import { injectFaults } from '../faults/scripted/inject-faults.js';
import { presentVersion, type ProgramVersion } from '../program-version.js';
import { Simulation } from '../simulation.js';

/** Work runs by then, and all faults begin and end within this time after. */
const START_MS = 15_000;
const FAULTS_MS = 200_000;
/** Quiet time in which the work has to be finished, and no rule may break. */
const RECOVERY_MS = 400_000;

/** Plays a scenario without other faults; throws where a rule is violated. */
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
  const submittedMs = startMs - START_MS;
  for (let i = 0; i < scenario.jobCount; i++)
    clock.after(submittedMs + random.between(0, START_MS / 2), () =>
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

const FIRST_SEED = Number(process.env['SCENARIO_FIRST'] ?? 1);

function playSeed(scenario: FaultScenario, seed: number): void {
  const simulation = playScenario(scenario, seed);
  assert.deepEqual(simulation.checker.jobs.unfinished(), [], 'never finished');
  for (const [event, count] of Object.entries(scenario.expectedEvents(simulation)))
    assert.ok(count > 0, `${event} did not happen`);
}

/** Makes a test of each scenario, which plays it with several seeds. */
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
