/** The deployments that are simulated: hosts, machine types, limits, and kinds of jobs. */
import type { MachineType } from '../../../src/controller/wire/cloud.js';
import type { JobSpec } from '../../../src/controller/wire/jobs.js';
import { defaultPlatformOptions, type PlatformOptions } from '../../platform.js';
import type { SeededRandom } from '../seeded-random.js';

/** A deployment that the simulation plays. */
export interface Deployment {
  hosts: string[];
  types: MachineType[];
  /** Machines that are up at the start, and how many the cloud has at most. */
  machines: { type: string; zone: string; spot: boolean; count: number }[];
  capacity: number;
  platform: PlatformOptions;
  /** Entries of a page of the state service at most. */
  pageSize: number;
  /** When the work of a scripted day runs; by then machines have come up. */
  startMs?: number;
  /** Work that brings machines up before a scripted day's own jobs. */
  warmUpJob?: Partial<JobSpec>;
  /** Chance that a rented machine never comes up on a scripted day. */
  bootFailures?: number;
  /** Tasks of scripted jobs take so many times the processors and memory that their table says. */
  taskScale?: number;
  randomJob(random: SeededRandom, id: string): JobSpec;
}

export const hostNames = (count: number): string[] =>
  Array.from({ length: count }, (_, i) => `kiln-${i}`);

export function teamToml(
  name: string,
  cpus: number,
  cpusMax: number,
  gpus: number,
  gpusMax: number,
): string {
  const amounts = { cpus, cpus_max: cpusMax, gpus, gpus_max: gpusMax };
  const lines = Object.entries(amounts).map(([k, v]) => `${k} = ${v.toFixed(1)}`);
  return ['[[params.teams]]', `name = "${name}"`, ...lines, ''].join('\n');
}

export function objectiveToml(kind: string, cls: string, withinS: number, share: number): string {
  const lines = [`kind = "${kind}"`, `class = "${cls}"`, `within_s = ${withinS.toFixed(1)}`];
  return ['[[params.objectives]]', ...lines, `share = ${share}`, ''].join('\n');
}

const big: MachineType = {
  ...{ name: 'big', cpus: 16, gpus: 4, memoryGb: 128, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 8, spotPrice: 3, bootS: 15, zones: ['a', 'b'] },
};
const little: MachineType = {
  ...{ name: 'small', cpus: 8, gpus: 0, memoryGb: 32, cacheGb: 20, fetchGbPerS: 1 },
  ...{ price: 1, spotPrice: 0.4, bootS: 10, zones: ['a', 'b'] },
};

/** Three controllers and a handful of machines in two zones, jobs of every kind. */
export const smallDeployment: Deployment = {
  hosts: hostNames(3),
  types: [big, little],
  machines: ['a', 'b'].flatMap((zone) => [
    { type: 'big', zone, spot: false, count: 2 },
    { type: 'small', zone, spot: false, count: 1 },
  ]),
  capacity: 16,
  platform: {
    ...defaultPlatformOptions,
    teamsToml: teamToml('red', 0, 0, 8, 12) + teamToml('blue', 8, 40, 4, 16),
  },
  // Small pages, so that paging is used.
  pageSize: 7,
  randomJob(random, id) {
    const gang = random.next() < 0.5;
    const gpus = gang ? random.pick([1, 2, 4]) : random.pick([0, 0, 1]);
    const tasks = gang ? random.pick([1, 2, 3]) : random.pick([1, 3, 10]);
    const twoZones = tasks > 1 && random.next() < 0.3;
    return {
      id,
      class: gang ? 'train' : 'batch',
      team: random.pick(['red', 'blue']),
      kind: gang ? 'gang' : 'array',
      priority: random.pick(['low', 'normal', 'normal', 'high']),
      tasks,
      cpus: random.pick([1, 2, 4]),
      gpus,
      memoryGb: random.pick([1, 4, 8]),
      image: random.pick(['img-1', 'img-2', 'img-3']),
      imageGb: random.pick([1, 3]),
      types: random.next() < 0.2 ? ['big'] : null,
      zone: !twoZones && random.next() < 0.1 ? 'a' : null,
      singleZone: !twoZones && gang && random.next() < 0.5,
      spread: twoZones,
      spot: random.next() < 0.5,
      estimatedRunS: 20,
      checkpointIntervalS: gang ? 10 : 0,
      checkpointSaveS: gang ? 2 : 0,
      deadlineS: random.next() < 0.3 ? 100 : null,
    };
  },
};

/** The same where the state service will take less from some moment on. */
export const shrinkingLimits: Deployment = {
  ...smallDeployment,
  platform: {
    ...smallDeployment.platform,
    upcomingLimitsToml: '[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 6\nwrite_rps = 25.0\n',
  },
};

/** Five controllers and hundreds of machines: many small tasks, and gangs of whole machines. */
export function mediumFleet(machines: number): Deployment {
  const whole: MachineType = { ...big, zones: ['a'], cacheGb: 60, fetchGbPerS: 0.5 };
  const many: MachineType = { ...little, cpus: 32, memoryGb: 128, zones: ['a'] };
  const gpus = machines * 4;
  return {
    hosts: hostNames(5),
    types: [whole, many],
    machines: [
      { type: 'big', zone: 'a', spot: false, count: Math.round(machines * 0.6) },
      { type: 'small', zone: 'a', spot: false, count: Math.round(machines * 0.15) },
    ],
    capacity: machines,
    platform: {
      ...defaultPlatformOptions,
      ...{ zones: ['a'], heartbeatIntervalS: 4, leaseS: 20, rps: 80, writeRps: 30, txnOps: 24 },
      teamsToml:
        teamToml('red', 0, 0, gpus * 0.25, gpus) +
        teamToml('blue', 0, 0, gpus * 0.2, gpus) +
        objectiveToml('wait', 'train', 60, 0.9) +
        objectiveToml('finished', 'score', 200, 0.9),
    },
    pageSize: 1000,
    randomJob(random, id) {
      const base = {
        ...{ id, types: null, zone: null, spread: false, deadlineS: null },
        ...{ imageGb: random.between(1, 6), estimatedRunS: random.between(20, 60) },
      };
      const kind = random.next();
      if (kind < 0.2)
        return {
          ...{ ...base, class: 'train', team: random.pick(['red', 'blue']), kind: 'gang' },
          ...{ priority: 'high', tasks: random.pick([1, 1, 2, 2, 4, 8]), cpus: 14, gpus: 4 },
          ...{
            memoryGb: 100,
            image: `train-${Math.floor(random.between(0, 6))}`,
            singleZone: true,
          },
          ...{ spot: false, checkpointIntervalS: 20, checkpointSaveS: 2 },
        };
      if (kind < 0.6)
        return {
          ...{ ...base, class: 'score', team: 'red', kind: 'array', priority: 'normal' },
          ...{ tasks: Math.ceil(random.between(1, 20)), cpus: random.between(2, 4), gpus: 1 },
          ...{
            memoryGb: 20,
            image: `score-${Math.floor(random.between(0, 8))}`,
            singleZone: false,
          },
          ...{ spot: true, checkpointIntervalS: 0, checkpointSaveS: 0 },
        };
      return {
        ...{ ...base, class: 'print', team: 'blue', kind: 'array', priority: 'normal' },
        ...{ tasks: Math.ceil(random.between(1, 60)), cpus: 1, gpus: 0, memoryGb: 2 },
        ...{ image: `print-${Math.floor(random.between(0, 8))}`, singleZone: false, spot: true },
        ...{ checkpointIntervalS: 0, checkpointSaveS: 0 },
      };
    },
  };
}
