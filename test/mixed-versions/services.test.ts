/** Services that keep running during a rollout, or during a failover after a rollout. */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { presentVersion, type ProgramVersion } from '../simulation/program-version.js';
import { LONGEST_RESTART_MS, MixedVersionScenario, REPLICAS } from './mixed-version-scenario.js';
import { describeOlderVersions, playSeeds, seedCountsFor } from './older-versions.js';

const SERVICES = 3;
/** Time after an election before the services are checked for recovery, in milliseconds. */
const MIN_RECOVERY_MS = 1000;

/** Whether there is a leader and all replicas run. */
function isServing(scenario: MixedVersionScenario, services: readonly string[]): boolean {
  return scenario.simulation.leader !== null && scenario.allReplicasRun(services);
}

/** Submits services once all controllers run `to`, kills the leader, and cancels the recovered services. */
function playServicesAfterRollout(seed: number, from: ProgramVersion, to: ProgramVersion): void {
  const scenario = new MixedVersionScenario(seed, [from, from, from]);
  const { clock, random } = scenario.simulation;
  const { completeMs } = scenario.rollingUpdate(to);
  let services: string[] = [];
  let survived = false;
  clock.after(completeMs, () => {
    scenario.assertAllRun(to);
    services = scenario.submitServices(SERVICES);
    scenario.runWhen(
      0,
      () => isServing(scenario, services),
      () => failOver(scenario, services, () => (survived = true)),
    );
  });
  scenario.finish([{ kind: 'jobsCancelled', count: 3, at: random.between(1, 5) }]);
  assert.ok(survived, 'the services did not recover after a failover');
  assertCancelled(scenario, services);
}

/**
 * Kills the leader while all replicas run. Until another leader is elected, replicas may end only because
 * their own processes exit.
 */
function failOver(
  scenario: MixedVersionScenario,
  services: readonly string[],
  onSurvived: () => void,
): void {
  const { simulation } = scenario;
  const electionsBefore = simulation.processes.electedVersions.length;
  const endedBefore = simulation.replicasEnded;
  assert.ok(simulation.leader !== null);
  simulation.kill(simulation.leader, LONGEST_RESTART_MS);
  const isElected = (): boolean => simulation.processes.electedVersions.length > electionsBefore;
  scenario.runWhen(0, isElected, () => {
    const running = scenario.replicaCounts(services).reduce((sum, count) => sum + count, 0);
    const ended = simulation.replicasEnded - endedBefore;
    assert.ok(
      running + ended >= SERVICES * REPLICAS,
      `${running} replicas run and ${ended} exited, expected ${SERVICES * REPLICAS} in total`,
    );
    const hasRecovered = (): boolean => scenario.allReplicasRun(services);
    scenario.runWhen(MIN_RECOVERY_MS, hasRecovered, () => {
      onSurvived();
      for (const id of services) simulation.cancel(id);
    });
  });
}

/** Runs services from before a rollout until after it, under leaders of both versions, then cancels them. */
function playServicesDuringRollout(seed: number, from: ProgramVersion, to: ProgramVersion): void {
  const scenario = new MixedVersionScenario(seed, [from, from, from]);
  const { simulation } = scenario;
  const services = scenario.submitServices(SERVICES);
  const electionsBefore = simulation.processes.electedVersions.length;
  let fewestReplicas = Infinity;
  let survived = false;
  const rollOut = (): void => {
    assert.equal(simulation.processes.electedVersions.at(-1), from);
    let complete = false;
    simulation.clock.after(scenario.rollingUpdate(to).completeMs, () => (complete = true));
    const isFinished = (): boolean => {
      fewestReplicas = Math.min(fewestReplicas, ...scenario.replicaCounts(services));
      return complete && isServing(scenario, services);
    };
    scenario.runWhen(0, isFinished, () => {
      survived = true;
      for (const id of services) simulation.cancel(id);
    });
  };
  scenario.runWhen(0, () => isServing(scenario, services), rollOut);
  scenario.finish([{ kind: 'jobsCancelled', count: 3, at: simulation.random.between(1, 5) }]);
  assert.ok(survived, 'not all replicas of the services ran after the rollout');
  assert.ok(fewestReplicas > 0, 'a service had no running replica at some time');
  const electedVersions = simulation.processes.electedVersions.slice(electionsBefore);
  assert.ok(electedVersions.includes(to), `${to.name} was never elected while services ran`);
  scenario.assertAllRun(to);
  assertCancelled(scenario, services);
}

function assertCancelled(scenario: MixedVersionScenario, services: readonly string[]): void {
  const { checker } = scenario.simulation;
  for (const id of services)
    assert.ok(checker.visibleState(id).cancelled, `${id} is not reported as cancelled`);
  const replicas = scenario.replicaCounts(services);
  assert.ok(
    replicas.every((count) => count === 0),
    'replicas of cancelled services still run',
  );
}

await describeOlderVersions('services', ({ name, version: older, supportsServicesAndLimits }) => {
  const present = presentVersion();
  const { rare } = seedCountsFor(name);

  // Services are submitted only when all running versions support them.
  it('keep services running through a failover after a rollout', () => {
    playSeeds(rare, (seed) => playServicesAfterRollout(seed, older, present));
  });
  if (!supportsServicesAndLimits) return;
  it('keep services running during a rollout', () => {
    playSeeds(rare, (seed) => playServicesDuringRollout(seed, older, present));
  });
  it('keep services running during a rollback', () => {
    playSeeds(rare, (seed) => playServicesDuringRollout(seed, present, older));
  });
});
