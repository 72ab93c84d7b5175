/** Kinds of machines: machines of one kind differ for a job only in what is on them. */
import type { MachineType } from '../../wire/cloud.js';
import type { JobSpec } from '../../wire/jobs.js';

/** Type, zone and market (spot or on-demand) of machines. */
export interface MachineKind {
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** Whether the job's tasks may be on machines of this kind at all. */
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
