import type { Timer } from '../../src/controller/core/env.js';
import type { MachineType } from '../../src/controller/wire/cloud.js';
import type { JobSpec } from '../../src/controller/wire/jobs.js';
import type { Happenings } from './happenings.js';
import type { FreeRoom, Rules } from './rules.js';
import type { Arrival, Network, Respond } from './network.js';
import type { Sim } from './sim.js';

export interface WorkerSettings {
  reportMs: number;
  leaseMs: number;
  gangWaitMs: number;
  gangPeerMs: number;
}

export interface Shared {
  sim: Sim;
  net: Network;
  rules: Rules;
  settings: WorkerSettings;
  /** Controllers' API by host name. */
  controllers: string[];
  apiOf(host: string): string;
  job(id: string): JobSpec | undefined;
  /** True run time of a task. */
  runMs(id: string): number;
  gangs: Gangs;
  /** Chance that a task fails. */
  errors: number;
  happenings: Happenings;
  /** How often a worker's lease has run out. */
  leasesLost: number;
  /** Replicas of services that ended by themselves. */
  replicasEnded: number;
}

interface Order {
  verb: string;
  duty: string;
  try: number;
  leeway_s?: number;
}

interface Task {
  id: string;
  task: number;
  attempt: number;
  status: string;
  cause: string | null;
  saved: boolean;
  on: boolean;
  timer: Timer | null;
}

/** Gangs find each other by attempt; they start and complete together. */
export class Gangs {
  private readonly members = new Map<string, Set<{ worker: Worker; task: Task }>>();
  constructor(private readonly sim: Sim) {}

  join(worker: Worker, task: Task, size: number, runMs: number): void {
    const key = `${task.id}@${task.attempt}`;
    const set = this.members.get(key) ?? new Set();
    this.members.set(key, set);
    set.add({ worker, task });
    const waiting = [...set].filter((m) => m.task.status === 'waiting');
    if (waiting.length < size) return;
    for (const m of waiting) m.worker.gangStarts(m.task);
    this.sim.after(runMs, () => {
      const now = [...set].filter((m) => m.task.status === 'running');
      if (now.length === size && set.size === size)
        for (const m of now) m.worker.finish(m.task, 'done');
    });
  }

  leave(task: Task, peerMs: number): void {
    const set = this.members.get(`${task.id}@${task.attempt}`);
    if (set === undefined) return;
    for (const m of set) if (m.task === task) set.delete(m);
    if (task.cause === 'done') return;
    for (const m of set)
      if (m.task.status === 'running')
        this.sim.after(peerMs, () => {
          if (m.task.status === 'running') m.worker.finish(m.task, 'peers');
        });
  }
}

/** Stand-in for a machine and its worker, after PROTOCOL. */
export class Worker {
  private session = 1;
  private seq = 0;
  private token = 0;
  private readonly tasks = new Map<string, Task>();
  private readonly images = new Set<string>();
  private leaseFrom: number;
  private node = 0;
  private inFlight = false;
  private dirty = false;
  private nextAt = 0;
  private notBefore = 0;
  private lastSent = -Infinity;
  private notice: number | null = null;
  private hungUntil = 0;
  private mutedUntil = 0;
  private plannedAt = Infinity;
  private blocked: (() => void)[] = [];
  gone = false;

  constructor(
    readonly id: string,
    readonly addr: string,
    readonly type: MachineType,
    readonly zone: string,
    readonly spot: boolean,
    private readonly shared: Shared,
  ) {
    this.leaseFrom = shared.sim.now;
    shared.net.listen(addr, id, (_, request, respond) =>
      this.whenAwake(() => this.serve(request, respond)),
    );
    this.node = Math.floor(shared.sim.random() * shared.controllers.length);
    this.nextAt = shared.sim.now;
    this.plan();
    this.watchLease();
  }

  /** The machine ends with all that is on it. */
  die(): void {
    if (this.gone) return;
    this.gone = true;
    this.killAll();
    this.shared.net.remove(this.addr);
  }

  /** The machine ends and is back soon, with its name and nothing else: a new session. */
  restart(ms: number): void {
    if (this.gone) return;
    this.nextSession();
    this.hang(ms);
  }

  warn(ms: number): void {
    this.notice = this.shared.sim.now + ms;
    this.change();
  }

  hang(ms: number): void {
    const { sim } = this.shared;
    const until = sim.now + ms;
    this.hungUntil = Math.max(this.hungUntil, until);
    sim.after(ms, () => {
      if (sim.now < this.hungUntil) return;
      const waiting = this.blocked;
      this.blocked = [];
      for (const run of waiting) run();
      this.plan();
    });
  }

  /** Reaches no controller for a time, while direct commands reach it and are answered. */
  mute(ms: number): void {
    this.mutedUntil = Math.max(this.mutedUntil, this.shared.sim.now + ms);
  }

  /** What no task takes. */
  get free(): FreeRoom {
    const { name, cpus, gpus, memoryGb } = this.type;
    const room = { cpus, gpus, memoryGb };
    for (const t of this.tasks.values()) {
      const s = this.shared.job(t.id);
      if (t.status === 'exited' || s === undefined) continue;
      room.cpus -= s.cpus;
      room.gpus -= s.gpus;
      room.memoryGb -= s.memoryGb;
    }
    return {
      ...room,
      type: name,
      zone: this.zone,
      spot: this.spot,
      recalled: this.notice !== null,
    };
  }

  private get hung(): boolean {
    return this.shared.sim.now < this.hungUntil;
  }

  private whenAwake(run: () => void): void {
    if (this.gone) return;
    if (this.hung) this.blocked.push(run);
    else run();
  }

  // ---- lease

  private watchLease(): void {
    if (this.gone) return;
    const { sim, settings } = this.shared;
    if (this.leaseFrom + settings.leaseMs <= sim.now) {
      this.shared.leasesLost++;
      this.nextSession();
    }
    sim.after(Math.max(1, this.leaseFrom + settings.leaseMs - sim.now), () => this.watchLease());
  }

  private nextSession(): void {
    this.killAll();
    this.tasks.clear();
    this.session++;
    this.leaseFrom = this.shared.sim.now;
    this.change();
  }

  private killAll(): void {
    for (const t of this.tasks.values()) {
      if (t.status === 'exited') continue;
      t.timer?.cancel();
      t.status = 'exited';
      t.cause = 'killed';
      this.off(t);
    }
  }

  // ---- reports

  /** Sees to it that the next report goes out when it is due. */
  private plan(): void {
    if (this.gone || this.inFlight) return;
    const { sim } = this.shared;
    const dueAt = this.dirty ? Math.min(this.nextAt, this.lastSent + 500) : this.nextAt;
    const at = Math.max(dueAt, this.notBefore, this.hung ? this.hungUntil : 0, sim.now);
    if (at >= this.plannedAt) return;
    this.plannedAt = at;
    sim.after(at - sim.now, () => {
      if (this.plannedAt !== at) return;
      this.plannedAt = Infinity;
      if (this.gone || this.inFlight || this.hung) this.plan();
      else this.send();
    });
  }

  private change(): void {
    this.dirty = true;
    this.plan();
  }

  private body(): unknown {
    this.seq++;
    return {
      kiln: this.id,
      address: this.addr,
      model: this.type.name,
      hall: this.zone,
      loaners: this.spot,
      tenure: this.session,
      tally: this.seq,
      baton: this.token,
      recall_s:
        this.notice === null ? null : Math.max(0, (this.notice - this.shared.sim.now) / 1000),
      duties: [...this.tasks.values()].map((t) => ({
        duty: `${t.id}/${t.task}`,
        try: t.attempt,
        status: t.status,
        ...(t.cause === null ? {} : { cause: t.cause }),
        ...(t.saved ? { saved: true } : {}),
      })),
    };
  }

  private send(): void {
    const { sim, net, controllers } = this.shared;
    this.inFlight = true;
    this.dirty = false;
    this.lastSent = sim.now;
    this.nextAt = sim.now + this.shared.settings.reportMs * sim.between(0.75, 1.25);
    const sentAt = sim.now;
    const { session } = this;
    const host = controllers[this.node] ?? '';
    if (sim.now < this.mutedUntil) {
      sim.after(1, () => {
        this.inFlight = false;
        this.tryNext();
        this.plan();
      });
      return;
    }
    net.call(
      this.id,
      {
        to: this.shared.apiOf(host),
        method: 'POST',
        path: '/v1/report',
        body: this.body(),
        timeoutMs: 4000,
      },
      () => !this.gone,
      (r) =>
        this.whenAwake(() => {
          this.inFlight = false;
          if (r.status === 200)
            this.accept(r.body as { baton?: number; orders: Order[] }, session, sentAt);
          else if (r.status === 421) {
            const to = controllers.indexOf((r.body as { foreman?: string }).foreman ?? '');
            if (to >= 0 && to !== this.node) {
              this.node = to;
              this.retry(sim.between(0, 500));
            } else this.tryNext();
          } else this.tryNext();
          this.plan();
        }),
    );
  }

  private retry(ms: number): void {
    this.notBefore = this.nextAt = this.shared.sim.now + ms;
  }

  private tryNext(): void {
    this.node = (this.node + 1) % this.shared.controllers.length;
    this.retry(1000);
  }

  private accept(body: { baton?: number; orders: Order[] }, session: number, sentAt: number): void {
    if (session !== this.session) return;
    if (body.baton === undefined || body.baton < this.token) return;
    // A response later than 4 s is dropped by the time-out of the call; a hanging machine may
    // find one that it had received before.
    if (this.shared.sim.now - sentAt > 4000) return;
    if (body.baton > this.token) this.change();
    this.token = body.baton;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    for (const o of body.orders) this.execute(o);
  }

  private serve(request: Arrival, respond: Respond): void {
    const b = request.body() as { baton?: number; tenure?: number; orders?: Order[] } | undefined;
    if (request.path === '/inspect') return respond({ status: 200, body: this.body() });
    if (b?.baton === undefined || b.tenure === undefined)
      return respond({ status: 400, body: null });
    if (b.baton < this.token) this.shared.happenings.note('direct command of an older leader');
    if (b.baton < this.token || b.tenure !== this.session)
      return respond({ status: 409, body: this.body() });
    if (this.shared.sim.now < this.mutedUntil)
      this.shared.happenings.note('direct command to a mute machine');
    this.token = b.baton;
    for (const o of b.orders ?? []) this.execute(o);
    respond({ status: 200, body: this.body() });
  }

  // ---- orders

  execute(o: Order): void {
    const existing = this.tasks.get(o.duty);
    this.change();
    if (o.verb === 'run') this.start(o, existing);
    else if (existing?.attempt !== o.try) return;
    else if (o.verb === 'clear') {
      if (existing.status === 'exited') this.tasks.delete(o.duty);
    } else if (o.verb === 'stop') this.stop(existing, o.leeway_s ?? 0);
  }

  private start(o: Order, existing: Task | undefined): void {
    if (existing?.attempt === o.try) return;
    const slash = o.duty.lastIndexOf('/');
    const id = o.duty.slice(0, slash);
    const t: Task = {
      id,
      task: Number(o.duty.slice(slash + 1)),
      attempt: o.try,
      status: 'pulling',
      cause: null,
      saved: false,
      on: false,
      timer: null,
    };
    if (existing !== undefined && existing.status !== 'exited') return;
    this.tasks.set(o.duty, t);
    const spec = this.shared.job(id);
    if (spec === undefined) {
      t.status = 'exited';
      t.cause = 'unknown';
      return;
    }
    if (!this.room(spec, t)) {
      t.status = 'exited';
      t.cause = 'no_room';
      return;
    }
    const fetch = this.images.has(spec.image) ? 0 : (spec.imageGb / this.type.fetchGbPerS) * 1000;
    t.timer = this.shared.sim.after(fetch, () => this.whenAwake(() => this.ready(t, spec)));
  }

  private room(spec: JobSpec, self: Task): boolean {
    let { cpus, gpus, memoryGb } = this.type;
    for (const t of this.tasks.values()) {
      const s = this.shared.job(t.id);
      if (t === self || t.status === 'exited' || s === undefined) continue;
      cpus -= s.cpus;
      gpus -= s.gpus;
      memoryGb -= s.memoryGb;
    }
    return spec.cpus <= cpus + 1e-6 && spec.gpus <= gpus + 1e-6 && spec.memoryGb <= memoryGb + 1e-6;
  }

  private ready(t: Task, spec: JobSpec): void {
    if (t.status !== 'pulling') return;
    this.images.add(spec.image);
    t.on = true;
    this.shared.rules.taskOn(t.id, t.task, {
      machine: this.id,
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
    });
    this.change();
    if (spec.kind === 'gang') {
      t.status = 'waiting';
      t.timer = this.shared.sim.after(this.shared.settings.gangWaitMs, () => {
        if (t.status === 'waiting') this.finish(t, 'alone');
      });
      this.shared.gangs.join(this, t, spec.tasks, this.shared.runMs(t.id));
      return;
    }
    t.status = 'running';
    const { sim } = this.shared;
    if (spec.kind === 'service') {
      // Replicas should not end; now and then one does.
      const ms = this.shared.runMs(t.id) * sim.between(0.5, 2);
      const cause = sim.pick(['done', 'error', 'other']);
      t.timer = sim.after(ms, () =>
        this.whenAwake(() => {
          this.shared.replicasEnded++;
          this.finish(t, cause);
        }),
      );
      return;
    }
    const fails = sim.random() < this.shared.errors;
    const ms = this.shared.runMs(t.id) * (fails ? 0.3 : 1);
    t.timer = this.shared.sim.after(ms, () =>
      this.whenAwake(() => this.finish(t, fails ? 'error' : 'done')),
    );
  }

  gangStarts(t: Task): void {
    t.timer?.cancel();
    t.status = 'running';
    this.change();
  }

  finish(t: Task, cause: string): void {
    if (t.status === 'exited') return;
    t.timer?.cancel();
    t.status = 'exited';
    t.cause = cause;
    if (cause === 'done') this.shared.rules.taskDone(t.id, t.task);
    this.off(t);
    this.change();
  }

  private off(t: Task): void {
    if (t.on) this.shared.rules.taskOff(t.id, t.task, this.id);
    t.on = false;
    this.shared.gangs.leave(t, this.shared.settings.gangPeerMs);
  }

  private stop(t: Task, graceS: number): void {
    if (t.status === 'exited') return;
    const spec = this.shared.job(t.id);
    const saves =
      spec !== undefined && spec.checkpointS > 0 && t.status === 'running' && graceS >= spec.saveS;
    if (t.status === 'flushing' && graceS > 0) return;
    if (!saves) return this.finish(t, 'stopped');
    t.status = 'flushing';
    t.timer?.cancel();
    t.timer = this.shared.sim.after(spec.saveS * 1000, () => {
      t.saved = true;
      this.finish(t, 'stopped');
    });
  }
}

interface Rented {
  worker: Worker | null;
  type: MachineType;
  zone: string;
  spot: boolean;
  at: number;
  id: string;
}

/** Stand-in for the cloud, after PROTOCOL. */
export class Cloud {
  readonly machines = new Map<string, Rented>();
  private readonly answers = new Map<string, string[]>();
  private lists: { at: number; body: { id: string }[] }[] = [];
  private count = 0;
  /** Machines rented before then are up within two seconds. */
  private quickUntil = 0;
  /** Called when a rented machine is up. */
  readonly onUp: ((id: string) => void)[] = [];

  constructor(
    private readonly shared: Shared,
    addr: string,
    private readonly types: MachineType[],
    private readonly capacity: number,
    private readonly lagMs: number,
    /** Chance that a machine never comes up. */
    private readonly bootFails: number,
  ) {
    shared.net.listen(addr, 'cloud', (_, request, respond) => this.serve(request, respond));
    this.snapshot();
  }

  add(type: MachineType, zone: string, spot: boolean, bootMs: number | null): string {
    const n = this.count++;
    const id = `n-${String(n).padStart(6, '0')}`;
    const { sim } = this.shared;
    const m: Rented = { worker: null, type, zone, spot, at: sim.now, id };
    this.machines.set(id, m);
    if (bootMs !== null)
      sim.after(bootMs, () => {
        if (this.machines.get(id) !== m) return;
        const address = `10.1.${n >> 8}.${n & 255}:9000`;
        m.worker = new Worker(id, address, type, zone, spot, this.shared);
        for (const up of this.onUp) up(id);
      });
    return id;
  }

  get up(): Worker[] {
    return [...this.machines.values()].flatMap((m) => (m.worker === null ? [] : [m.worker]));
  }

  /** For a time machines are up within two seconds. */
  bootQuickly(ms: number): void {
    this.quickUntil = this.shared.sim.now + ms;
  }

  /** How long ago the machine was rented. */
  ageMs(id: string): number {
    const m = this.machines.get(id);
    return m === undefined ? Infinity : this.shared.sim.now - m.at;
  }

  private bootMs(type: MachineType): number | null {
    const { sim } = this.shared;
    if (sim.now < this.quickUntil) return sim.between(200, 2000);
    return sim.random() < this.bootFails ? null : type.bootS * 1000 * sim.between(0.6, 1.5);
  }

  take(id: string): void {
    this.machines.get(id)?.worker?.die();
    this.machines.delete(id);
  }

  private snapshot(): void {
    const { sim } = this.shared;
    sim.after(500, () => this.snapshot());
    const body = [...this.machines.values()].map((m) => ({
      id: m.id,
      address: m.worker?.addr ?? '10.1.255.255:9000',
      model: m.type.name,
      hall: m.zone,
      loaners: m.spot,
      status: m.worker === null ? 'booting' : m.worker.gone ? 'failed' : 'running',
      age_s: (sim.now - m.at) / 1000,
    }));
    this.lists.push({ at: sim.now, body });
    this.lists = this.lists.filter((l) => l.at > sim.now - 4 * this.lagMs - 2000);
  }

  private serve(request: Arrival, respond: Respond): void {
    const { sim } = this.shared;
    const path = request.path.split('?', 1)[0];
    if (path === '/catalog') {
      return respond({
        status: 200,
        body: {
          models: this.types.map((t) => ({
            name: t.name,
            cores: t.cpus,
            cards: t.gpus,
            mem_gb: t.memoryGb,
            local_gb: t.cacheGb,
            fetch_gb_per_s: t.fetchGbPerS,
            hourly: t.price,
            market_price: t.spotPrice,
            boot_s: t.bootS,
            halls: t.zones,
          })),
        },
      });
    }
    if (path === '/machines/release') {
      for (const id of (request.body() as { kilns: string[] }).kilns) this.take(id);
      return respond({ status: 200, body: {} });
    }
    if (path === '/machines' && request.method === 'GET') {
      const lag = this.lagMs * sim.between(1, 2);
      const list = this.lists.filter((l) => l.at <= sim.now - lag).at(-1);
      const query = new URL(request.path, 'http://cloud').searchParams;
      const from = query.get('from') ?? '';
      const all = (list?.body ?? []).filter((m) => m.id > from);
      const page = all.slice(0, Math.min(500, Number(query.get('limit') ?? 500)));
      return respond({
        status: 200,
        body: { kilns: page, has_next: page.length < all.length },
      });
    }
    const b = request.body() as {
      hire: string;
      model: string;
      hall: string;
      loaners: boolean;
      how_many: number;
    };
    const before = this.answers.get(b.hire);
    if (before !== undefined) return respond({ status: 200, body: { kilns: before } });
    const type = this.types.find((t) => t.name === b.model);
    const room = Math.min(b.how_many, 50, this.capacity - this.machines.size);
    if (type === undefined || room <= 0)
      return respond({ status: 503, body: { error: 'no capacity' } });
    const ids: string[] = [];
    for (let i = 0; i < room; i++) ids.push(this.add(type, b.hall, b.loaners, this.bootMs(type)));
    this.answers.set(b.hire, ids);
    respond({ status: 200, body: { kilns: ids } });
  }
}
