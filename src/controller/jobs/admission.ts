/** Admission: whether a submitted job can ever run. What only waits for capacity is admitted. */
import type { Team } from '../settings/platform.js';
import { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';

/** Whether a job is admitted; `undecided`: the machine types of the cloud are not known yet. */
export type Admission =
  { kind: 'admitted' } | { kind: 'undecided' } | { kind: 'refused'; reason: string };

/** Tolerance when resources of many tasks are added up and compared with a limit. */
const ROUNDING_TOLERANCE = 1e-9;

/** The least number of zones over which the tasks of a spread job are distributed. */
const MIN_SPREAD_ZONES = 2;

/** Whether a job with this specification can ever run; `types`: null while they are not known. */
export function admit(
  spec: JobSpec,
  teams: readonly Team[],
  types: readonly MachineType[] | null,
): Admission {
  const team = teams.find(({ name }) => name === spec.team);
  if (team === undefined) return { kind: 'refused', reason: 'unknown team' };
  const limitRefusal = teamLimitRefusal(spec, team);
  if (limitRefusal !== null) return { kind: 'refused', reason: limitRefusal };
  if (types === null) return { kind: 'undecided' };
  const typeRefusal = machineTypeRefusal(spec, types);
  if (typeRefusal !== null) return { kind: 'refused', reason: typeRefusal };
  return { kind: 'admitted' };
}

/** Why tasks that have to run at the same time exceed the team's limit; null: they don't. */
function teamLimitRefusal(spec: JobSpec, team: Team): string | null {
  const concurrentTasks = runsConcurrently(spec) ? spec.tasks : 1;
  const exceedsLimit = (perTask: number, max: number): boolean =>
    concurrentTasks * perTask > Settings.effectiveCap(max) + ROUNDING_TOLERANCE;
  if (exceedsLimit(spec.cpus, team.maxCpus)) return 'more CPUs than the team may use';
  if (exceedsLimit(spec.gpus, team.maxGpus)) return 'more GPUs than the team may use';
  return null;
}

/** Why no machines could take the job even if all were free; null: some could. */
function machineTypeRefusal(spec: JobSpec, types: readonly MachineType[]): string | null {
  const zones = zonesFor(spec, types);
  if (zones.size === 0) return 'a task fits no allowed machine type';
  if (!spec.spread || spec.tasks === 1 || !runsConcurrently(spec)) return null;
  const usableZones = spec.singleZone ? 1 : zones.size;
  const maxTasksPerZone = Math.ceil(spec.tasks / MIN_SPREAD_ZONES);
  if (maxTasksPerZone * usableZones >= spec.tasks) return null;
  return 'too few zones to scatter its tasks over';
}

/** Gang members run at the same time, and so do replicas of a service. */
function runsConcurrently(spec: JobSpec): boolean {
  return spec.kind !== 'array';
}

/** The zones that the job allows and that have machines which can take one of its tasks. */
function zonesFor(spec: JobSpec, types: readonly MachineType[]): Set<string> {
  const zones = types.filter((type) => fitsMachineType(spec, type)).flatMap((type) => type.zones);
  return new Set(zones.filter((zone) => spec.zone === null || zone === spec.zone));
}

/** Whether an empty machine of this type could take a task of the job. */
function fitsMachineType(spec: JobSpec, type: MachineType): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    spec.cpus <= type.cpus &&
    spec.gpus <= type.gpus &&
    spec.memoryGb <= type.memoryGb
  );
}
