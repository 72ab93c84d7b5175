/** Whether a submitted job can ever run. */
import { Settings } from '../settings/settings.js';
import type { Team } from '../settings/platform.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';

/** Whether a task of the job fits a machine of this type, zone and kind when it is empty. */
export function fitsMachineType(spec: JobSpec, type: MachineType): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    spec.cpus <= type.cpus &&
    spec.gpus <= type.gpus &&
    spec.memoryGb <= type.memoryGb
  );
}

/** `unknown-types`: the machine types of the cloud are not known yet. */
export type AdmissionVerdict = 'accept' | 'unknown-types' | { refuse: string };

/** Whether the job can ever run. What only waits for room is accepted. */
export function admit(
  spec: JobSpec,
  teams: readonly Team[],
  types: readonly MachineType[] | null,
): AdmissionVerdict {
  const team = teams.find((t) => t.name === spec.team);
  if (team === undefined) return { refuse: 'unknown team' };
  // A gang's tasks run at the same time, and so do a service's replicas.
  const together = spec.kind !== 'array';
  const at = together ? spec.tasks : 1;
  const epsilon = 1e-9;
  if (at * spec.cpus > Settings.effectiveCap(team.maxCpus) + epsilon)
    return { refuse: 'more CPUs than the team may use' };
  if (at * spec.gpus > Settings.effectiveCap(team.maxGpus) + epsilon)
    return { refuse: 'more GPUs than the team may use' };
  if (types === null) return 'unknown-types';
  const fits = types.filter((t) => fitsMachineType(spec, t));
  const { zone } = spec;
  const zones = new Set(fits.flatMap((t) => t.zones).filter((z) => zone === null || z === zone));
  if (zones.size === 0) return { refuse: 'a task fits no allowed machine type' };
  // They must find zones enough at one time.
  if (together && spec.spread && spec.tasks > 1) {
    const perZone = Math.ceil(spec.tasks / 2);
    const usable = spec.singleZone ? 1 : zones.size;
    if (perZone * usable < spec.tasks) return { refuse: 'too few zones to scatter its tasks over' };
  }
  return 'accept';
}
