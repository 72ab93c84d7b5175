/** All machines as one placement pass sees them. */
import type { JobSpec } from '../../wire/jobs.js';
import type { Machine } from '../../model/entities.js';
import { isAllowed, type MachineKind } from './machine-kind.js';
import { FreeCapacity } from './free-capacity.js';

interface CapacityOfKind {
  kind: MachineKind;
  capacities: FreeCapacity[];
}

/** The rooms of one pass, those of a kind together. */
export class ClusterCapacity {
  /** In the order in which the machines were given. */
  readonly all: FreeCapacity[] = [];
  /** By the names of the machines. */
  readonly byMachineId = new Map<string, FreeCapacity>();
  private readonly kinds: CapacityOfKind[] = [];

  constructor(machines: Iterable<Machine>, recordLimit: number) {
    const byName = new Map<string, FreeCapacity[]>();
    for (const machine of machines) {
      const { type, zone, spot } = machine;
      if (type === null) continue;
      const name = `${type.name} ${zone} ${spot ? 1 : 0}`;
      let capacities = byName.get(name);
      if (capacities === undefined) {
        capacities = [];
        byName.set(name, capacities);
        this.kinds.push({ kind: { type, zone, spot }, capacities });
      }
      const capacity = new FreeCapacity(machine, recordLimit, this.all.length);
      capacities.push(capacity);
      this.all.push(capacity);
      this.byMachineId.set(machine.id, capacity);
    }
  }

  /** Rooms that the job's tasks may be in, by kind of machine; in one zone where one is named. */
  ofKindsAllowedFor(spec: JobSpec, zone: string | null = null): FreeCapacity[][] {
    const found: FreeCapacity[][] = [];
    for (const { kind, capacities } of this.kinds)
      if ((zone === null || kind.zone === zone) && isAllowed(spec, kind)) found.push(capacities);
    return found;
  }

  /** Zones that have machines which the job's tasks may be on. */
  zonesAllowedFor(spec: JobSpec): string[] {
    const zones = new Set<string>();
    for (const { kind } of this.kinds) if (isAllowed(spec, kind)) zones.add(kind.zone);
    return [...zones];
  }
}
