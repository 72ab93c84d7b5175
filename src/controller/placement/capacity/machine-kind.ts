/** Kinds of machines: machines of one kind differ only in their tasks and cached images. */
import type { MachineType } from '../../wire/cloud.js';
import type { JobSpec } from '../../wire/jobs.js';

/** A combination of machine type, zone and market (spot or on-demand). */
export interface MachineKind {
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** Returns whether the job's tasks are allowed on machines of this kind, and fit on an empty one. */
export function isAllowed(spec: JobSpec, { type, zone, spot }: MachineKind): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot) &&
    spec.cpus <= type.cpus &&
    spec.gpus <= type.gpus &&
    spec.memoryGb <= type.memoryGb
  );
}
