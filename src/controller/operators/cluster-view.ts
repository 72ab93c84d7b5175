/** The cluster as its leader sees it, for a person. */
import type { Fleet } from '../fleet/fleet.js';
import type { Job, Machine } from '../model/entities.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Placement } from '../placement/placement.js';
import { countFitting } from '../model/resource-request.js';
import type { Settings } from '../settings/settings.js';
import type { Workers } from '../workers/workers.js';
import type { MachineType } from '../wire/cloud.js';

/** Most entries of each list; an answer has to stay below 64 KiB. */
const LISTED = 75;

/** Machines that are named of one job. */
const NAMES_OF_A_JOB = 8;

/** A list as far as an answer has room for it. */
interface Listing {
  entries: unknown[];
  /** The list goes on. */
  more: boolean;
}

/** What the view is made of. */
export interface ClusterViewSource {
  settings: Settings;
  term: number;
  holdsLease: boolean;
  now: number;
  types: MachineType[];
  table: JobTable;
  workers: Workers;
  placement: Placement;
  fleet: Fleet;
  /** Machines are listed from the first whose name comes after this one. */
  after: string;
}

/** The body of the answer to `/cluster`. */
export function clusterView(source: ClusterViewSource): unknown {
  const machines = [...source.workers.machines.values()];
  const jobs = [...source.table.jobs.values()];
  const lists = {
    machines: machinesView(source, machines),
    holds: holdsView(source, jobs),
    services: servicesView(jobs),
    lacking: lackingView(source),
  };
  const names = Object.keys(lists) as (keyof typeof lists)[];
  return {
    leader: source.settings.platform.host,
    term: source.term,
    acting: source.holdsLease,
    jobs: jobs.length,
    pending_tasks: jobs.reduce((sum, job) => sum + job.pending.length, 0),
    assigned_tasks: source.workers.assignedCount,
    booting: source.fleet.bootingCount,
    machine_count: machines.length,
    teams: teamsView(source),
    ...Object.fromEntries(names.map((name) => [name, lists[name].entries])),
    cut: names.filter((name) => lists[name].more),
    largest_placeable: source.types.map((type) => placeableView(source, machines, type)),
  };
}

/** The first entries of a list, each as the answer shows it. */
function listed<Entry>(all: readonly Entry[], view: (entry: Entry) => unknown): Listing {
  return { entries: all.slice(0, LISTED).map(view), more: all.length > LISTED };
}

function machinesView(source: ClusterViewSource, machines: readonly Machine[]): Listing {
  const rest = machines.filter(({ id }) => id > source.after);
  rest.sort((one, other) => (one.id < other.id ? -1 : 1));
  return listed(rest, (machine) => machineView(source, machine));
}

function lackingView({ placement }: ClusterViewSource): Listing {
  return listed(placement.shortages, ({ job, tasks }) => ({
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

function holdsView(source: ClusterViewSource, jobs: Job[]): Listing {
  // To a tenth of a second; null: never.
  const seconds = (ms: number): number | null =>
    Number.isFinite(ms) ? Math.round((ms - source.now) / 100) / 10 : null;
  const holding = jobs.filter((job) => job.reservation !== null);
  return listed(holding, (job) => ({
    job: job.spec.id,
    class: job.spec.class,
    ...namesView(job.reservation?.machines ?? []),
    held_s: -(seconds(job.reservation?.reservedAt ?? source.now) ?? 0),
    fills_in_s: seconds(job.reservation?.fillAt ?? Infinity),
    blocked: job.blockedReason,
  }));
}

function servicesView(jobs: Job[]): Listing {
  const services = jobs.filter((job) => job.isService);
  services.sort((one, other) => other.missingReplicas - one.missingReplicas);
  return listed(services, (job) => ({
    job: job.spec.id,
    class: job.spec.class,
    replicas: job.spec.tasks,
    missing: job.missingReplicas,
    ...namesView([...job.currentAssignments.values()].map((assignment) => assignment.machine.id)),
    exits: job.exitCounts,
  }));
}

/** Names of the machines of one job: the first of them, and how many there are. */
function namesView(names: readonly string[]): { machines: string[]; machine_count: number } {
  return { machines: names.slice(0, NAMES_OF_A_JOB), machine_count: names.length };
}

function placeableView(source: ClusterViewSource, machines: Machine[], type: MachineType): unknown {
  const usable = machines.filter(
    (machine) =>
      machine.typeName === type.name && source.workers.isAlive(machine) && !machine.releasing,
  );
  const gpus = usable.map((machine) => type.gpus - machine.gpus);
  const cpus = usable.map((machine) => type.cpus - machine.cpus);
  return {
    type: type.name,
    whole_machines: usable.filter((machine) => !machine.isBusy).length,
    gpus_on_one: Math.max(0, ...gpus),
    cpus_on_one: Math.max(0, ...cpus),
    // What a gang of one-GPU tasks (or one-CPU tasks, on machines without GPUs) could have.
    single_tasks: (type.gpus > 0 ? gpus : cpus).reduce(
      (sum, free) => sum + countFitting(Math.max(0, free), 1),
      0,
    ),
  };
}
