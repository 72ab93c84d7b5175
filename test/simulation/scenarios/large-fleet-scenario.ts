/** A scenario with thousands of machines in which large parts of the system fail in turn. */
import { largeFleet } from '../deployments/fleets.js';
import { rareFaults } from '../faults/fault-rates.js';
import { Simulation } from '../simulation.js';
import { submitSteadily } from './steady-work.js';

/** Number of machines per job that is submitted at the start. */
const MACHINES_PER_JOB = 6;

/** Times of the faults and of the end, in milliseconds from the start. */
const SCHEDULE = {
  leaderKilled: 15_000,
  outage: 30_000,
  spotReclaimed: 45_000,
  allKilled: 60_000,
  zoneCutOff: 85_000,
  rollingRestart: 120_000,
  end: 150_000,
} as const;

const OUTAGE_MS = 8000;
/** Share of the spot instances that the cloud reclaims. */
const RECLAIMED_SPOT_SHARE = 0.75;
/** Time within which the cloud reclaims spot instances, in milliseconds. */
const RECLAIM_WINDOW_MS = 8000;
/** Time from the kill of a controller to its restart, in milliseconds. */
const RESTART_MS = 6000;
const CUT_OFF_ZONE = 'b';
const ZONE_CUT_OFF_MS = 30_000;
/** Time between the restarts of two controllers in the rolling restart, in milliseconds. */
const RESTART_INTERVAL_MS = 4000;
/** Product of the mean time between two submissions, in milliseconds, and the number of machines. */
const MACHINE_MS_PER_JOB = 450_000;

/** Plays the scenario in a fleet of at most `machines` machines, until after its last fault. */
export function playLargeFleet(machines: number, seed: number): Simulation {
  const deployment = largeFleet(machines);
  const simulation = new Simulation(deployment, seed, rareFaults);
  const { clock } = simulation;
  submitSteadily(simulation, {
    jobsAtStart: machines / MACHINES_PER_JOB,
    meanIntervalMs: MACHINE_MS_PER_JOB / machines,
    untilMs: SCHEDULE.end,
  });
  clock.after(SCHEDULE.leaderKilled, () =>
    simulation.kill(simulation.leader ?? 'kiln-0', RESTART_MS),
  );
  clock.after(SCHEDULE.outage, () => simulation.stateStore.outage(OUTAGE_MS));
  clock.after(SCHEDULE.spotReclaimed, () =>
    simulation.machineFaults.reclaimSpot(RECLAIMED_SPOT_SHARE, RECLAIM_WINDOW_MS),
  );
  clock.after(SCHEDULE.allKilled, () => {
    for (const host of deployment.hosts) simulation.kill(host, RESTART_MS);
  });
  clock.after(SCHEDULE.zoneCutOff, () => {
    const inside = deployment.hosts.filter((host) => simulation.zoneOf(host) === CUT_OFF_ZONE);
    simulation.connectionFaults.cutZone(CUT_OFF_ZONE, inside, ZONE_CUT_OFF_MS);
  });
  clock.after(SCHEDULE.rollingRestart, () =>
    simulation.processes.rollingRestart(RESTART_INTERVAL_MS),
  );
  simulation.play(SCHEDULE.end);
  return simulation;
}
