import type { JobSpec } from '../../src/controller/wire/jobs.js';
import type { Team } from '../../src/controller/settings/platform.js';

export interface Place {
  machine: string;
  type: string;
  zone: string;
  spot: boolean;
}

interface Known {
  spec: JobSpec;
  accepted: boolean;
  cancelAsked: boolean;
  cancelledAt: number | null;
  toldDone: boolean;
  done: Set<number>;
}

/** The Rules of PROTOCOL, checked against what really happens in the world. */
export class Rules {
  readonly broken: string[] = [];
  private readonly jobs = new Map<string, Known>();
  private readonly on = new Map<string, Map<string, Place>>();
  started = 0;

  constructor(
    private readonly teams: Team[],
    private readonly cancelMs: number,
    private readonly now: () => number,
  ) {}

  private fail(rule: string, detail: string): void {
    this.broken.push(`${(this.now() / 1000).toFixed(3)} s ${rule}: ${detail}`);
  }

  submitted(spec: JobSpec): void {
    if (!this.jobs.has(spec.id))
      this.jobs.set(spec.id, {
        spec,
        accepted: false,
        cancelAsked: false,
        cancelledAt: null,
        toldDone: false,
        done: new Set(),
      });
  }

  cancelAsked(id: string): void {
    const j = this.jobs.get(id);
    if (j !== undefined) j.cancelAsked = true;
  }

  /** An answer to a submission, a poll or a cancellation. */
  answered(id: string, status: number, state: string, submission: boolean): void {
    const j = this.jobs.get(id);
    if (j === undefined) {
      if (status === 200) this.fail('invented', id);
      return;
    }
    if (j.accepted && status === 404) this.fail('forgotten', `${id} 404`);
    if (j.accepted && submission && (status === 400 || status === 422))
      this.fail('forgotten', `${id} ${status}`);
    if (status !== 200 && status !== 201) return;
    j.accepted = true;
    if (state === 'done') {
      if (j.done.size < j.spec.tasks) this.fail('not_done', id);
      if (j.cancelledAt !== null) this.fail('went_back', `${id} cancelled, then done`);
      j.toldDone = true;
    } else if (j.toldDone) this.fail('went_back', `${id} done, then ${state}`);
    if (state === 'aborted') {
      if (!j.cancelAsked) this.fail('went_back', `${id} cancelled by nobody`);
      j.cancelledAt ??= this.now();
    } else if (j.cancelledAt !== null && state !== 'done')
      this.fail('went_back', `${id} cancelled, then ${state}`);
  }

  /** The task has its image and is on the machine from now on. */
  taskOn(id: string, task: number, place: Place): void {
    this.started++;
    const j = this.jobs.get(id);
    if (j === undefined) return this.fail('wrong_place', `${id} unknown`);
    const name = `${id}/${task}`;
    const places = this.on.get(name) ?? new Map<string, Place>();
    this.on.set(name, places);
    if (places.size > 0)
      this.fail('ran_twice', `${name} on ${place.machine}, is on ${[...places.keys()].join()}`);
    places.set(place.machine, place);
    const { spec } = j;
    if (spec.types !== null && !spec.types.includes(place.type))
      this.fail('wrong_place', `${name} type`);
    if (spec.zone !== null && spec.zone !== place.zone) this.fail('wrong_place', `${name} zone`);
    if (place.spot && !spec.spot) this.fail('wrong_place', `${name} spot`);
    const zones = new Map<string, number>();
    for (let t = 0; t < spec.tasks; t++)
      for (const p of this.on.get(`${id}/${t}`)?.values() ?? [])
        zones.set(p.zone, (zones.get(p.zone) ?? 0) + 1);
    if (spec.oneZone && zones.size > 1) this.fail('wrong_place', `${name} two zones`);
    if (spec.spread && Math.max(...zones.values()) > Math.ceil(spec.tasks / 2))
      this.fail('wrong_place', `${name} too many in a zone`);
    this.quota(spec.team);
    this.cancelled(j);
  }

  taskOff(id: string, task: number, machine: string): void {
    this.on.get(`${id}/${task}`)?.delete(machine);
  }

  taskDone(id: string, task: number): void {
    this.jobs.get(id)?.done.add(task);
  }

  private quota(team: string): void {
    const t = this.teams.find((x) => x.name === team);
    if (t === undefined) return;
    let cpus = 0;
    let gpus = 0;
    for (const [name, places] of this.on) {
      const spec = this.jobs.get(name.slice(0, name.lastIndexOf('/')))?.spec;
      if (spec?.team !== team) continue;
      cpus += spec.cpus * places.size;
      gpus += spec.gpus * places.size;
    }
    if (t.cpusMax > 0 && cpus > t.cpusMax + 1e-6) this.fail('quota', `${team} ${cpus} CPUs`);
    if (t.gpusMax > 0 && gpus > t.gpusMax + 1e-6) this.fail('quota', `${team} ${gpus} GPUs`);
  }

  private cancelled(j: Known): void {
    if (j.cancelledAt === null || this.now() <= j.cancelledAt + this.cancelMs) return;
    for (let t = 0; t < j.spec.tasks; t++)
      if ((this.on.get(`${j.spec.id}/${t}`)?.size ?? 0) > 0)
        this.fail('ran_cancelled', `${j.spec.id}/${t}`);
  }

  /** To be called as time passes. */
  tick(): void {
    for (const j of this.jobs.values()) if (j.cancelledAt !== null) this.cancelled(j);
  }

  /** Accepted jobs that are neither done nor cancelled. */
  unfinished(): string[] {
    return [...this.jobs.values()]
      .filter(
        (j) => j.accepted && j.cancelledAt === null && !j.cancelAsked && j.done.size < j.spec.tasks,
      )
      .map((j) => j.spec.id);
  }
}
