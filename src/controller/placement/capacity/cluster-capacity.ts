/** The free capacity of all machines, as one placement pass sees it. */
import type { JobSpec } from '../../wire/jobs.js';
import type { Machine } from '../../model/entities.js';
import { isAllowed, type MachineKind } from './machine-kind.js';
import { FreeCapacity } from './free-capacity.js';

interface CapacityOfKind {
  kind: MachineKind;
  capacities: FreeCapacity[];
}

/** The free capacity of the machines of one pass, those of a kind together. */
export class ClusterCapacity {
  /** One entry for each machine whose type is known, in the order in which they were given. */
  readonly all: FreeCapacity[] = [];
  readonly byMachineId = new Map<string, FreeCapacity>();
  private readonly kinds: CapacityOfKind[] = [];

  constructor(
    machines: Iterable<Machine>,
    /** Bytes that the tasks of a machine may take in its record. */
    recordLimitBytes: number,
  ) {
    const capacitiesByKind = new Map<string, FreeCapacity[]>();
    for (const machine of machines) {
      const { type, zone, spot } = machine;
      if (type === null) continue;
      const kindKey = `${type.name} ${zone} ${spot ? 1 : 0}`;
      let capacities = capacitiesByKind.get(kindKey);
      if (capacities === undefined) {
        capacities = [];
        capacitiesByKind.set(kindKey, capacities);
        this.kinds.push({ kind: { type, zone, spot }, capacities });
      }
      const capacity = new FreeCapacity(machine, recordLimitBytes, this.all.length);
      capacities.push(capacity);
      this.all.push(capacity);
      this.byMachineId.set(machine.id, capacity);
    }
  }

  /** Machines that the job's tasks may be on, by kind of machine; in one zone where one is named. */
  ofKindsAllowedFor(spec: JobSpec, zone: string | null = null): FreeCapacity[][] {
    const allowed: FreeCapacity[][] = [];
    for (const { kind, capacities } of this.kinds)
      if ((zone === null || kind.zone === zone) && isAllowed(spec, kind)) allowed.push(capacities);
    return allowed;
  }

  /** Zones that have machines which the job's tasks may be on. */
  zonesAllowedFor(spec: JobSpec): string[] {
    const zones = new Set<string>();
    for (const { kind } of this.kinds) if (isAllowed(spec, kind)) zones.add(kind.zone);
    return [...zones];
  }
}
