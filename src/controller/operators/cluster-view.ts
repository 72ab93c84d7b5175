/** Builds the response to `/cluster`: the state of the cluster as the leader knows it, for operators. */
import type { Fleet } from '../fleet/fleet.js';
import type { Job, Machine } from '../model/entities.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Placement } from '../placement/placement.js';
import { countFitting } from '../model/resource-request.js';
import type { Settings } from '../settings/settings.js';
import type { Workers } from '../workers/workers.js';
import type { MachineType } from '../wire/cloud.js';

/** Largest number of entries of each list, so that the response stays below 64 KiB. */
const MAX_LISTED = 75;

/** Largest number of machines that are listed for one job. */
const MAX_MACHINES_OF_JOB = 8;

/** A list in the response, truncated to `MAX_LISTED` entries. */
interface Listing {
  entries: unknown[];
  /** Whether entries were left out. */
  truncated: boolean;
}

/** The leader's state from which the view is built. */
export interface ClusterViewSource {
  settings: Settings;
  term: number;
  /**
   * Whether this node may act as leader: it holds the lease at the state store (invariant 1), and its recovered
   * state includes every cancellation confirmed longer ago than the freshness bound (invariant 8).
   */
  mayActAsLeader: boolean;
  /** Current time on the leader's monotonic clock, in milliseconds. */
  now: number;
  types: MachineType[];
  table: Pick<JobTable, 'jobs'>;
  workers: Pick<Workers, 'machines' | 'assignedCount' | 'isAlive'> & {
    teams: Pick<Workers['teams'], 'state'>;
  };
  placement: Pick<Placement, 'shortages'>;
  fleet: Pick<Fleet, 'bootingCount'>;
  /** A machine id; only machines with ids that sort after it are listed. */
  after: string;
}

/** Returns the response body. Its field `cut` names the lists that were truncated. */
export function clusterView(source: ClusterViewSource): unknown {
  const machines = [...source.workers.machines.values()];
  const jobs = [...source.table.jobs.values()];
  const lists = {
    machines: machinesView(source, machines),
    holds: reservationsView(source, jobs),
    services: servicesView(jobs),
    lacking: shortagesView(source),
  };
  const listNames = Object.keys(lists) as (keyof typeof lists)[];
  return {
    leader: source.settings.platform.host,
    term: source.term,
    acting: source.mayActAsLeader,
    jobs: jobs.length,
    pending_tasks: jobs.reduce((sum, job) => sum + job.pending.length, 0),
    assigned_tasks: source.workers.assignedCount,
    booting: source.fleet.bootingCount,
    machine_count: machines.length,
    teams: teamsView(source),
    ...Object.fromEntries(listNames.map((name) => [name, lists[name].entries])),
    cut: listNames.filter((name) => lists[name].truncated),
    largest_placeable: source.types.map((type) => placeableView(source, machines, type)),
  };
}

/** Converts the first `MAX_LISTED` entries with `toView`. */
function firstEntries<Entry>(
  entries: readonly Entry[],
  toView: (entry: Entry) => unknown,
): Listing {
  return {
    entries: entries.slice(0, MAX_LISTED).map(toView),
    truncated: entries.length > MAX_LISTED,
  };
}

function machinesView(source: ClusterViewSource, machines: readonly Machine[]): Listing {
  const remaining = machines.filter(({ id }) => id > source.after);
  remaining.sort((a, b) => (a.id < b.id ? -1 : 1));
  return firstEntries(remaining, (machine) => machineView(source, machine));
}

function shortagesView({ placement }: ClusterViewSource): Listing {
  return firstEntries(placement.shortages, ({ job, tasks }) => ({
    job: job.spec.id,
    class: job.spec.class,
    tasks,
  }));
}

function machineView(source: ClusterViewSource, machine: Machine): unknown {
  return {
    id: machine.id,
    type: machine.typeName,
    zone: machine.zone,
    spot: machine.spot,
    tasks: machine.assignments.size,
    cpus: machine.cpus,
    gpus: machine.gpus,
    memory_gb: machine.memoryGb,
    state: machineState(source, machine),
  };
}

function machineState(source: ClusterViewSource, machine: Machine): string {
  if (machine.releasing) return 'leaving';
  if (machine.interruptionAt !== null) return 'recalled';
  if (!source.workers.isAlive(machine)) return 'silent';
  return machine.unschedulableUntil > source.now ? 'quarantined' : 'up';
}

function teamsView(source: ClusterViewSource): unknown {
  return source.workers.teams.state().map(({ name, cpus, gpus, team }) => ({
    name,
    cpus,
    gpus,
    guaranteed_cpus: team.guaranteedCpus,
    guaranteed_gpus: team.guaranteedGpus,
    most_cpus: team.maxCpus,
    most_gpus: team.maxGpus,
  }));
}

function reservationsView(source: ClusterViewSource, jobs: Job[]): Listing {
  // Seconds from now until `time`, rounded to tenths; null if `time` is not finite.
  const secondsUntil = (time: number): number | null =>
    Number.isFinite(time) ? Math.round((time - source.now) / 100) / 10 : null;
  const reservingJobs = jobs.filter((job) => job.reservation !== null);
  return firstEntries(reservingJobs, (job) => ({
    job: job.spec.id,
    class: job.spec.class,
    ...machineFields(job.reservation?.machines ?? []),
    held_s: -(secondsUntil(job.reservation?.reservedAt ?? source.now) ?? 0),
    fills_in_s: secondsUntil(job.reservation?.fillAt ?? Infinity),
    blocked: job.blockedReason,
  }));
}

function servicesView(jobs: Job[]): Listing {
  const services = jobs.filter((job) => job.isService);
  services.sort((a, b) => b.missingReplicas - a.missingReplicas);
  return firstEntries(services, (job) => ({
    job: job.spec.id,
    class: job.spec.class,
    replicas: job.spec.tasks,
    missing: job.missingReplicas,
    ...machineFields(
      [...job.currentAssignments.values()].map((assignment) => assignment.machine.id),
    ),
    exits: job.exitCounts,
  }));
}

/** Returns the fields that give a job's first machines and the number of all its machines. */
function machineFields(machineIds: readonly string[]): {
  machines: string[];
  machine_count: number;
} {
  return { machines: machineIds.slice(0, MAX_MACHINES_OF_JOB), machine_count: machineIds.length };
}

/** Returns the largest requests that could be placed now on the machines of one type. */
function placeableView(source: ClusterViewSource, machines: Machine[], type: MachineType): unknown {
  const usable = machines.filter(
    (machine) =>
      machine.typeName === type.name && source.workers.isAlive(machine) && !machine.releasing,
  );
  const freeGpus = usable.map((machine) => type.gpus - machine.gpus);
  const freeCpus = usable.map((machine) => type.cpus - machine.cpus);
  return {
    type: type.name,
    whole_machines: usable.filter((machine) => !machine.isBusy).length,
    gpus_on_one: Math.max(0, ...freeGpus),
    cpus_on_one: Math.max(0, ...freeCpus),
    // Largest possible gang of tasks with one GPU each, or with one CPU each if the type has no GPUs.
    single_tasks: (type.gpus > 0 ? freeGpus : freeCpus).reduce(
      (sum, free) => sum + countFitting(Math.max(0, free), 1),
      0,
    ),
  };
}
