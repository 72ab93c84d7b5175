import type { Core } from '../core/core.js';
import { Tokens } from '../core/tokens.js';
import type { JobTable } from '../jobs/table.js';
import type { Placement } from '../placement/placement.js';
import { allowed, needOf, whole, type Kind } from '../placement/room.js';
import type { Settings } from '../settings/settings.js';
import {
  readMachines,
  readRented,
  writeRelease,
  writeRent,
  type ListedMachine,
  type MachineType,
} from '../wire/cloud.js';
import type { JobSpec } from '../wire/jobs.js';
import type { Need } from '../workers/assignment.js';
import type { Machine } from '../workers/machine.js';
import type { Workers } from '../workers/workers.js';
import { SilentReplicas } from './silent-replicas.js';

const CALL_MS = 5000;
const MAX_RENT = 50;
const MAX_RELEASE = 100;
/** Rentals asked for at one time. */
const MAX_ORDERS = 4;

interface Coming extends Kind {
  at: number;
}

/** Room on a machine that is on its way or to be rented. */
interface Space {
  kind: Kind;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

function emptySpace(kind: Kind): Space {
  const { cpus, gpus, memoryGb } = kind.type;
  return { kind, cpus, gpus, memoryGb };
}

/** Takes as many of the tasks as fit; returns how many. */
function take(space: Space, need: Need, tasks: number): number {
  const n = Math.min(tasks, whole(need, space.cpus, space.gpus, space.memoryGb));
  space.cpus -= need.cpus * n;
  space.gpus -= need.gpus * n;
  space.memoryGb -= need.memoryGb * n;
  return n;
}

/** What can be rented, and how many machines its zone has. */
interface Offer {
  kind: Kind;
  crowd: number;
}

interface Backoff {
  until: number;
  pauseMs: number;
}

interface ClassSeen {
  spec: JobSpec;
  at: number;
}

const likeness = (m: Machine): string => `${m.typeName} ${m.spot ? 1 : 0}`;

const offerKey = (o: Kind): string => `${o.type.name}/${o.zone}/${o.spot ? 'spot' : 'ordinary'}`;

/** Which machines there are: rents what waiting work lacks, returns what is of no use. */
export class Fleet {
  private readonly tokens: Tokens;
  private readonly silentReplicas: SilentReplicas;
  /** Rented and not up yet. */
  private readonly coming = new Map<string, Coming>();
  private readonly backoff = new Map<string, Backoff>();
  private readonly classes = new Map<string, ClassSeen>();
  /** Names asked to be returned, until the cloud confirms. */
  private readonly releasing = new Set<string>();
  private counter = 0;
  private listing = false;
  private renting = 0;
  private listedAt = -Infinity;
  private listedOnce = false;
  /** When there last was any unfinished job. */
  private workAt: number;

  constructor(
    private readonly core: Core,
    private readonly settings: Settings,
    private readonly types: () => MachineType[] | null,
    private readonly table: JobTable,
    private readonly workers: Workers,
    private readonly placement: Placement,
    private readonly acting: () => boolean,
  ) {
    const { rps } = settings.platform.cloudLimits;
    // The other controllers need a call now and then for the catalogue.
    this.workAt = core.now();
    this.tokens = new Tokens(() => core.now(), rps * 0.8, Math.max(1, rps));
    this.silentReplicas = new SilentReplicas(core, settings, workers, (machines) =>
      this.releaseSilent(machines),
    );
  }

  /** Called about once a second. */
  step(): void {
    if (!this.acting()) return;
    const now = this.core.now();
    const every = Math.max(
      this.settings.platform.cloudLimits.listLagS * 1000,
      this.settings.reportMs * 2,
    );
    if (!this.listing && now - this.listedAt >= every) this.list();
    if (this.table.jobs.size > 0) this.workAt = now;
    for (const job of this.table.jobs.values())
      this.classes.set(job.spec.class, { spec: job.spec, at: now });
    const types = this.types();
    if (types === null) return;
    this.silentReplicas.step(now);
    this.discard(now);
    if (this.listedOnce && this.renting === 0) this.rentWhatLacks(now, types);
  }

  // ---- the cloud's list

  private list(): void {
    this.listing = true;
    const found: ListedMachine[] = [];
    const fail = (): void => {
      this.listing = false;
      this.listedAt = this.core.now() - 0.7 * this.settings.platform.cloudLimits.listLagS * 1000;
    };
    const page = (from: string): void => {
      if (!this.tokens.take()) return fail();
      const path = `/machines?limit=500${from === '' ? '' : `&from=${from}`}`;
      this.core.env.call(
        { to: this.settings.platform.cloud, method: 'GET', path, timeoutMs: CALL_MS },
        (reply) => {
          this.core.post('machine-list', () => {
            if (reply.status === 429) this.tokens.rejected(500);
            if (reply.status !== 200) return fail();
            try {
              const got = readMachines(reply.body);
              found.push(...got.machines);
              const last = found.at(-1);
              if (got.more && last !== undefined) return page(last.id);
            } catch (err) {
              this.core.log.warn({ err }, 'broken machine list');
              return fail();
            }
            this.listing = false;
            this.listedAt = this.core.now();
            this.listed(found);
          });
        },
      );
    };
    page('');
  }

  private listed(found: ListedMachine[]): void {
    if (!this.acting()) return;
    this.listedOnce = true;
    const now = this.core.now();
    const ids = new Set<string>();
    for (const f of found) {
      ids.add(f.id);
      if (this.releasing.has(f.id)) continue;
      const known = this.workers.machines.get(f.id);
      if (known !== undefined) {
        known.listed = f.state;
        known.listedAt = now;
        if (known.addr === '') known.addr = f.addr;
        if (known.typeName === '' || known.type === null)
          this.workers.setType(known, f.type, f.zone, f.spot, f.addr);
      } else if (f.state === 'failed') this.release([f.id], 'failed');
      else if (!this.coming.has(f.id)) {
        const type = this.types()?.find((t) => t.name === f.type);
        if (type !== undefined)
          this.coming.set(f.id, { type, zone: f.zone, spot: f.spot, at: now - f.ageS * 1000 });
      }
    }
    // Once listed a machine stays listed until it is gone; but a list may be older than the last.
    const lag = this.settings.platform.cloudLimits.listLagS * 1000 * 4 + this.settings.reportMs;
    for (const m of this.workers.machines.values()) {
      if (ids.has(m.id) || m.listedAt === -Infinity) continue;
      if (now - m.listedAt > lag) m.listed = 'absent';
    }
  }

  // ---- returning

  private discard(now: number): void {
    const names: string[] = [];
    const boot = this.settings.get('fleet.boot.ratio') * 1000;
    for (const [id, c] of this.coming) {
      if (this.workers.machines.get(id)?.lastReportAt !== undefined) {
        this.coming.delete(id);
        continue;
      }
      if (now - c.at > c.type.bootS * boot) {
        this.coming.delete(id);
        names.push(id);
        this.core.log.info({ machine: id }, 'machine never came up');
      }
    }
    const silentMs = this.settings.workerGoneMs * this.settings.get('fleet.silent.ratio');
    const idle = this.settings.workerLeaseMs * this.settings.get('fleet.idle.ratio');
    // While a gang has long lacked room that the cloud refuses, what stands idle may be in its way.
    // Not sooner: a returned machine takes its images along.
    const refused = [...this.backoff.values()].some((b) => b.until > now);
    const long = this.settings.get('placement.cannot.fill.s') * 1000;
    const nothingToDo = this.empty(now);
    const stuck = this.placement.lacking.some(({ job }) => now - job.waitingSince > long);
    const idleMs = nothingToDo ? 0 : refused && stuck ? idle / 8 : idle;
    const idleAlike = this.idle();
    // Where enough others like it are idle, returning one won't have it rented again at once.
    const spare = (m: Machine): boolean => {
      const n = idleAlike.get(likeness(m)) ?? 0;
      if (n < 2 && !nothingToDo) return false;
      idleAlike.set(likeness(m), n - 1);
      return true;
    };
    for (const m of [...this.workers.machines.values()]) {
      if (this.releasing.has(m.id)) continue;
      const silent = this.workers.silentMs(m) > silentMs || this.workers.deafMs(m) > silentMs;
      if (m.listed === 'failed') names.push(m.id);
      else if (silent && (m.listed === 'absent' || m.listedAt === -Infinity)) {
        // Not there any more, and its lease has run out.
        if (now - m.firstSeen > silentMs * 2) this.workers.gone(m);
      } else if (silent) {
        this.core.log.info({ machine: m.id }, 'silent machine is returned');
        names.push(m.id);
      } else if (!m.busy && now - m.idleSince > idleMs && spare(m)) {
        m.leaving = true;
        names.push(m.id);
        this.core.log.info({ machine: m.id }, 'idle machine is returned');
      }
    }
    if (names.length > 0) this.release(names, 'no use');
  }

  /** Releases machines that fell silent with replicas of services. */
  private releaseSilent(machines: Machine[]): void {
    const ids = machines.map((m) => m.id).filter((id) => !this.releasing.has(id));
    if (ids.length === 0 || !this.acting()) return;
    this.core.log.info({ machines: ids }, 'silent machines with replicas are returned');
    this.release(ids, 'silent with replicas');
  }

  /** Nothing at all to do for long: nobody should pay for readiness. */
  private empty(now: number): boolean {
    return now - this.workAt > this.settings.workerLeaseMs * this.settings.get('fleet.empty.ratio');
  }

  /** Idle machines by type and kind. */
  private idle(): Map<string, number> {
    const idle = new Map<string, number>();
    for (const m of this.workers.machines.values())
      if (!m.busy && !m.leaving && this.workers.alive(m))
        idle.set(likeness(m), (idle.get(likeness(m)) ?? 0) + 1);
    return idle;
  }

  private release(ids: string[], reason: string): void {
    const batch = ids.slice(0, MAX_RELEASE);
    for (const id of batch) {
      this.releasing.add(id);
      const m = this.workers.machines.get(id);
      if (m !== undefined) m.leaving = true;
    }
    const send = (): void => {
      if (!this.acting()) {
        this.core.after(1000, 'release', send);
        return;
      }
      if (!this.tokens.take()) {
        this.core.after(500, 'release', send);
        return;
      }
      this.core.env.call(
        {
          to: this.settings.platform.cloud,
          method: 'POST',
          path: '/machines/release',
          body: writeRelease(batch),
          timeoutMs: CALL_MS,
        },
        (reply) => {
          this.core.post('released', () => {
            if (reply.status === 429) this.tokens.rejected(500);
            if (reply.status !== 200) {
              this.core.after(1000, 'release', send);
              return;
            }
            this.core.log.info({ machines: batch, reason }, 'machines returned');
            for (const id of batch) {
              const m = this.workers.machines.get(id);
              if (m !== undefined) this.workers.gone(m);
            }
            // The list may show them for a while yet.
            const lag = this.settings.platform.cloudLimits.listLagS * 4000 + 5000;
            this.core.after(lag, 'forget-released', () => {
              for (const id of batch) this.releasing.delete(id);
            });
          });
        },
      );
    };
    send();
    if (ids.length > MAX_RELEASE) this.release(ids.slice(MAX_RELEASE), reason);
  }

  // ---- renting

  private rentWhatLacks(now: number, types: MachineType[]): void {
    const patience = this.settings.reportMs * this.settings.get('fleet.rent.wait.ratio');
    const wants: { spec: JobSpec; tasks: number }[] = [];
    for (const { job, tasks } of this.placement.lacking)
      if (now - job.waitingSince >= patience) wants.push({ spec: job.spec, tasks });
    for (const w of this.ahead(now)) wants.push(w);
    if (wants.length === 0) return;
    const offers = this.offers(types, now);
    // What is coming is there for the first who want it.
    const spaces = [...this.coming.values()].map(emptySpace);
    const orders: { offer: Kind; count: number }[] = [];
    const open = new Map<Kind, { offer: Kind; count: number }>();
    for (const want of wants) {
      let left = want.tasks;
      const need = needOf(want.spec);
      for (const space of spaces) {
        if (left === 0) break;
        if (allowed(want.spec, space.kind)) left -= take(space, need, left);
      }
      while (left > 0) {
        const offer = this.choose(want.spec, left, offers);
        if (offer === null) break;
        let order = open.get(offer.kind);
        if (order === undefined || order.count >= MAX_RENT) {
          if (orders.length >= MAX_ORDERS) break;
          order = { offer: offer.kind, count: 0 };
          orders.push(order);
          open.set(offer.kind, order);
        }
        order.count++;
        offer.crowd++;
        const space = emptySpace(offer.kind);
        spaces.push(space);
        left -= take(space, need, left);
      }
    }
    for (const { offer, count } of orders) this.rent(offer, count, now);
  }

  /** What can be rented just now, each with the machines that its zone has already. */
  private offers(types: MachineType[], now: number): Offer[] {
    const zones = new Map<string, number>();
    const count = (zone: string): unknown => zones.set(zone, (zones.get(zone) ?? 0) + 1);
    for (const c of this.coming.values()) count(c.zone);
    for (const m of this.workers.machines.values()) count(m.zone);
    const offers: Offer[] = [];
    for (const type of types)
      for (const zone of type.zones)
        for (const spot of [true, false]) {
          const kind = { type, zone, spot };
          const back = this.backoff.get(offerKey(kind));
          if (back === undefined || back.until <= now)
            offers.push({ kind, crowd: zones.get(zone) ?? 0 });
        }
    return offers;
  }

  /** Classes seen lately that would find no room for some more tasks: rent ahead of the next. */
  private ahead(now: number): { spec: JobSpec; tasks: number }[] {
    const wants: { spec: JobSpec; tasks: number }[] = [];
    const recent = this.settings.workerLeaseMs * this.settings.get('fleet.idle.ratio');
    const ratio = this.settings.get('fleet.headroom.ratio');
    if (ratio <= 0 || this.empty(now)) return wants;
    const there = [...this.workers.machines.values()].filter(
      (m) => m.type !== null && !m.leaving && m.noticeAt === null && this.workers.alive(m),
    );
    for (const { spec, at } of this.classes.values()) {
      if (now - at > recent) {
        this.classes.delete(spec.class);
        continue;
      }
      const want = Math.max(1, Math.ceil((this.workers.running.get(spec.class) ?? 0) * ratio));
      const need = needOf(spec);
      let free = 0;
      for (const m of there) {
        const { type, zone, spot } = m;
        if (type === null || !allowed(spec, { type, zone, spot })) continue;
        free += whole(need, type.cpus - m.cpus, type.gpus - m.gpus, type.memoryGb - m.memoryGb);
        if (free >= want) break;
      }
      if (free < want) wants.push({ spec, tasks: want - free });
    }
    return wants;
  }

  private choose(spec: JobSpec, tasks: number, offers: Offer[]): Offer | null {
    let best: Offer | null = null;
    let bestPrice = Infinity;
    const need = needOf(spec);
    for (const offer of offers) {
      const { type, spot } = offer.kind;
      if (!allowed(spec, offer.kind)) continue;
      const holds = Math.min(tasks, whole(need, type.cpus, type.gpus, type.memoryGb));
      if (holds < 1) continue;
      // Work without GPUs on a GPU machine pays for what it cannot use, and blocks others.
      // A replica on a spot machine is down each time that it is taken.
      const kept = spot && spec.kind !== 'service';
      const price =
        ((kept ? type.spotPrice : type.price) / holds) * (need.gpus === 0 && type.gpus > 0 ? 3 : 1);
      // Equal offers: the zone with the fewest machines, as scattered work needs several.
      const crowded = price * (1 + offer.crowd * (spec.spread ? 1 : 1e-3));
      if (crowded < bestPrice) {
        best = offer;
        bestPrice = crowded;
      }
    }
    return best;
  }

  private rent(offer: Kind, count: number, now: number): void {
    if (!this.tokens.take(1, 0.2)) return;
    this.counter++;
    // Unique over all time: no other leader has this term.
    const name = `t${this.workers.term}-${this.counter}`;
    this.renting++;
    this.sendRent(name, offer, count, now, 3);
  }

  private sendRent(name: string, offer: Kind, count: number, at: number, tries: number): void {
    const body = writeRent(name, offer.type.name, offer.zone, offer.spot, count);
    this.core.env.call(
      {
        to: this.settings.platform.cloud,
        method: 'POST',
        path: '/machines',
        body,
        timeoutMs: CALL_MS,
      },
      (reply) => {
        this.core.post('rented', () =>
          this.rented(name, offer, count, at, tries, reply.status, reply.body),
        );
      },
    );
  }

  private rented(
    name: string,
    offer: Kind,
    count: number,
    at: number,
    tries: number,
    status: number,
    body: unknown,
  ): void {
    const key = offerKey(offer);
    const now = this.core.now();
    let got = -1;
    if (status === 200) {
      try {
        const ids = readRented(body);
        got = ids.length;
        for (const id of ids)
          if (!this.workers.machines.has(id)) this.coming.set(id, { ...offer, at });
        this.core.log.info(
          { hire: name, offer: key, asked: count, machines: ids },
          'machines rented',
        );
      } catch (err) {
        this.core.log.warn({ err }, 'broken answer to a rental');
      }
    } else if (status === 0 && tries > 0 && this.acting()) {
      // The same name rents nothing twice.
      this.sendRent(name, offer, count, at, tries - 1);
      return;
    } else if (status === 429) this.tokens.rejected(500);
    this.renting--;
    if (got >= count) {
      this.backoff.delete(key);
      return;
    }
    const first = this.settings.get('fleet.backoff.s') * 1000;
    const before = this.backoff.get(key);
    const pauseMs =
      before === undefined || got > 0 ? first : Math.min(before.pauseMs * 2, first * 8);
    this.backoff.set(key, { until: now + pauseMs, pauseMs });
  }

  /** What is on its way, for the operators' view. */
  get booting(): number {
    return this.coming.size;
  }
}
