/** Rollouts from one version to another, each with an event during the rolling update or after it. */
import assert from 'node:assert/strict';
import type { Fault } from '../simulation/faults/scripted/fault.js';
import type { ProgramVersion } from '../simulation/program-version.js';
import { MixedVersionScenario, type RollingUpdate } from './mixed-version-scenario.js';

/** Pause between two restarts, in milliseconds, for events that need both versions to run for some time. */
export const RESTART_PAUSE_MS = 8000;

/** The faults of an event, and whether the event occurred as planned. */
export interface PlannedEvent {
  faults: Fault[];
  occurred: () => boolean;
}

/** An event during or after a rolling update. */
export interface RolloutEvent {
  name: string;
  /** Pause that is added to the random interval between two restarts, in milliseconds. */
  pauseMs?: number;
  /** Whether the event is rare, and so played with fewer seeds. */
  rare?: boolean;
  /** Plans the event; called when the rollout starts. */
  plan(scenario: MixedVersionScenario, update: RollingUpdate): PlannedEvent;
}

/** Plays a rolling update of all controllers from version `from` to version `to`, with an event. */
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
  assert.ok(occurred(), `${event.name} did not occur as planned`);
  for (const version of [from, to])
    assert.ok(processes.electedVersions.includes(version), `${version.name} was never elected`);
  scenario.assertAllRun(to);
}
