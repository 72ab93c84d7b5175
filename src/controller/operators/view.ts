import type { Fleet } from '../fleet/fleet.js';
import type { JobTable } from '../jobs/table.js';
import type { Placement } from '../placement/placement.js';
import { times } from '../placement/room.js';
import type { Settings } from '../settings/settings.js';
import type { Workers } from '../workers/workers.js';
import type { MachineType } from '../wire/cloud.js';

/** Machines listed one by one in the view. */
const LISTED = 200;

export interface ViewSource {
  settings: Settings;
  term: number;
  acting: boolean;
  now: number;
  types: MachineType[];
  table: JobTable;
  workers: Workers;
  placement: Placement;
  fleet: Fleet;
}

/** The cluster as its leader sees it, for a person. */
export function clusterView(s: ViewSource): unknown {
  const machines = [...s.workers.machines.values()];
  const seconds = (ms: number): number | null =>
    Number.isFinite(ms) ? Math.round((ms - s.now) / 100) / 10 : null;
  const jobs = [...s.table.jobs.values()];
  return {
    leader: s.settings.platform.host,
    term: s.term,
    acting: s.acting,
    jobs: jobs.length,
    pending_tasks: jobs.reduce((n, j) => n + j.pending.length, 0),
    assigned_tasks: s.workers.assigned,
    booting: s.fleet.booting,
    machines: machines.slice(0, LISTED).map((m) => ({
      id: m.id,
      type: m.typeName,
      zone: m.zone,
      spot: m.spot,
      tasks: m.assignments.size,
      cpus: m.cpus,
      gpus: m.gpus,
      memory_gb: m.memoryGb,
      state: m.leaving
        ? 'leaving'
        : m.noticeAt !== null
          ? 'recalled'
          : !s.workers.alive(m)
            ? 'silent'
            : m.noPlacingBefore > s.now
              ? 'quarantined'
              : 'up',
    })),
    teams: s.workers.teams.state().map((t) => ({
      name: t.name,
      cpus: t.cpus,
      gpus: t.gpus,
      guaranteed_cpus: t.team.cpus,
      guaranteed_gpus: t.team.gpus,
      most_cpus: t.team.cpusMax,
      most_gpus: t.team.gpusMax,
    })),
    holds: jobs
      .filter((j) => j.reservation !== null)
      .map((j) => ({
        job: j.spec.id,
        class: j.spec.class,
        machines: j.reservation?.machines ?? [],
        held_s: -(seconds(j.reservation?.since ?? s.now) ?? 0),
        fills_in_s: seconds(j.reservation?.fillAt ?? Infinity),
        blocked: j.blocked,
      })),
    services: jobs
      .filter((j) => j.standing)
      .sort((a, b) => b.missing - a.missing)
      .slice(0, LISTED)
      .map((j) => ({
        job: j.spec.id,
        class: j.spec.class,
        replicas: j.spec.tasks,
        missing: j.missing,
        machines: [...j.assigned.values()].map((a) => a.machine.id),
        exits: j.exits,
      })),
    lacking: s.placement.lacking
      .slice(0, LISTED)
      .map(({ job, tasks }) => ({ job: job.spec.id, class: job.spec.class, tasks })),
    largest_placeable: s.types.map((t) => {
      const mine = machines.filter(
        (m) => m.typeName === t.name && s.workers.alive(m) && !m.leaving,
      );
      const whole = mine.filter((m) => !m.busy).length;
      const gpus = mine.map((m) => t.gpus - m.gpus);
      const cpus = mine.map((m) => t.cpus - m.cpus);
      return {
        type: t.name,
        whole_machines: whole,
        gpus_on_one: Math.max(0, ...gpus),
        cpus_on_one: Math.max(0, ...cpus),
        // What a gang of one-GPU tasks (or one-CPU tasks, on machines without GPUs) could have.
        single_tasks: (t.gpus > 0 ? gpus : cpus).reduce(
          (n, free) => n + times(Math.max(0, free), 1),
          0,
        ),
      };
    }),
  };
}
