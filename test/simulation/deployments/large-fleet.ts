/** A deployment of thousands of machines in three zones, and a day on which whole parts of it fail. */
import { defaultPlatformOptions } from '../../platform.js';
import { mediumFleet, objectiveToml, teamToml, type Deployment } from './deployment.js';
import { Simulation } from '../simulation.js';

const ZONES = ['a', 'b', 'c'];
/** Parts of the machines by type and market; the rest of the capacity is rented when needed. */
const PARTS = [
  { type: 'big', spot: false, share: 0.4 },
  { type: 'big', spot: true, share: 0.3 },
  { type: 'small', spot: false, share: 0.15 },
] as const;
/** Machines for each job that is there at the start. */
const MACHINES_PER_JOB = 6;

/** Five controllers; what the state service and the cloud take grows with the machines. */
export function largeFleet(machines: number): Deployment {
  const base = mediumFleet(machines);
  const gpus = machines * 4;
  return {
    ...base,
    types: base.types.map((type) => ({ ...type, zones: ZONES })),
    machines: ZONES.flatMap((zone) =>
      PARTS.map(({ type, spot, share }) => ({
        ...{ type, zone, spot },
        count: Math.round((machines * share) / ZONES.length),
      })),
    ),
    platform: {
      ...defaultPlatformOptions,
      ...{ zones: ZONES, hostZones: ['a', 'b', 'c', 'a', 'b'], heartbeatIntervalS: 4, leaseS: 20 },
      ...{ rps: machines / 8, writeRps: machines / 20, txnOps: 24, ramMb: 1500 },
      teamsToml:
        teamToml('red', 0, 0, gpus * 0.2, gpus * 0.45) +
        teamToml('blue', 0, 0, gpus * 0.2, gpus * 0.3) +
        objectiveToml('wait', 'train', 60, 0.9) +
        objectiveToml('finished', 'score', 200, 0.9),
    },
  };
}

/** Milliseconds from the start of the day to each of its faults. */
const DAY = {
  leaderEnds: 15_000,
  outage: 30_000,
  spotTaken: 45_000,
  allEnd: 60_000,
  zoneLost: 85_000,
  roll: 120_000,
  end: 150_000,
} as const;

const OUTAGE_MS = 8000;
const SPOT_SHARE = 0.75;
const SPOT_OVER_MS = 8000;
const RESTART_MS = 6000;
const LOST_ZONE = 'b';
const ZONE_LOST_MS = 30_000;
const ROLL_EVERY_MS = 4000;
/** Mean time between two jobs, for each machine. */
const MACHINE_MS_PER_JOB = 450_000;

/** Plays a day on which one large part after the other fails, to the end of its faults. */
export function playLargeFleet(machines: number, seed: number): Simulation {
  const rates = {
    meanIntervalMs: Infinity,
    duplicated: 0.002,
    taskFailures: 0.005,
    bootFailures: 0.02,
  };
  const deployment = largeFleet(machines);
  const simulation = new Simulation(deployment, seed, rates);
  const { clock, random } = simulation;
  for (let i = 0; i < machines / MACHINES_PER_JOB; i++)
    simulation.submit(simulation.randomJob(), null);
  const submitNext = (): void => {
    if (clock.now > DAY.end) return;
    simulation.submit(simulation.randomJob(), random.next() < 0.04 ? 20_000 : null);
    clock.after(random.between(0.3, 1.7) * (MACHINE_MS_PER_JOB / machines), submitNext);
  };
  submitNext();
  clock.after(DAY.leaderEnds, () => simulation.kill(simulation.leader ?? 'kiln-0', RESTART_MS));
  clock.after(DAY.outage, () => simulation.stateStore.outage(OUTAGE_MS));
  clock.after(DAY.spotTaken, () => simulation.machineFaults.reclaimSpot(SPOT_SHARE, SPOT_OVER_MS));
  clock.after(DAY.allEnd, () => {
    for (const host of deployment.hosts) simulation.kill(host, RESTART_MS);
  });
  clock.after(DAY.zoneLost, () => {
    const inside = deployment.hosts.filter((host) => simulation.zoneOf(host) === LOST_ZONE);
    simulation.connectionFaults.cutZone(LOST_ZONE, inside, ZONE_LOST_MS);
  });
  clock.after(DAY.roll, () => simulation.processes.rollingRestart(ROLL_EVERY_MS));
  simulation.play(DAY.end);
  return simulation;
}
