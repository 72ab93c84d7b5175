/** All machines as one placement pass sees them. */
import type { JobSpec } from '../wire/jobs.js';
import type { Machine } from '../workers/machine.js';
import { isAllowed, type MachineKind } from './machine-kind.js';
import { Room } from './room.js';

interface RoomsOfKind {
  kind: MachineKind;
  rooms: Room[];
}

/** The rooms of one pass, those of a kind together. */
export class Rooms {
  /** In the order in which the machines were given. */
  readonly all: Room[] = [];
  /** By the names of the machines. */
  readonly byId = new Map<string, Room>();
  private readonly kinds: RoomsOfKind[] = [];

  constructor(machines: Iterable<Machine>, recordLimit: number) {
    const byName = new Map<string, Room[]>();
    for (const machine of machines) {
      const { type, zone, spot } = machine;
      if (type === null) continue;
      const name = `${type.name} ${zone} ${spot ? 1 : 0}`;
      let rooms = byName.get(name);
      if (rooms === undefined) {
        rooms = [];
        byName.set(name, rooms);
        this.kinds.push({ kind: { type, zone, spot }, rooms });
      }
      const room = new Room(machine, recordLimit, this.all.length);
      rooms.push(room);
      this.all.push(room);
      this.byId.set(machine.id, room);
    }
  }

  /** Rooms that the job's tasks may be in, by kind of machine; in one zone where one is named. */
  of(spec: JobSpec, zone: string | null = null): Room[][] {
    const found: Room[][] = [];
    for (const { kind, rooms } of this.kinds)
      if ((zone === null || kind.zone === zone) && isAllowed(spec, kind)) found.push(rooms);
    return found;
  }

  /** Zones that have machines which the job's tasks may be on. */
  zones(spec: JobSpec): string[] {
    const zones = new Set<string>();
    for (const { kind } of this.kinds) if (isAllowed(spec, kind)) zones.add(kind.zone);
    return [...zones];
  }
}
