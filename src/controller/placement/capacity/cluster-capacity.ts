/** The free capacity of all machines during one placement pass. */
import type { JobSpec } from '../../wire/jobs.js';
import type { Machine } from '../../model/entities.js';
import { isAllowed, type MachineKind } from './machine-kind.js';
import { FreeCapacity } from './free-capacity.js';

interface CapacityOfKind {
  kind: MachineKind;
  capacities: FreeCapacity[];
}

/** The free capacity of the machines of one pass, grouped by kind of machine. */
export class ClusterCapacity {
  /** One entry for each machine whose type is known, in the order of the constructor argument. */
  readonly all: FreeCapacity[] = [];
  readonly byMachineId = new Map<string, FreeCapacity>();
  private readonly kinds: CapacityOfKind[] = [];

  constructor(
    machines: Iterable<Machine>,
    /** Maximum number of bytes that a machine's tasks may take in its record at the state store. */
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

  /**
   * Returns the machines on which the job's tasks are allowed, one list for each kind of machine.
   *
   * @param zone - only include machines of this zone; null includes all zones
   */
  ofKindsAllowedFor(spec: JobSpec, zone: string | null = null): FreeCapacity[][] {
    const allowed: FreeCapacity[][] = [];
    for (const { kind, capacities } of this.kinds)
      if ((zone === null || kind.zone === zone) && isAllowed(spec, kind)) allowed.push(capacities);
    return allowed;
  }

  /** Returns the zones with machines on which the job's tasks are allowed. */
  zonesAllowedFor(spec: JobSpec): string[] {
    const zones = new Set<string>();
    for (const { kind } of this.kinds) if (isAllowed(spec, kind)) zones.add(kind.zone);
    return [...zones];
  }
}
