import type { Core } from '../core/core.js';
import type { Settings } from '../settings/settings.js';
import type { StateClient } from '../store/client.js';
import type { Records } from '../store/records.js';
import { isMap } from '../wire/cbor.js';
import {
  readJob,
  type FinalState,
  type JobAnswer,
  type JobSpec,
  type Priority,
} from '../wire/jobs.js';
import type { Cause } from '../wire/workers.js';
import type { Assignment } from '../workers/assignment.js';
import { finalKey, finalRecord, liveKey, readFinal } from './frontend.js';

/** Tasks whose completion one progress record holds. */
const CHUNK = 8192;

export const levels: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

/** Tasks that wait for a place, each at most once, lowest number first. */
export class Pending {
  private list: number[];
  private readonly inside: Uint8Array;

  constructor(tasks: number) {
    this.list = Array.from({ length: tasks }, (_, i) => tasks - 1 - i);
    this.inside = new Uint8Array(tasks).fill(1);
  }

  get length(): number {
    return this.list.length;
  }

  has(task: number): boolean {
    return this.inside[task] === 1;
  }

  push(task: number): void {
    if (this.inside[task] !== 0) return;
    this.inside[task] = 1;
    this.list.push(task);
  }

  pop(): number | undefined {
    const task = this.list.pop();
    if (task !== undefined) this.inside[task] = 0;
    return task;
  }

  drop(task: number): void {
    if (this.has(task)) this.keep((t) => t !== task);
  }

  keep(wanted: (task: number) => boolean): void {
    this.list = this.list.filter((t) => {
      const keep = wanted(t);
      if (!keep) this.inside[t] = 0;
      return keep;
    });
  }
}

/** Machines that a waiting gang fills up. */
export interface Hold {
  machines: string[];
  since: number;
  fillAt: number;
  /** When the gang could run there, images included. */
  readyAt: number;
  soughtAt: number;
}

export class Job {
  readonly done: Uint8Array;
  readonly recorded: Uint8Array;
  doneCount = 0;
  recordedCount = 0;
  /** Tasks that are neither done nor assigned, lowest number last. */
  readonly pending: Pending;
  readonly assigned = new Map<number, Assignment>();
  /** Every assignment of its tasks that is not forgotten, older attempts and ended ones too. */
  readonly all = new Set<Assignment>();
  /** Its answer may differ from what was last told. */
  changed = true;
  /** Cancelled, or its end is being written: nothing of it may be placed. */
  closed: FinalState | null = null;
  ending = false;
  /** Its live record is gone, and its end is being read. */
  vanished = false;
  /** A gang lost a part: no new attempt before all of the old one is gone. */
  regrouping = false;
  exits: Record<string, number> = {};
  preemptions = 0;
  /**
   * Work was stopped for it, until then: it goes before all others, or those who were stopped, who
   * rank higher for it, would take the room back.
   */
  grantedUntil = -Infinity;
  /** It fits into its team's guarantee, by the last placement pass. */
  guaranteed = false;
  /** Nothing is placed before then, after errors. */
  notBefore = 0;
  errors = 0;
  /** Machines on which tasks of the job failed. */
  readonly failedOn = new Set<string>();
  /** Machines on which replicas of a service ended by themselves: how often, and left out until when. */
  readonly avoided = new Map<string, { times: number; until: number }>();
  /** Since when the job has had something to place, for rank and for renting. */
  waitingSince: number;
  blocked = '';
  /** Machines that the job's hold is on, for a gang that cannot start yet. */
  hold: Hold | null = null;
  /** The attempt under which tasks start one by one, and those that have. */
  private attempt = 0;
  private readonly started = new Set<number>();
  /** When room was last sought that could be made for an array's tasks. */
  soughtAt = -Infinity;

  constructor(
    readonly spec: JobSpec,
    /** When it was accepted, on this node's steady clock. */
    readonly submittedAt: number,
    readonly version: number,
    now: number,
  ) {
    this.done = new Uint8Array(spec.tasks);
    this.recorded = new Uint8Array(spec.tasks);
    this.pending = new Pending(spec.tasks);
    this.waitingSince = now;
  }

  /** Its tasks run until the job is cancelled; each that ends is replaced. */
  get standing(): boolean {
    return this.spec.kind === 'service';
  }

  /** Replicas of a service that are not running. */
  get missing(): number {
    return this.standing ? this.spec.tasks - this.running : 0;
  }

  /** Whether replicas of it are not to start on the machine for now. */
  avoids(machine: string, now: number): boolean {
    return (this.avoided.get(machine)?.until ?? 0) > now;
  }

  get level(): number {
    return levels[this.spec.priority];
  }

  /**
   * An attempt under which the task has not been started. Tasks that start one by one share one, which
   * keeps the records of their machines small.
   */
  attemptFor(task: number, next: () => number): number {
    if (this.attempt === 0 || this.started.has(task)) {
      this.attempt = next();
      this.started.clear();
    }
    this.started.add(task);
    return this.attempt;
  }

  get complete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  get running(): number {
    let n = 0;
    for (const a of this.assigned.values()) if (a.state === 'running' || a.state === 'saving') n++;
    return n;
  }

  answer(): JobAnswer {
    const running = this.running;
    const a: JobAnswer = {
      id: this.spec.id,
      state: this.closed ?? (running > 0 ? 'running' : 'queued'),
      done: this.doneCount,
      running,
      exits: this.exits,
    };
    if (this.blocked !== '') a.blocked = this.blocked;
    return a;
  }
}

export interface TableHooks {
  /** The leader before has left only parts of a gang. */
  torn(job: Job): void;
  /** The job has ended somehow: nothing of it should run. */
  vanished(job: Job): void;
  /** The job has ended: its tasks must go from their machines. */
  closed(job: Job): void;
  /** A job became known to this leader. */
  added(job: Job): void;
  /** Something became placeable. */
  changed(): void;
  /** Completion of this task is on record. */
  recorded(job: Job, task: number): void;
  ended(id: string, state: FinalState): void;
}

const PROGRESS = 'p/';
const progressKey = (id: string, chunk: number): string => `${PROGRESS}${id}/${chunk}`;

/** The leader's jobs: all that have not ended. */
export class JobTable {
  readonly jobs = new Map<string, Job>();
  /** Ends that this leader has seen, while tasks of them may still be on machines. */
  private readonly dirtyDone = new Map<Job, Set<number>>();

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    private readonly client: StateClient,
    private readonly records: Records,
    private readonly hooks: TableHooks,
  ) {}

  /** A live record, read at takeover or seen in the watch. */
  add(id: string, value: unknown, version: number): void {
    if (this.jobs.has(id)) return;
    let spec: JobSpec;
    try {
      if (!isMap(value)) throw new Error('not a map');
      spec = readJob(value['job']);
    } catch (err) {
      this.core.log.error({ job: id, err }, 'unreadable job record');
      return;
    }
    const now = this.core.now();
    const wall = typeof value['at'] === 'number' ? value['at'] : this.core.env.wall();
    const age = Math.max(0, this.core.env.wall() - wall);
    const job = new Job(spec, now - age, version, now);
    this.jobs.set(id, job);
    this.hooks.added(job);
    this.core.log.debug(
      {
        job: id,
        class: spec.class,
        team: spec.team,
        tasks: spec.tasks,
        image: spec.image,
        gb: spec.imageGb,
      },
      'job known',
    );
    this.hooks.changed();
  }

  /** What the leaders before have recorded as done, read at takeover. */
  load(): void {
    for (const { key, value } of this.records.list(PROGRESS)) {
      const [id = '', chunk] = key.slice(PROGRESS.length).split('/');
      const job = this.jobs.get(id);
      // Its job has ended.
      if (job === undefined) this.records.set(key, undefined, 'lazy');
      else if (typeof value === 'string') this.loadChunk(job, Number(chunk), value);
    }
  }

  private loadChunk(job: Job, chunk: number, value: string): void {
    if (job.standing) return;
    const bits = Buffer.from(value, 'base64');
    for (let i = 0; i < CHUNK; i++) {
      const task = chunk * CHUNK + i;
      if (task >= job.spec.tasks) break;
      if (((bits[i >> 3] ?? 0) & (1 << (i & 7))) === 0 || job.done[task] === 1) continue;
      job.done[task] = 1;
      job.recorded[task] = 1;
      job.doneCount++;
      job.recordedCount++;
    }
  }

  /** After all has been read: what is left to place, and jobs that only lack their end. */
  settle(): void {
    for (const job of this.jobs.values()) {
      job.pending.keep((t) => job.done[t] !== 1 && !job.assigned.has(t));
      // A gang of which some parts are still about starts again as a whole once they are gone.
      if (job.spec.kind === 'gang' && job.assigned.size > 0) {
        const attempts = new Set([...job.assigned.values()].map((a) => a.attempt));
        if (job.pending.length > 0 || attempts.size > 1) this.hooks.torn(job);
        job.pending.keep(() => false);
      }
      if (job.complete) this.finish(job);
    }
  }

  /**
   * The live record is gone and this leader did not remove it. Most likely its user has cancelled
   * it; but a leader that has been replaced without knowing it yet sees the same when its successor
   * finishes the job. So the tasks are stopped, and how the job ended is read, never guessed.
   */
  removed(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.ending) return;
    job.ending = true;
    job.vanished = true;
    this.hooks.vanished(job);
    this.findEnd(job);
  }

  /** The job is known to have been cancelled. */
  cancelled(id: string): void {
    const job = this.jobs.get(id);
    if (job !== undefined) this.close(job, 'cancelled');
  }

  private close(job: Job, state: FinalState): void {
    if (job.closed !== null) return;
    job.closed = state;
    job.pending.keep(() => false);
    job.hold = null;
    this.jobs.delete(job.spec.id);
    this.dirtyDone.delete(job);
    const chunks = Math.ceil(job.spec.tasks / CHUNK);
    for (let c = 0; c < chunks; c++) {
      const key = progressKey(job.spec.id, c);
      if (this.records.has(key)) this.records.set(key, undefined, 'lazy');
    }
    this.core.log.info({ job: job.spec.id, state, exits: job.exits }, 'job ended');
    this.hooks.ended(job.spec.id, state);
    this.hooks.closed(job);
  }

  countExit(job: Job, cause: Cause | 'lost'): void {
    job.exits[cause] = (job.exits[cause] ?? 0) + 1;
  }

  /** A report shows the task done. It may be cleared once that is on record. */
  markDone(job: Job, task: number): void {
    if (job.closed !== null || job.standing || job.done[task] === 1) return;
    job.done[task] = 1;
    job.doneCount++;
    job.changed = true;
    job.pending.drop(task);
    if (job.complete) {
      this.dirtyDone.delete(job);
      this.finish(job);
      return;
    }
    let set = this.dirtyDone.get(job);
    if (set === undefined) this.dirtyDone.set(job, (set = new Set()));
    set.add(task);
  }

  /** The task is on no machine and not done. */
  putBack(job: Job, task: number): void {
    if (job.closed !== null || job.done[task] === 1) return;
    // Twice in the list would be twice on machines.
    if (job.assigned.has(task) || job.pending.has(task)) return;
    if (job.pending.length === 0) job.waitingSince = this.core.now();
    job.pending.push(task);
    this.hooks.changed();
  }

  /** Once a batch: completions of this batch, one write a job. */
  flush(): void {
    for (const [job, tasks] of this.dirtyDone) {
      const chunks = new Set([...tasks].map((t) => Math.floor(t / CHUNK)));
      for (const chunk of chunks) {
        const mine = [...tasks].filter((t) => Math.floor(t / CHUNK) === chunk);
        this.records.set(
          progressKey(job.spec.id, chunk),
          this.chunkValue(job, chunk),
          'urgent',
          () => {
            for (const t of mine) {
              if (job.recorded[t] === 1) continue;
              job.recorded[t] = 1;
              job.recordedCount++;
              this.hooks.recorded(job, t);
            }
          },
        );
      }
    }
    this.dirtyDone.clear();
  }

  private chunkValue(job: Job, chunk: number): string {
    const from = chunk * CHUNK;
    const size = Math.min(CHUNK, job.spec.tasks - from);
    const bits = Buffer.alloc(Math.ceil(size / 8));
    for (let i = 0; i < size; i++)
      if (job.done[from + i] === 1) bits[i >> 3] = (bits[i >> 3] ?? 0) | (1 << (i & 7));
    return bits.toString('base64');
  }

  /** Replaces the live record by the final one, in one step, unless a cancellation came first. */
  private finish(job: Job): void {
    if (job.ending || job.closed !== null) return;
    job.ending = true;
    const { id } = job.spec;
    this.records.transact(
      [
        { key: liveKey(id), version: job.version },
        { key: finalKey(id), version: 0 },
      ],
      [
        { delete: liveKey(id) },
        { put: finalKey(id), value: finalRecord('done', Math.round(this.core.env.wall())) },
      ],
      (r) => {
        if (r === 'ok') this.close(job, 'done');
        else this.findEnd(job);
      },
    );
  }

  private findEnd(job: Job): void {
    this.client.tokens.force();
    this.client.get(finalKey(job.spec.id), this.settings.leaderLeaseMs / 4, (got) => {
      if (job.closed !== null) return;
      const state = got.kind === 'ok' && got.value !== null ? readFinal(got.value.value) : null;
      if (state !== null) this.close(job, state);
      else {
        this.core.after(this.client.down ? 1000 : 200, 'find-end', () => {
          if (job.closed !== null) return;
          if (job.vanished) return this.findEnd(job);
          job.ending = false;
          this.finish(job);
        });
      }
    });
  }
}
