import type { JobSpec } from '../../src/controller/wire/jobs.js';
import type { Team } from '../../src/controller/settings/platform.js';

/** Where a task is. */
export interface Place {
  machine: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** What a machine has free. */
export interface FreeRoom {
  type: string;
  zone: string;
  spot: boolean;
  recalled: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What a job's user had been told at some moment. */
export interface Standing {
  accepted: boolean;
  done: boolean;
  cancelled: boolean;
}

/** What a user is told of a job for the first time. */
export type News = keyof Standing;

interface Known {
  spec: JobSpec;
  submittedAt: number;
  accepted: boolean;
  cancelAsked: boolean;
  cancelledAt: number | null;
  toldDone: boolean;
  done: Set<number>;
  /** When its user was last given an answer that says something, and first asked without one since. */
  unansweredFrom: number | null;
  /** Tasks on machines by zone, and how many in all. */
  zones: Map<string, number>;
  on: number;
  /** When as many of its tasks were on machines at one time as a gang has, or the first of an array. */
  begunAt: number | null;
  /** Since when none of its tasks has been on a machine though there was room for them. */
  couldRunFrom: number | null;
}

/** Troubles over, no job may wait longer than this beside room for it. */
const WAITING_MS = 90_000;
/** And no service may lack a replica for longer. */
const REPLICA_MS = 30_000;

/** After this time without any answer a job counts as forgotten, once troubles are over. */
const UNANSWERED_MS = 75_000;
/** The largest jobs of a class have to begin within this time. */
const LARGEST_MS = 240_000;
/** Jobs of a class that count as its largest. */
const LARGEST_SHARE = 0.1;

/** The Rules of PROTOCOL and of the operators, checked against what really happens in the world. */
export class Rules {
  readonly broken: string[] = [];
  private readonly jobs = new Map<string, Known>();
  private readonly on = new Map<string, Map<string, Place>>();
  private readonly use = new Map<string, { cpus: number; gpus: number }>();
  private readonly leaving = new Set<Known>();
  /** Set once the last trouble is over. */
  calmAt: number | null = null;
  started = 0;
  /** Called when a user is first told something of a job. */
  readonly onNews: ((id: string, news: News) => void)[] = [];
  /** Called as the last task of a job ends. */
  readonly onLastTask: ((id: string) => void)[] = [];
  /** Called when a task begins on a machine. */
  readonly onStart: ((place: Place) => void)[] = [];
  /** When cancellations were told of jobs that had tasks on machines. */
  readonly cancelledRunning: number[] = [];

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
        ...{ spec, submittedAt: this.now(), accepted: false, cancelAsked: false },
        ...{ cancelledAt: null, toldDone: false, done: new Set(), unansweredFrom: null },
        ...{ zones: new Map(), on: 0, begunAt: null, couldRunFrom: null },
      });
  }

  cancelAsked(id: string): void {
    const j = this.jobs.get(id);
    if (j !== undefined) j.cancelAsked = true;
  }

  /** What the job's user has been told so far. */
  standing(id: string): Standing {
    const j = this.jobs.get(id);
    return {
      accepted: j?.accepted === true,
      done: j?.toldDone === true,
      cancelled: (j?.cancelledAt ?? null) !== null,
    };
  }

  /**
   * An answer to a submission, a poll or a cancellation; 0: none came. `before` is what the user had
   * been told when the question was sent: no answer may be older than that, whichever node gave it.
   */
  answered(
    id: string,
    status: number,
    state: string,
    submission: boolean,
    before: Standing = this.standing(id),
  ): void {
    const known = this.standing(id);
    this.judge(id, status, state, submission, before);
    const now = this.standing(id);
    for (const news of ['accepted', 'done', 'cancelled'] as const)
      if (now[news] && !known[news]) for (const told of this.onNews) told(id, news);
  }

  private judge(
    id: string,
    status: number,
    state: string,
    submission: boolean,
    before: Standing,
  ): void {
    const j = this.jobs.get(id);
    if (j === undefined) {
      if (status === 200) this.fail('invented', id);
      return;
    }
    if (before.accepted && status === 404) this.fail('forgotten', `${id} 404`);
    if (before.accepted && submission && (status === 400 || status === 422))
      this.fail('forgotten', `${id} ${status}`);
    if (status !== 200 && status !== 201) {
      if (j.accepted) j.unansweredFrom ??= this.now();
      this.unanswered(j);
      return;
    }
    j.unansweredFrom = null;
    j.accepted = true;
    if (state === 'done') {
      if (j.done.size < j.spec.tasks) this.fail('not_done', id);
      if (j.cancelledAt !== null) this.fail('went_back', `${id} cancelled, then done`);
      j.toldDone = true;
    } else if (before.done || (j.toldDone && state === 'aborted'))
      this.fail('went_back', `${id} done, then ${state}`);
    if (state === 'aborted') {
      if (!j.cancelAsked) this.fail('went_back', `${id} cancelled by nobody`);
      if (j.cancelledAt === null && j.on > 0) this.cancelledRunning.push(this.now());
      j.cancelledAt ??= this.now();
      this.leaving.add(j);
    } else if (before.cancelled && state !== 'done')
      this.fail('went_back', `${id} cancelled, then ${state}`);
  }

  /** The operators' rule: troubles over, no job may go unanswered for long, however others fare. */
  private unanswered(j: Known): void {
    if (this.calmAt === null || j.unansweredFrom === null) return;
    const from = Math.max(this.calmAt, j.unansweredFrom);
    if (this.now() - from > UNANSWERED_MS) this.fail('forgotten', `${j.spec.id} unanswered`);
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
    this.count(j, place, 1);
    const { spec } = j;
    if (j.on >= (spec.kind === 'gang' ? spec.tasks : 1)) j.begunAt ??= this.now();
    if (spec.types !== null && !spec.types.includes(place.type))
      this.fail('wrong_place', `${name} type`);
    if (spec.zone !== null && spec.zone !== place.zone) this.fail('wrong_place', `${name} zone`);
    if (place.spot && !spec.spot) this.fail('wrong_place', `${name} spot`);
    if (spec.oneZone && j.zones.size > 1) this.fail('wrong_place', `${name} two zones`);
    if (spec.spread && Math.max(...j.zones.values()) > Math.ceil(spec.tasks / 2))
      this.fail('wrong_place', `${name} too many in a zone`);
    this.quota(spec.team);
    this.cancelled(j);
    for (const begun of this.onStart) begun(place);
  }

  taskOff(id: string, task: number, machine: string): void {
    const places = this.on.get(`${id}/${task}`);
    const place = places?.get(machine);
    if (places === undefined || place === undefined) return;
    places.delete(machine);
    if (places.size === 0) this.on.delete(`${id}/${task}`);
    const j = this.jobs.get(id);
    if (j !== undefined) this.count(j, place, -1);
  }

  private count(j: Known, place: Place, by: number): void {
    j.on += by;
    const n = (j.zones.get(place.zone) ?? 0) + by;
    if (n > 0) j.zones.set(place.zone, n);
    else j.zones.delete(place.zone);
    const use = this.use.get(j.spec.team) ?? { cpus: 0, gpus: 0 };
    this.use.set(j.spec.team, use);
    use.cpus += by * j.spec.cpus;
    use.gpus += by * j.spec.gpus;
  }

  /** Jobs with tasks on machines that nobody has asked to cancel. */
  running(): string[] {
    return [...this.jobs.values()].filter((j) => j.on > 0 && !j.cancelAsked).map((j) => j.spec.id);
  }

  taskDone(id: string, task: number): void {
    const j = this.jobs.get(id);
    if (j === undefined || j.spec.kind === 'service') return;
    j.done.add(task);
    if (j.done.size === j.spec.tasks && j.accepted && !j.cancelAsked)
      for (const ended of this.onLastTask) ended(id);
  }

  /** Jobs that were accepted and not called off. */
  known(): string[] {
    return this.counted().map((j) => j.spec.id);
  }

  toldDone(id: string): boolean {
    return this.jobs.get(id)?.toldDone === true;
  }

  /** Whether its user was told that the job is cancelled. */
  toldCancelled(id: string): boolean {
    return (this.jobs.get(id)?.cancelledAt ?? null) !== null;
  }

  /** Jobs that users were told have ended so. */
  endedAs(state: 'done' | 'cancelled'): number {
    const told = (j: Known): boolean => (state === 'done' ? j.toldDone : j.cancelledAt !== null);
    return [...this.jobs.values()].filter(told).length;
  }

  machinesOf(id: string): string[] {
    const found: string[] = [];
    for (const [name, places] of this.on)
      if (name.startsWith(`${id}/`)) found.push(...places.keys());
    return found;
  }

  /** A submission that can't run, or lacks a field, was accepted. */
  acceptedOdd(id: string): void {
    this.fail('accepted_odd', id);
  }

  /** The operators' rule: troubles over, no job waits for long beside room for it, within its limit. */
  waiting(free: readonly FreeRoom[]): void {
    for (const j of this.jobs.values()) {
      const open = j.accepted && !j.cancelAsked && j.done.size < j.spec.tasks;
      const runs = j.on >= (j.spec.kind === 'service' ? j.spec.tasks : 1);
      if (!open || runs || !this.couldRun(j, free)) j.couldRunFrom = null;
      else j.couldRunFrom ??= this.now();
      const most = j.spec.kind === 'service' ? REPLICA_MS : WAITING_MS;
      if (j.couldRunFrom !== null && this.now() - j.couldRunFrom > most)
        this.fail('left_waiting', `${j.spec.id} (${j.spec.kind} of ${j.spec.tasks})`);
    }
  }

  private couldRun(j: Known, free: readonly FreeRoom[]): boolean {
    const { spec } = j;
    const t = this.teams.find((x) => x.name === spec.team);
    const use = this.use.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const most = (limit: number, used: number, need: number): number =>
      limit > 0 && need > 0 ? Math.floor((limit - used + 1e-6) / need) : Infinity;
    const wanted = spec.kind === 'gang' ? spec.tasks : 1;
    if (t === undefined || most(t.cpusMax, use.cpus, spec.cpus) < wanted) return false;
    if (most(t.gpusMax, use.gpus, spec.gpus) < wanted) return false;
    const zones = new Map<string, number>();
    for (const m of free) {
      if (m.recalled || (m.spot && !spec.spot)) continue;
      if (spec.types !== null && !spec.types.includes(m.type)) continue;
      if (spec.zone !== null && spec.zone !== m.zone) continue;
      const n = Math.min(
        spec.cpus > 0 ? Math.floor((m.cpus + 1e-6) / spec.cpus) : Infinity,
        spec.gpus > 0 ? Math.floor((m.gpus + 1e-6) / spec.gpus) : Infinity,
        spec.memoryGb > 0 ? Math.floor((m.memoryGb + 1e-6) / spec.memoryGb) : Infinity,
      );
      zones.set(m.zone, (zones.get(m.zone) ?? 0) + Math.max(0, n));
    }
    const counts = [...zones.values()];
    if (spec.oneZone) return Math.max(0, ...counts) >= wanted;
    const perZone = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
    return counts.reduce((sum, n) => sum + Math.min(n, perZone), 0) >= wanted;
  }

  /** Whether no team may use another GPU. */
  get everyTeamAtLimit(): boolean {
    return this.teams.every(
      (t) => t.gpusMax > 0 && (this.use.get(t.name)?.gpus ?? 0) + 1 > t.gpusMax,
    );
  }

  private quota(team: string): void {
    const t = this.teams.find((x) => x.name === team);
    const use = this.use.get(team);
    if (t === undefined || use === undefined) return;
    if (t.cpusMax > 0 && use.cpus > t.cpusMax + 1e-6)
      this.fail('quota', `${team} ${use.cpus} CPUs`);
    if (t.gpusMax > 0 && use.gpus > t.gpusMax + 1e-6)
      this.fail('quota', `${team} ${use.gpus} GPUs`);
  }

  private cancelled(j: Known): void {
    if (j.cancelledAt === null || this.now() <= j.cancelledAt + this.cancelMs) return;
    if (j.on > 0) this.fail('ran_cancelled', j.spec.id);
    else this.leaving.delete(j);
  }

  /** To be called as time passes. */
  tick(): void {
    for (const j of this.leaving) this.cancelled(j);
    if (this.calmAt !== null) for (const j of this.jobs.values()) this.unanswered(j);
  }

  /** Accepted jobs that are neither done nor cancelled; services never are, `waiting` watches them. */
  unfinished(): string[] {
    return this.counted()
      .filter((j) => j.spec.kind !== 'service' && j.done.size < j.spec.tasks)
      .map((j) => j.spec.id);
  }

  private counted(): Known[] {
    return [...this.jobs.values()].filter(
      (j) => j.accepted && j.cancelledAt === null && !j.cancelAsked,
    );
  }

  /**
   * The operators' rule on a day as a whole: at least half of every class, of every team and of
   * every class's largest jobs is served, and the largest begin within four minutes.
   */
  neglected(): string[] {
    const found: string[] = [];
    const served = (name: string, jobs: Known[]): void => {
      const done = jobs.filter((j) => j.done.size >= j.spec.tasks).length;
      if (done < jobs.length / 2) found.push(`${name}: ${done} of ${jobs.length} served`);
    };
    const by = (key: (j: Known) => string): Map<string, Known[]> => {
      const groups = new Map<string, Known[]>();
      for (const j of this.counted()) groups.set(key(j), [...(groups.get(key(j)) ?? []), j]);
      return groups;
    };
    for (const [team, jobs] of by((j) => j.spec.team)) served(`team ${team}`, jobs);
    for (const [cls, jobs] of by((j) => j.spec.class)) {
      served(`class ${cls}`, jobs);
      const largest = [...jobs]
        .sort((a, b) => b.spec.tasks - a.spec.tasks)
        .slice(0, Math.max(1, Math.floor(jobs.length * LARGEST_SHARE)));
      served(`largest of ${cls}`, largest);
      for (const j of largest)
        if ((j.begunAt ?? Infinity) - j.submittedAt > LARGEST_MS)
          found.push(`largest of ${cls}: ${j.spec.id} with ${j.spec.tasks} tasks began too late`);
    }
    return found;
  }
}
