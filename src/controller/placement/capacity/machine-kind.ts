/** Kinds of machines: what machines that a job can't tell apart have in common. */
import type { MachineType } from '../../wire/cloud.js';
import type { JobSpec } from '../../wire/jobs.js';

/** Type, zone and market of machines. */
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
