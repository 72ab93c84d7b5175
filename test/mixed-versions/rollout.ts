/** Rollouts from one version to another, each with an event in its midst. */
import assert from 'node:assert/strict';
import type { Fault } from '../simulation/faults/scripted/fault.js';
import type { ProgramVersion } from '../simulation/program-version.js';
import { MixedVersionScenario, type RollingUpdate } from './mixed-version-scenario.js';

/** Time in which both versions serve between two restarts, for events that need some. */
export const RESTART_PAUSE_MS = 8000;

/** The faults of an event, and whether it has come about as planned. */
export interface PlannedEvent {
  faults: Fault[];
  occurred: () => boolean;
}

/** What happens during a rollout. */
export interface RolloutEvent {
  name: string;
  /** Time between two restarts beyond what is drawn. */
  pauseMs?: number;
  /** Played with fewer seeds. */
  rare?: boolean;
  /** Plans the event at the beginning of the rollout. */
  plan(scenario: MixedVersionScenario, update: RollingUpdate): PlannedEvent;
}

/** All controllers run `from`; a rolling update with an event in its midst makes all run `to`. */
export function playRollout(
  seed: number,
  from: ProgramVersion,
  to: ProgramVersion,
  event: RolloutEvent,
): void {
  const scenario = new MixedVersionScenario(seed, [from, from, from]);
  const { random, processes } = scenario.simulation;
  const { faults, occurred } = event.plan(scenario, scenario.rollingUpdate(to, event.pauseMs));
  scenario.finish([
    { kind: 'jobsCancelled', count: 3, at: random.between(1, 5), hang: random.between(0, 10) },
    { kind: 'jobsCancelled', count: 3, at: random.between(10, 30), elsewhere: true },
    ...faults,
  ]);
  assert.ok(occurred(), `${event.name} did not happen`);
  for (const version of [from, to])
    assert.ok(processes.electedVersions.includes(version), `${version.name} never led`);
  scenario.assertAllRun(to);
}
