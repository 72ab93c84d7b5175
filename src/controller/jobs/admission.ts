/**
 * Admission of submitted jobs. A job is refused only if it could never run. A job that merely has
 * to wait for capacity is admitted.
 */
import type { Team } from '../settings/platform.js';
import { Settings } from '../settings/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';

/** Result of admission. `undecided`: the machine types of the cloud are not known yet. */
export type Admission =
  { kind: 'admitted' } | { kind: 'undecided' } | { kind: 'refused'; reason: string };

/** Excess over a team limit, in CPUs or GPUs, that is tolerated as a rounding error of the total. */
const ROUNDING_TOLERANCE = 1e-9;

/** Minimum number of zones over which the tasks of a spread job must be distributed. */
const MIN_SPREAD_ZONES = 2;

/**
 * Decides whether a job with this specification could ever run.
 *
 * @param types - the machine types of the cloud, or null while they are not known
 */
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

/**
 * Returns the reason of refusal if the tasks that must run at the same time exceed a limit of the
 * team, or null if they don't.
 */
function teamLimitRefusal(spec: JobSpec, team: Team): string | null {
  const concurrentTasks = runsConcurrently(spec) ? spec.tasks : 1;
  const exceedsLimit = (perTask: number, max: number): boolean =>
    concurrentTasks * perTask > Settings.effectiveCap(max) + ROUNDING_TOLERANCE;
  if (exceedsLimit(spec.cpus, team.maxCpus)) return 'more CPUs than the team may use';
  if (exceedsLimit(spec.gpus, team.maxGpus)) return 'more GPUs than the team may use';
  return null;
}

/** Returns the reason of refusal if not even empty machines could run the job, or else null. */
function machineTypeRefusal(spec: JobSpec, types: readonly MachineType[]): string | null {
  const zones = zonesFor(spec, types);
  if (zones.size === 0) return 'a task fits no allowed machine type';
  if (!spec.spread || spec.tasks === 1 || !runsConcurrently(spec)) return null;
  const usableZoneCount = spec.singleZone ? 1 : zones.size;
  const maxTasksPerZone = Math.ceil(spec.tasks / MIN_SPREAD_ZONES);
  if (maxTasksPerZone * usableZoneCount >= spec.tasks) return null;
  return 'too few zones to scatter its tasks over';
}

/** Returns true if all tasks must run at the same time, as in gangs and services. */
function runsConcurrently(spec: JobSpec): boolean {
  return spec.kind !== 'array';
}

/** Returns the zones that the job may use and that have a machine type which fits its tasks. */
function zonesFor(spec: JobSpec, types: readonly MachineType[]): Set<string> {
  const zones = types.filter((type) => fitsMachineType(spec, type)).flatMap((type) => type.zones);
  return new Set(zones.filter((zone) => spec.zone === null || zone === spec.zone));
}

/** Returns true if a task of the job may use this machine type and fits on an empty machine. */
function fitsMachineType(spec: JobSpec, type: MachineType): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    spec.cpus <= type.cpus &&
    spec.gpus <= type.gpus &&
    spec.memoryGb <= type.memoryGb
  );
}
