import type { JobSpec } from '../wire/jobs.js';
import type { Need } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';

const EPS = 1e-6;

/** Room of one machine that a hold has claimed, and when the hold is expected to be full. */
export interface Claim extends Need {
  fillAt: number;
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
  fits(need: Need, endsAt: number, backfill: number, now: number): number {
    let { cpus, gpus, memoryGb } = this;
    for (const c of this.claims) {
      if (endsAt - now <= backfill * (c.fillAt - now)) continue;
      cpus -= c.cpus;
      gpus -= c.gpus;
      memoryGb -= c.memoryGb;
    }
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

  use(need: Need, count: number): void {
    this.cpus -= need.cpus * count;
    this.gpus -= need.gpus * count;
    this.memoryGb -= need.memoryGb * count;
    this.slots -= count;
  }

  claim(need: Need, fillAt: number): void {
    this.claims.push({ cpus: need.cpus, gpus: need.gpus, memoryGb: need.memoryGb, fillAt });
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
