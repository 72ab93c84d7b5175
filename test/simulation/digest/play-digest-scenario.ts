/** Runs the scenarios of the behaviour digest. */
import { injectFaults } from '../faults/scripted/inject-faults.js';
import { Simulation } from '../simulation.js';
import type { DigestScenario } from './digest-scenarios.js';
import { TrafficDigest } from './traffic-digest.js';

/** Fraction of a scenario's duration after which no more random jobs are submitted. */
const SUBMISSION_SHARE = 0.8;
/** Fraction of the random jobs that are cancelled. */
const CANCELLED_SHARE = 0.2;
/** Maximum time from the submission of a job to its cancellation, in milliseconds. */
const MAX_CANCEL_DELAY_MS = 40_000;

/** Time between two rounds of queries to every controller, in milliseconds. */
const QUERY_INTERVAL_MS = 11_000;
/**
 * Paths that are queried: existing pages, one path that does not allow GET, and one that does not
 * exist.
 */
const QUERIED_PATHS = ['/ready', '/cluster', '/cluster?after=cloud-2', '/submissions', '/nowhere'];
/** Time from the interruption notice to the interruption of a spot instance, in milliseconds. */
const INTERRUPTION_NOTICE_MS = 15_000;
/** Virtual time that passes after the final requests for the metrics, in milliseconds. */
const SCRAPE_WAIT_MS = 100;

/** Interrupts one spot instance per interval, each after a notice. */
function interruptSpotInstances({ clock, cloud }: Simulation, intervalMs: number): void {
  const interruptNext = (): void => {
    clock.after(intervalMs, interruptNext);
    const worker = cloud.workers.find(({ spot }) => spot);
    if (worker === undefined) return;
    worker.noticeInterruption(INTERRUPTION_NOTICE_MS);
    clock.after(INTERRUPTION_NOTICE_MS, () => cloud.reclaim(worker.id));
  };
  clock.after(intervalMs, interruptNext);
}

function submitRandomJobs(simulation: Simulation, count: number, withinMs: number): void {
  const { clock, random } = simulation;
  for (let i = 0; i < count; i++)
    clock.after(random.between(0, withinMs), () => {
      const cancels = random.next() < CANCELLED_SHARE;
      const cancelAfterMs = cancels ? random.between(0, MAX_CANCEL_DELAY_MS) : null;
      simulation.submit(simulation.randomJob(), cancelAfterMs);
    });
}

/** Queries every controller at a fixed interval; some of the requests are invalid. */
function queryControllers(simulation: Simulation): void {
  const query = (): void => {
    for (const host of simulation.hosts)
      for (const path of QUERIED_PATHS)
        simulation.sendRequest('GET', path, undefined, () => undefined, host);
    simulation.sendRequest('POST', '/submissions', 'not a job', () => undefined);
    simulation.clock.after(QUERY_INTERVAL_MS, query);
  };
  query();
}

/** The result of running a scenario. */
export interface ScenarioDigest {
  /** The SHA-256 digest in hex. */
  digest: string;
  /** Number of hashed events, by kind. */
  counts: ReadonlyMap<string, number>;
}

/** Runs a scenario; `digest` records all messages to and from its controllers. */
export async function playDigestScenario(
  scenario: DigestScenario,
  digest: TrafficDigest,
): Promise<void> {
  const { deployment, seed, rates, playMs, interruptionIntervalMs } = scenario;
  const version = digest.recordingVersion();
  const simulation = new Simulation(deployment, seed, rates, { versionOf: () => version });
  submitRandomJobs(simulation, scenario.randomJobs, playMs * SUBMISSION_SHARE);
  queryControllers(simulation);
  injectFaults(simulation, scenario.faults);
  if (interruptionIntervalMs !== undefined)
    interruptSpotInstances(simulation, interruptionIntervalMs);
  simulation.play(playMs);
  for (const host of simulation.hosts)
    simulation.sendRequest('GET', '/metrics', undefined, () => undefined, host);
  simulation.play(SCRAPE_WAIT_MS);
  // Controllers produce the metrics text in promises. Advancing virtual time does
  // not settle promises.
  await new Promise(setImmediate);
}

/** Runs a scenario and returns the digest of all messages to and from its controllers. */
export async function digestOf(scenario: DigestScenario): Promise<ScenarioDigest> {
  const digest = new TrafficDigest();
  await playDigestScenario(scenario, digest);
  return { digest: digest.finish(), counts: digest.counts };
}
