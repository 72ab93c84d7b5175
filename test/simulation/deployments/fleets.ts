/** Deployments with hundreds or thousands of machines. */
import type { MachineType } from '../../../src/controller/wire/cloud.js';
import { defaultPlatformOptions, type PlatformOptions } from '../../platform.js';
import { hostNames, type Deployment } from './deployment.js';
import { fleetJob } from './fleet-jobs.js';
import { bigMachine, smallMachine } from './machine-types.js';
import { objectiveToml, teamToml } from './teams.js';

/**
 * Guaranteed GPUs and GPU limit of a team. Both are fractions of the GPUs that the fleet would have
 * if all its machines were `big`.
 */
interface GpuShares {
  guaranteed: number;
  limit: number;
}

/** The properties in which the fleets differ. */
interface FleetShape {
  zones: string[];
  /**
   * The machines that exist from the start. Each `share` is a fraction of the fleet's capacity. The
   * other machines are rented when they are needed.
   */
  groups: readonly { type: 'big' | 'small'; spot: boolean; share: number }[];
  teams: Readonly<Record<'red' | 'blue', GpuShares>>;
  platform: Partial<PlatformOptions>;
}

const big: MachineType = { ...bigMachine, cacheGb: 60, fetchGbPerS: 0.5 };
const small: MachineType = { ...smallMachine, cpus: 32, memoryGb: 128 };

const OBJECTIVES =
  objectiveToml({ kind: 'wait', class: 'train', withinS: 60, share: 0.9 }) +
  objectiveToml({ kind: 'finished', class: 'score', withinS: 200, share: 0.9 });

/**
 * Returns a fleet with five controllers. It runs many small tasks and gangs that use whole
 * machines.
 */
function fleet(machines: number, { zones, groups, teams, platform }: FleetShape): Deployment {
  return {
    hosts: hostNames(5),
    types: [big, small].map((type) => ({ ...type, zones })),
    machines: zones.flatMap((zone) =>
      groups.map(({ type, spot, share }) => ({
        ...{ type, zone, spot },
        count: Math.round((machines * share) / zones.length),
      })),
    ),
    capacity: machines,
    platform: {
      ...{ ...defaultPlatformOptions, zones, heartbeatIntervalS: 4, leaseS: 20, txnOps: 24 },
      ...platform,
      teamsToml: teamsToml(machines * big.gpus, teams) + OBJECTIVES,
    },
    pageSize: 1000,
    randomJob: fleetJob,
  };
}

function teamsToml(gpus: number, teams: FleetShape['teams']): string {
  return Object.entries(teams)
    .map(([name, { guaranteed, limit }]) =>
      teamToml(name, { gpus: gpus * guaranteed, gpusMax: gpus * limit }),
    )
    .join('');
}

/** Returns a fleet of hundreds of machines in one zone. */
export function mediumFleet(machines: number): Deployment {
  return fleet(machines, {
    zones: ['a'],
    groups: [
      { type: 'big', spot: false, share: 0.6 },
      { type: 'small', spot: false, share: 0.15 },
    ],
    teams: { red: { guaranteed: 0.25, limit: 1 }, blue: { guaranteed: 0.2, limit: 1 } },
    platform: { rps: 80, writeRps: 30 },
  });
}

/**
 * Returns a fleet of thousands of machines in three zones. The state store's rate limits grow with
 * the number of machines.
 */
export function largeFleet(machines: number): Deployment {
  return fleet(machines, {
    zones: ['a', 'b', 'c'],
    groups: [
      { type: 'big', spot: false, share: 0.4 },
      { type: 'big', spot: true, share: 0.3 },
      { type: 'small', spot: false, share: 0.15 },
    ],
    teams: { red: { guaranteed: 0.2, limit: 0.45 }, blue: { guaranteed: 0.2, limit: 0.3 } },
    platform: {
      ...{ hostZones: ['a', 'b', 'c', 'a', 'b'], rps: machines / 8, writeRps: machines / 20 },
      ramMb: 1500,
    },
  });
}
