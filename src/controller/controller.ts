import { Core } from './core/core.js';
import type { Env, Logger } from './core/env.js';
import { Fleet } from './fleet/fleet.js';
import { JobFeed, LIVE } from './jobs/feed.js';
import { Frontend, type Answer } from './jobs/frontend.js';
import { JobTable } from './jobs/table.js';
import { Leadership, LEADER_KEY } from './leadership/leadership.js';
import type { Metrics } from './operators/metrics.js';
import { clusterView } from './operators/view.js';
import { Peers, type JobProgress, type PeerStatus } from './peers/peers.js';
import { Estimates } from './placement/estimates.js';
import { Reserve } from './placement/reserve.js';
import { holdKey, Placement } from './placement/placement.js';
import type { Settings } from './settings/settings.js';
import { StateClient } from './store/client.js';
import { PAGES, sizeOf } from './store/pages.js';
import { Routes } from './routes.js';
import { Records } from './store/records.js';
import { Rate } from './store/shares.js';
import { encodeBody, isMap } from './wire/cbor.js';
import { readCatalogue, writeCatalogue, type MachineType } from './wire/cloud.js';
import type { JobAnswer } from './wire/jobs.js';
import type { Item } from './wire/state.js';
import { readReport } from './wire/workers.js';
import { Workers } from './workers/workers.js';

const CATALOGUE_KEY = 'catalogue';
const LEARNED_KEY = 'learned';
const NONE = Buffer.alloc(0);
/** Time without a placement pass after one, in times of what it took. */
const PASS_REST = 3;

/** Reports at other nodes that show that workers are there, as a share of all that are usual. */
const STRAYS = 0.1;

type ReadAll = (
  prefix: string,
  then: (items: Item[], revision: number, sentAt: number) => void,
) => void;

export type MetricsSink = Pick<Metrics, 'request' | 'pass' | 'preemptions' | 'gauge' | 'text'>;

/** What only the leader has; made anew for each term and dropped whole with it. */
class Reign {
  ready = false;
  closed = false;
  passAt = -Infinity;
  passDue = true;
  passTimer = false;
  /** When the last slice of a pass ended, and what its slices took together. */
  passEnd = -Infinity;
  passTook = 0;
  learnedAt = -Infinity;
  constructor(
    readonly term: number,
    readonly since: number,
    readonly records: Records,
    readonly table: JobTable,
    readonly workers: Workers,
    readonly placement: Placement,
    readonly fleet: Fleet,
    readonly feed: JobFeed,
  ) {}
}

/** One controller: its slices, and the way of requests to them. */
export class Controller {
  readonly core: Core;
  private readonly client: StateClient;
  private readonly leadership: Leadership;
  private readonly peers: Peers;
  private readonly frontend: Frontend;
  private readonly routes: Routes;
  private readonly estimates = new Estimates();
  private readonly reserve: Reserve;
  private readonly progress = new Map<string, JobProgress>();
  private types: MachineType[] | null = null;
  private typesAt = -Infinity;
  private reign: Reign | null = null;
  private served = false;
  /** Reports of workers that this node has sent on to the leader. */
  private readonly strays: Rate;
  /** Loaded a little after the start, which is to be short. */
  metrics: MetricsSink | null = null;

  constructor(
    env: Env,
    log: Logger,
    private readonly settings: Settings,
    identity: string,
  ) {
    this.core = new Core(env, log);
    const { core } = this;
    this.strays = new Rate(() => env.now(), settings.reportMs);
    this.reserve = new Reserve(
      {
        memoryMs: settings.workerLeaseMs * settings.get('placement.reserve.memory.ratio'),
        share: settings.get('placement.reserve.share'),
        spare: settings.get('placement.reserve.spare'),
      },
      this.estimates,
      env.now(),
      (cls) => settings.startWithinMs(cls),
    );
    this.client = new StateClient(core, settings);
    this.leadership = new Leadership(core, settings, this.client, identity, {
      elected: (term) => this.elected(term),
      resumed: () => this.reign?.feed.catchUp(),
      deposed: () => this.deposed(),
    });
    const { platform } = settings;
    this.peers = new Peers(
      core,
      platform.peers.map((p) => p.host),
      () => ({
        host: platform.host,
        identity,
        stateOkAgeMs: Number.isFinite(this.client.okAgeMs) ? this.client.okAgeMs : -1,
        leaderHost: this.leadership.leader?.host ?? '',
        term: this.leadership.leader?.term ?? 0,
        wantedWrites: this.client.part.wanted,
        strayReports: this.strays.perSecond,
      }),
      {
        accepted: (id) => this.frontend.learnAccepted(id),
        status: (s) => this.leadership.heard(s.leaderHost, s.term),
        final: (id, state) => {
          this.frontend.learnFinal(id, state);
          this.progress.delete(id);
          // A cancellation made on another node, sooner than the watch tells.
          if (state === 'cancelled') this.reign?.table.cancelled(id);
        },
        request: (method, path, body, done) => {
          this.routes.handle(method, path, body, (a) =>
            done(a.status, a.body === undefined ? NONE : encodeBody(a.body)),
          );
        },
        progress: (p) => {
          this.progress.delete(p.id);
          this.progress.set(p.id, p);
          if (this.progress.size > 20_000) {
            const oldest = this.progress.keys().next();
            if (oldest.done !== true) this.progress.delete(oldest.value);
          }
        },
      },
    );
    this.frontend = new Frontend(core, settings, this.client, {
      types: () => this.types,
      progress: (id) => this.jobProgress(id),
      accepted: (id) => this.peers.announceAccepted(id),
      cancelled: (id) => {
        this.peers.announce(id, 'cancelled');
        this.progress.delete(id);
        this.reign?.table.cancelled(id);
      },
    });
    const { client, peers, leadership, frontend } = this;
    this.routes = new Routes(core, settings, client, peers, leadership, frontend, {
      leads: () => this.leads,
      ready: () => this.ready,
      report: (body, respond) => this.report(body, respond),
      cluster: (respond) => this.cluster(respond),
      scrape: (respond) => this.scrape(respond),
      counted: (route, status, tookMs) => this.metrics?.request(route, status, tookMs),
    });
  }

  start(): void {
    this.core.post('start', () => {
      this.leadership.start();
      this.loadCatalogue();
      this.peers.start(this.settings.reportMs / 3, this.settings.reportMs / 15);
      this.core.every(this.settings.reportMs / 3, 'tick', () => this.tick());
      this.core.onBatchEnd(() => this.batchEnd());
    });
  }

  /** Has been elected and not learned of its end. */
  get leads(): boolean {
    return this.reign !== null;
  }

  private jobProgress(id: string): JobAnswer | null {
    const job = this.reign?.table.jobs.get(id);
    if (job !== undefined) return job.answer();
    const p = this.progress.get(id);
    if (p === undefined) return null;
    const { blocked, ...rest } = p;
    return blocked === '' ? rest : { ...rest, blocked };
  }

  // ---- catalogue

  private loadCatalogue(): void {
    this.client.tokens.force();
    this.client.get(CATALOGUE_KEY, 1500, (got) => {
      if (got.kind === 'ok' && got.value !== null && this.types === null)
        this.takeTypes(got.value.value);
      if (this.types === null) this.askCatalogue();
    });
  }

  private askCatalogue(): void {
    this.core.env.call(
      { to: this.settings.platform.cloud, method: 'GET', path: '/catalog', timeoutMs: 3000 },
      (reply) => {
        this.core.post('catalogue', () => {
          const before = JSON.stringify(this.types);
          if (reply.status === 200) this.takeTypes(reply.body);
          if (this.types === null)
            this.core.after(500 + 500 * this.core.env.random(), 'catalogue', () =>
              this.loadCatalogue(),
            );
          else if (this.reign?.ready === true && JSON.stringify(this.types) !== before)
            this.shareCatalogue(this.reign);
        });
      },
    );
  }

  private takeTypes(body: unknown): void {
    try {
      this.types = readCatalogue(body);
      this.typesAt = this.core.now();
    } catch (err) {
      this.core.log.warn({ err }, 'broken catalogue');
    }
  }

  /** The machine types for nodes that start while the cloud does not answer. */
  private shareCatalogue(reign: Reign): void {
    this.client.tokens.force();
    this.client.get(CATALOGUE_KEY, 1500, (got) => {
      if (got.kind === 'failed' || reign.closed) return;
      if (got.value !== null && this.types === null) this.takeTypes(got.value.value);
      if (this.types === null) return;
      const value = writeCatalogue(this.types);
      if (JSON.stringify(got.value?.value) === JSON.stringify(value)) return;
      const version = got.value?.version ?? 0;
      reign.records.transact(
        [{ key: CATALOGUE_KEY, version }],
        [{ put: CATALOGUE_KEY, value }],
        () => undefined,
      );
    });
  }

  // ---- leading

  private elected(term: number): void {
    const { core, settings, client } = this;
    const records = new Records(core, settings, client, {
      fence: { key: LEADER_KEY, version: term },
      mayWrite: () => this.leadership.acting,
      onFenced: () => this.leadership.stepDown('another leader'),
    });
    const table: JobTable = new JobTable(core, settings, client, records, {
      torn: (job) => workers.stopJob(job, 0, 'gang lost a part'),
      vanished: (job) => workers.stopAll(job, 'job ended'),
      closed: (job) => {
        workers.jobClosed(job);
        if (records.has(holdKey(job.spec.id))) records.set(holdKey(job.spec.id), undefined, 'lazy');
        this.progress.delete(job.spec.id);
      },
      // What the leader before knew it has counted itself.
      added: (job) => {
        if (this.reign?.ready === true) this.reserve.arrived(job, core.now());
      },
      changed: () => this.placeSoon(),
      recorded: (job, task) => workers.doneRecorded(job, task),
      ended: (id, state) => {
        this.frontend.learnFinal(id, state);
        this.peers.announce(id, state);
      },
    });
    const workers: Workers = new Workers(core, settings, term, records, table, {
      type: (name) => this.types?.find((t) => t.name === name),
      higherTerm: (t) => this.leadership.higherTerm(t),
      changed: () => this.placeSoon(),
      ran: (a, tookMs) => {
        if (a.job === null) return;
        this.estimates.observe(a.job.spec, tookMs);
        this.reserve.ended(a.job.spec, core.now() - a.since);
      },
    });
    const placement = new Placement(
      core,
      settings,
      table,
      workers,
      records,
      this.estimates,
      this.reserve,
      {
        exhausted: () => this.leadership.stepDown('attempts used up'),
      },
    );
    const fleet = new Fleet(
      core,
      settings,
      () => this.types,
      table,
      workers,
      placement,
      () => this.entitled,
    );
    const feed = new JobFeed(core, settings, client, {
      all: (items) => {
        const there = new Set(items.map((i) => i.key));
        for (const i of items) this.jobLive(table, i.key, i.value, i.version);
        for (const id of [...table.jobs.keys()]) if (!there.has(LIVE + id)) table.removed(id);
      },
      changes: (events) => {
        for (const e of events) {
          if (e.kind === 'put') this.jobLive(table, e.key, e.value, e.version);
          else table.removed(e.key.slice(LIVE.length));
        }
      },
    });
    const reign = new Reign(term, core.now(), records, table, workers, placement, fleet, feed);
    this.reign = reign;
    this.load(reign);
  }

  private deposed(): void {
    const { reign } = this;
    if (reign === null) return;
    reign.closed = true;
    reign.records.close();
    reign.feed.close();
    this.reign = null;
  }

  /** Reads what the leaders before have left. From the election on none of them can change it. */
  private load(reign: Reign): void {
    const read: ReadAll = (prefix, then) => {
      const sentAt = this.core.now();
      this.client.range(prefix, 3000, (got) => {
        if (reign.closed) return;
        if (got.kind === 'failed') {
          this.core.after(200, 'load', () => {
            if (!reign.closed) read(prefix, then);
          });
          return;
        }
        then(got.value.items, got.value.revision, sentAt);
      });
    };
    read(LIVE, (jobs, revision, sentAt) => {
      for (const i of jobs) this.jobLive(reign.table, i.key, i.value, i.version);
      read(PAGES, (pages) => {
        reign.records.load(pages);
        this.learn(reign);
        reign.table.load();
        reign.workers.load();
        reign.placement.load();
        reign.table.settle();
        reign.ready = true;
        this.core.log.info(
          { term: reign.term, jobs: jobs.length, machines: reign.workers.machines.size },
          'leading',
        );
        reign.feed.start(revision, sentAt);
        this.placeSoon();
        this.shareCatalogue(reign);
      });
    });
  }

  /** What the leaders before have learned. The jobs must have been read. */
  private learn(reign: Reign): void {
    const learned = [...reign.records.list(LEARNED_KEY)].map((r) => r.value).filter(isMap);
    for (const { ratios } of learned) this.estimates.import(ratios);
    const arrivals = learned.map((l) => l['arrivals']);
    const { core } = this;
    this.reserve.takeOver(arrivals, reign.table.jobs.values(), core.now(), core.env.wall());
  }

  /** A job that was live when the state service said so; its end may have been heard of before. */
  private jobLive(table: JobTable, key: string, value: unknown, version: number): void {
    const id = key.slice(LIVE.length);
    if (this.frontend.ended(id) === null) table.add(id, value, version);
  }

  /**
   * Whether this node may answer workers, order, place and rent: its lease as leader runs, and no
   * cancellation confirmed longer ago than the settings allow is unknown to it.
   */
  private get entitled(): boolean {
    const { reign } = this;
    return reign !== null && reign.ready && this.leadership.acting && reign.feed.current;
  }

  private placeSoon(): void {
    const { reign } = this;
    if (reign !== null) reign.passDue = true;
  }

  private batchEnd(): void {
    const { reign } = this;
    if (reign === null || reign.closed || !this.entitled) return;
    if (this.types !== null) this.place(reign);
    reign.table.flush();
    reign.workers.flush();
    reign.records.flush();
  }

  /**
   * Goes on with the placement pass, or begins one when it is due. Between its slices reports and
   * users are served; and passes together take only a part of the time, however much is waiting.
   */
  private place(reign: Reign): void {
    const { placement } = reign;
    const from = this.core.now();
    if (!placement.passing) {
      if (!reign.passDue) return;
      const every = this.settings.reportMs * this.settings.get('placement.interval.ratio');
      const wait = Math.max(
        reign.passAt + every - from,
        reign.passEnd + reign.passTook * PASS_REST - from,
      );
      if (wait > 0) return this.passLater(reign, wait);
      reign.passDue = false;
      reign.passAt = from;
      reign.passTook = 0;
      placement.begin();
    }
    const slice = this.settings.reportMs * this.settings.get('placement.slice.ratio');
    const over = placement.advance(from + slice);
    const now = this.core.now();
    reign.passTook += now - from;
    reign.passEnd = now;
    if (over) this.metrics?.pass(reign.passTook);
    else this.passLater(reign, 0);
  }

  private passLater(reign: Reign, ms: number): void {
    if (reign.passTimer) return;
    reign.passTimer = true;
    this.core.after(ms, 'pass', () => {
      reign.passTimer = false;
    });
  }

  private tick(): void {
    const heard = this.peers.heard(this.settings.reportMs);
    this.client.shareWrites(
      heard.map((p) => ({ leads: p.leaderHost === p.host, wanted: p.wantedWrites })),
    );
    if (this.core.now() - this.typesAt > this.settings.workerLeaseMs * 3 && this.types !== null) {
      this.typesAt = this.core.now();
      this.askCatalogue();
    }
    const { reign } = this;
    if (!reign?.ready) return;
    reign.workers.answering(this.entitled, this.settings.reportMs / 3);
    if (this.leadership.acting && reign.feed.ageMs > 2 * this.settings.viewMs) {
      // Its lease keeps the others from leading, and it may not act itself.
      this.leadership.handOver('no view of the jobs');
      return;
    }
    if (!this.entitled) return;
    if (this.cutOff(reign, heard)) {
      this.leadership.handOver('workers do not reach this node');
      return;
    }
    reign.workers.sweep();
    reign.fleet.step();
    reign.passDue = true;
    if (this.core.now() - reign.learnedAt > this.settings.workerLeaseMs / 4) {
      reign.learnedAt = this.core.now();
      this.recordLearned(reign);
    }
    this.tellProgress(reign);
  }

  /**
   * Whether the workers have lost this node and not the others. Its lease goes on, so nobody else
   * would answer them, and every task would end with its worker's lease. Their reports at the other
   * nodes are the proof; where the peers are not heard either, silence has to do, but only of
   * machines that had reported here: a leader that never heard any has nothing to tell it from a day
   * on which the machines themselves are gone.
   */
  private cutOff(reign: Reign, heard: readonly PeerStatus[]): boolean {
    const { reportMs, workerLeaseMs, platform } = this.settings;
    // Not again at once: a takeover costs, and one after the other would leave nobody to answer.
    const settled = this.core.now() - reign.since > workerLeaseMs / 2;
    if (platform.peers.length === 0 || !settled) return false;
    const { workers } = reign;
    const strays = heard.reduce((sum, p) => sum + p.strayReports, 0);
    const usual = (workers.machines.size / reportMs) * 1000;
    if (strays >= usual * STRAYS && workers.overdue(0, false) > 0.5) return true;
    return heard.length === 0 && workers.overdue(reportMs, true) > 0.9;
  }

  /**
   * What was learned, a record for each class: all classes together may be larger than a value. The
   * versions before read every record under this key, and wrote a single one.
   */
  private recordLearned(reign: Reign): void {
    const ratios = this.estimates.export();
    const arrivals = this.reserve.export(this.core.now(), this.core.env.wall());
    for (const cls of new Set([...Object.keys(ratios), ...arrivals.keys()])) {
      const ratio = ratios[cls];
      const value = {
        ratios: ratio === undefined ? {} : { [cls]: ratio },
        arrivals: arrivals.get(cls) ?? null,
      };
      if (sizeOf(value) < this.settings.valueBytes / 2)
        reign.records.set(`${LEARNED_KEY}/${cls}`, value, 'lazy');
    }
    reign.records.set(LEARNED_KEY, undefined, 'lazy');
  }

  /** Counts for display, of the jobs that have changed. */
  private tellProgress(reign: Reign): void {
    const changed: JobProgress[] = [];
    for (const job of reign.table.jobs.values()) {
      if (!job.changed) continue;
      job.changed = false;
      const a = job.answer();
      changed.push({
        id: a.id,
        state: a.state,
        done: a.done ?? 0,
        running: a.running ?? 0,
        exits: { ...job.exits },
        blocked: a.blocked ?? '',
      });
    }
    if (changed.length > 0) this.peers.send(changed, null);
  }

  // ---- requests

  /** Bytes of a frame from another controller. */
  peerFrame(bytes: Buffer): void {
    this.core.post('peer', () => this.peers.receive(bytes));
  }

  request(method: string, path: string, body: Buffer, respond: (a: Answer) => void): void {
    this.routes.request(method, path, body, respond);
  }

  private cluster(respond: (a: Answer) => void): void {
    const { reign } = this;
    if (reign === null || !reign.ready || this.types === null)
      return respond({ status: 503, body: { error: 'no leader just now' }, retryAfterS: 1 });
    const { term, table, workers, placement, fleet } = reign;
    const { settings } = this;
    const common = { settings, term, table, workers, placement, fleet, types: this.types };
    respond({
      status: 200,
      body: clusterView({ ...common, acting: this.entitled, now: this.core.now() }),
    });
  }

  private scrape(respond: (a: Answer) => void): void {
    const { metrics, reign } = this;
    if (metrics === null)
      return respond({ status: 503, body: { error: 'starting' }, retryAfterS: 5 });
    metrics.gauge('leading', '1 on the leader.', this.entitled ? 1 : 0);
    metrics.gauge('term', 'Term of the leader known here.', this.leadership.leader?.term ?? 0);
    metrics.gauge('memory_bytes', 'Memory that the process holds.', process.memoryUsage.rss());
    if (reign !== null) {
      const jobs = [...reign.table.jobs.values()];
      metrics.gauge('jobs', 'Unfinished jobs.', jobs.length);
      metrics.gauge('holds', 'Gangs that hold room.', jobs.filter((j) => j.hold !== null).length);
      metrics.gauge(
        'pending_tasks',
        'Tasks that wait for room.',
        jobs.reduce((n, j) => n + j.pending.length, 0),
      );
      const services = jobs.filter((j) => j.standing);
      metrics.gauge('services', 'Services that run until they are cancelled.', services.length);
      metrics.gauge(
        'replicas_missing',
        'Replicas of services that are not running.',
        services.reduce((n, j) => n + j.missing, 0),
      );
      metrics.gauge('machines', 'Machines known.', reign.workers.machines.size);
      metrics.gauge('booting', 'Machines rented and not up yet.', reign.fleet.booting);
      metrics.preemptions(reign.placement.preemptions);
    }
    void metrics
      .text()
      .then((text) =>
        respond({ status: 200, raw: Buffer.from(text), type: 'text/plain; version=0.0.4' }),
      );
  }

  /**
   * Ready once the node knows the machine types and the state service has served it. Later it is
   * unready only while the state service serves others and not this node: when nobody is served,
   * taking all nodes from the load balancer would only add to the outage.
   */
  private get ready(): boolean {
    if (!this.served) {
      this.served = this.types !== null && Number.isFinite(this.client.okAgeMs);
      return this.served;
    }
    const alone = this.settings.leaderLeaseMs * 0.4;
    return (
      this.client.okAgeMs < alone || !this.client.down || !this.peers.stateServedElsewhere(alone)
    );
  }

  private report(body: unknown, respond: (a: Answer) => void): void {
    const report = readReport(body);
    const { reign } = this;
    if (reign === null) {
      this.strays.count(1);
      const leader = this.leadership.leader;
      const other = leader !== null && leader.host !== this.settings.platform.host;
      return respond({ status: 421, body: other ? { foreman: leader.host } : {} });
    }
    // Elected but not entitled yet, or not any more: the worker tries on.
    if (!this.entitled || this.types === null) return respond({ status: 503, body: {} });
    const answer = reign.workers.report(report);
    if (this.reign !== reign) return respond({ status: 503, body: {} });
    respond(answer.status === 200 ? answer : { status: 503, body: {} });
  }
}
