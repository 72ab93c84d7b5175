import type { JobSpec } from '../wire/jobs.js';
import type { Need } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';

const EPS = 1e-6;

/** Room of one machine that a hold has claimed, and when the hold is expected to be full. */
export interface Claim extends Need {
  fillAt: number;
  /** A hold in advance, for a class: it binds only work that is smaller and ranks no higher. */
  ahead: { spec: JobSpec; level: number; larger: number } | null;
}

/** A machine as one placement pass sees it, higher ranks first. */
export class Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
  slots: number;
  readonly claims: Claim[] = [];

  constructor(
    readonly machine: Machine,
    slots: number,
  ) {
    const t = machine.type;
    this.cpus = (t?.cpus ?? 0) - machine.cpus;
    this.gpus = (t?.gpus ?? 0) - machine.gpus;
    this.memoryGb = (t?.memoryGb ?? 0) - machine.memoryGb;
    this.slots = slots - machine.assignments.size;
  }

  /**
   * Tasks that fit now beside what higher ranks hold. A hold's room counts as free for a task that
   * should be gone before the hold fills.
   */
  fits(spec: JobSpec, level: number, endsAt: number, backfill: number, now: number): number {
    let { cpus, gpus, memoryGb } = this;
    for (const c of this.claims) {
      if (Number.isFinite(endsAt) && endsAt - now <= backfill * (c.fillAt - now)) continue;
      if (c.ahead !== null && !this.binds(c.ahead, spec, level)) continue;
      cpus -= c.cpus;
      gpus -= c.gpus;
      memoryGb -= c.memoryGb;
    }
    return this.count(spec, cpus, gpus, memoryGb);
  }

  /** Tasks that fit now if nothing were held. */
  fitsEmpty(need: Need): number {
    return this.count(need, this.cpus, this.gpus, this.memoryGb);
  }

  private count(need: Need, cpus: number, gpus: number, memoryGb: number): number {
    return Math.max(
      0,
      Math.min(
        this.slots,
        times(cpus, need.cpus),
        times(gpus, need.gpus),
        times(memoryGb, need.memoryGb),
      ),
    );
  }

  private binds(ahead: NonNullable<Claim['ahead']>, spec: JobSpec, level: number): boolean {
    if (spec.kind === 'gang' || level > ahead.level) return false;
    return this.eats(ahead, spec);
  }

  /** Whether room kept for other classes would go to this smaller task, if it were let. */
  intrudes(spec: JobSpec): boolean {
    return this.claims.some((c) => c.ahead !== null && this.eats(c.ahead, spec));
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

  use(need: Need, count: number): void {
    this.cpus -= need.cpus * count;
    this.gpus -= need.gpus * count;
    this.memoryGb -= need.memoryGb * count;
    this.slots -= count;
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

export function needOf(spec: JobSpec): Need {
  return { cpus: spec.cpus, gpus: spec.gpus, memoryGb: spec.memoryGb };
}

/** Whether the job's tasks may be on this machine at all. */
export function allowed(spec: JobSpec, m: Machine): boolean {
  const t = m.type;
  return (
    t !== null &&
    (spec.types === null || spec.types.includes(t.name)) &&
    (spec.zone === null || spec.zone === m.zone) &&
    (spec.spot || !m.spot) &&
    spec.cpus <= t.cpus &&
    spec.gpus <= t.gpus &&
    spec.memoryGb <= t.memoryGb
  );
}
