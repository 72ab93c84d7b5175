/** A fleet of thousands of machines of which whole parts fail. */
import { largeFleet } from '../deployments/fleets.js';
import { rareFaults } from '../faults/fault-rates.js';
import { Simulation } from '../simulation.js';
import { submitSteadily } from './steady-work.js';

/** Machines for each job that is there at the start. */
const MACHINES_PER_JOB = 6;

/** Milliseconds from the start to each of the faults. */
const SCHEDULE = {
  leaderKilled: 15_000,
  outage: 30_000,
  spotReclaimed: 45_000,
  allKilled: 60_000,
  zoneLost: 85_000,
  rollingRestart: 120_000,
  end: 150_000,
} as const;

const OUTAGE_MS = 8000;
const RECLAIMED_SPOT_SHARE = 0.75;
const RECLAIM_WINDOW_MS = 8000;
const RESTART_MS = 6000;
const LOST_ZONE = 'b';
const ZONE_LOST_MS = 30_000;
const RESTART_EVERY_MS = 4000;
/** Mean time between two jobs, for each machine. */
const MACHINE_MS_PER_JOB = 450_000;

/** Plays faults in which one large part after the other fails, to the end of the last. */
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
  clock.after(SCHEDULE.zoneLost, () => {
    const inside = deployment.hosts.filter((host) => simulation.zoneOf(host) === LOST_ZONE);
    simulation.connectionFaults.cutZone(LOST_ZONE, inside, ZONE_LOST_MS);
  });
  clock.after(SCHEDULE.rollingRestart, () => simulation.processes.rollingRestart(RESTART_EVERY_MS));
  simulation.play(SCHEDULE.end);
  return simulation;
}
