/** Machines as a placement pass sees them: what is free, and who has claimed it. */
import type { JobSpec } from '../wire/jobs.js';
import type { MachineType } from '../wire/cloud.js';
import type { Assignment, Need } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';
import type { RecordCost } from '../workers/record.js';

const FREE: RecordCost = { fixed: 0, each: 1 };

/** Amounts are decimals. */
export const EPS = 1e-6;

/** Room of one machine that a hold has claimed, and when the hold is expected to be full. */
export interface Claim extends Need {
  fillAt: number;
  /** A hold in advance, for a class: it binds only work that is smaller and ranks no higher. */
  ahead: { spec: JobSpec; level: number; larger: number } | null;
}

/** What is to be expected of a machine's tasks. */
export interface Outlook {
  /** By when they should have left the machine by themselves. */
  ends: { a: Assignment; at: number }[];
  /** Some are being stopped. */
  stopping: boolean;
  /** The longest time that any of them needs to save when it is stopped. */
  longestSaveMs: number;
  /** Of those that are old enough to be stopped: the lowest level, and whether any is outside its team's guarantee. */
  lowest: number;
  unguaranteed: boolean;
}

/** A machine as one placement pass sees it. What is free is always what the machine now has free. */
export class Room {
  /** Nothing may be placed on it, for now. */
  closed = false;
  readonly claims: Claim[] = [];
  /** Made when first asked for in a pass. */
  outlook: Outlook | null = null;

  constructor(
    readonly machine: Machine,
    /** Bytes that the tasks of a machine may take in its record. */
    private readonly recordLimit: number,
    /** Place among the rooms of the pass: decides between equals. */
    readonly order = 0,
  ) {}

  get cpus(): number {
    return (this.machine.type?.cpus ?? 0) - this.machine.cpus;
  }

  get gpus(): number {
    return (this.machine.type?.gpus ?? 0) - this.machine.gpus;
  }

  get memoryGb(): number {
    return (this.machine.type?.memoryGb ?? 0) - this.machine.memoryGb;
  }

  /** Whether at least one task fits if nothing were held. Cheap: it is asked of every machine. */
  admits(need: Need): boolean {
    const m = this.machine;
    const t = m.type;
    return (
      t !== null &&
      !this.closed &&
      need.gpus <= t.gpus - m.gpus + EPS &&
      need.cpus <= t.cpus - m.cpus + EPS &&
      need.memoryGb <= t.memoryGb - m.memoryGb + EPS
    );
  }

  /**
   * Tasks that fit now beside what higher ranks hold. A hold's room counts as free for a task that
   * should be gone before the hold fills. `record`: bytes of a task in the machine's record.
   */
  fits(
    spec: JobSpec,
    level: number,
    endsAt: number,
    backfill: number,
    now: number,
    record: RecordCost = FREE,
  ): number {
    if (this.closed) return 0;
    let { cpus, gpus, memoryGb } = this;
    for (const c of this.claims) {
      if (Number.isFinite(endsAt) && endsAt - now <= backfill * (c.fillAt - now)) continue;
      if (c.ahead !== null && !this.binds(c.ahead, spec, level)) continue;
      cpus -= c.cpus;
      gpus -= c.gpus;
      memoryGb -= c.memoryGb;
    }
    const bytes = this.recordLimit - this.machine.record.bytes - record.fixed;
    const slots = Math.floor(bytes / record.each);
    return Math.max(0, Math.min(slots, whole(spec, cpus, gpus, memoryGb)));
  }

  /** Tasks that fit now if nothing were held. */
  fitsEmpty(need: Need): number {
    return whole(need, this.cpus, this.gpus, this.memoryGb);
  }

  private binds(ahead: NonNullable<Claim['ahead']>, spec: JobSpec, level: number): boolean {
    if (spec.kind === 'gang' || level > ahead.level) return false;
    return this.eats(ahead, spec);
  }

  /** Whether room kept for other classes would go to this smaller task, if it were let. */
  intrudes(spec: JobSpec): boolean {
    for (const c of this.claims) if (c.ahead !== null && this.eats(c.ahead, spec)) return true;
    return false;
  }

  private eats(ahead: NonNullable<Claim['ahead']>, spec: JobSpec): boolean {
    if (ahead.spec.class === spec.class) return false;
    if (ahead.spec.kind !== 'gang' && spec.gpus > 0) return false;
    return this.share(ahead.spec) >= ahead.larger * this.share(spec);
  }

  /** Share of the machine that a task takes, by the kind of room that it takes most of. */
  share(spec: JobSpec): number {
    const t = this.machine.type;
    if (t === null) return 1;
    return Math.max(
      spec.cpus / t.cpus,
      t.gpus > 0 ? spec.gpus / t.gpus : 0,
      spec.memoryGb / t.memoryGb,
    );
  }

  /** Places of this machine that holds in advance have taken from the class. */
  reserved(spec: JobSpec): number {
    if (this.claims.length === 0) return 0;
    let cpus = 0;
    let gpus = 0;
    let memoryGb = 0;
    for (const c of this.claims) {
      cpus += c.cpus;
      gpus += c.gpus;
      memoryGb += c.memoryGb;
    }
    const up = (a: number, b: number): number => (b > 0 ? Math.ceil(a / b - EPS) : 0);
    return Math.max(up(cpus, spec.cpus), up(gpus, spec.gpus), up(memoryGb, spec.memoryGb));
  }

  keep(spec: JobSpec, level: number, count: number, fillAt: number, larger: number): void {
    this.claims.push({
      cpus: spec.cpus * count,
      gpus: spec.gpus * count,
      memoryGb: spec.memoryGb * count,
      fillAt,
      ahead: { spec, level, larger },
    });
  }

  claim(need: Need, fillAt: number): void {
    this.claims.push({
      cpus: need.cpus,
      gpus: need.gpus,
      memoryGb: need.memoryGb,
      fillAt,
      ahead: null,
    });
  }
}

/** How often `need` goes into `room`. */
export function times(room: number, need: number): number {
  return need <= 0 ? Infinity : Math.floor((room + EPS) / need);
}

/** Whole tasks that go into room of all three kinds. */
export function whole(need: Need, cpus: number, gpus: number, memoryGb: number): number {
  const fit = Math.min(
    times(cpus, need.cpus),
    times(gpus, need.gpus),
    times(memoryGb, need.memoryGb),
  );
  return Math.max(0, fit);
}

export function needOf(spec: JobSpec): Need {
  return { cpus: spec.cpus, gpus: spec.gpus, memoryGb: spec.memoryGb };
}

/** What machines that are alike to a job's wishes have in common. */
export interface Kind {
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** Whether the job's tasks may be on machines of this kind at all. */
export function allowed(spec: JobSpec, { type, zone, spot }: Kind): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot) &&
    spec.cpus <= type.cpus &&
    spec.gpus <= type.gpus &&
    spec.memoryGb <= type.memoryGb
  );
}

/** The rooms of one pass, those of a kind together. */
export class Rooms {
  readonly all: Room[] = [];
  readonly byId = new Map<string, Room>();
  private readonly kinds: { kind: Kind; rooms: Room[] }[] = [];

  constructor(machines: Iterable<Machine>, recordLimit: number) {
    const byName = new Map<string, Room[]>();
    for (const m of machines) {
      const { type, zone, spot } = m;
      if (type === null) continue;
      const name = `${type.name} ${zone} ${spot ? 1 : 0}`;
      let rooms = byName.get(name);
      if (rooms === undefined) {
        rooms = [];
        byName.set(name, rooms);
        this.kinds.push({ kind: { type, zone, spot }, rooms });
      }
      const room = new Room(m, recordLimit, this.all.length);
      rooms.push(room);
      this.all.push(room);
      this.byId.set(m.id, room);
    }
  }

  /** Rooms that the job's tasks may be in, by kind of machine; in one zone where one is named. */
  of(spec: JobSpec, zone: string | null = null): Room[][] {
    const found: Room[][] = [];
    for (const k of this.kinds)
      if ((zone === null || k.kind.zone === zone) && allowed(spec, k.kind)) found.push(k.rooms);
    return found;
  }

  zones(spec: JobSpec): string[] {
    const zones = new Set<string>();
    for (const k of this.kinds) if (allowed(spec, k.kind)) zones.add(k.kind.zone);
    return [...zones];
  }
}
