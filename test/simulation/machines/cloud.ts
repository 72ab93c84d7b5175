/** The simulated cloud: catalogue, renting, delayed lists of machines, and release. */
import type { MachineType } from '../../../src/controller/wire/cloud.js';
import type { MachineContext } from './machine-context.js';
import type { IncomingRequest, Respond } from '../network.js';
import { Worker } from './worker.js';

/** Maximum number of machines that one request rents. */
const MAX_RENTED_PER_REQUEST = 50;
/** Maximum number of machines that one page of the list contains. */
const MAX_LISTED_PER_PAGE = 500;
/** Time between two snapshots of the list of machines, in milliseconds. */
const SNAPSHOT_INTERVAL_MS = 500;
/** Snapshots are kept for four times the list lag plus this time, in milliseconds. */
const EXTRA_SNAPSHOT_RETENTION_MS = 2000;
/** Range of the actual boot time of a machine, as multiples of the boot time of its type. */
const BOOT_TIME_FACTORS = { least: 0.6, most: 1.5 };
/** Range of the boot time of machines rented in a period of quick boots, in milliseconds. */
const QUICK_BOOT_MS = { least: 200, most: 2000 };

interface RentedMachine {
  worker: Worker | null;
  type: MachineType;
  zone: string;
  spot: boolean;
  rentedAt: number;
  id: string;
}

/** The list of machines as it was at the virtual time `takenAt`. */
interface Snapshot {
  takenAt: number;
  body: { id: string }[];
}

/** A request to rent machines, as on the wire. */
interface RentRequest {
  hire: string;
  model: string;
  hall: string;
  loaners: boolean;
  how_many: number;
}

/** Simulated cloud that follows PROTOCOL. */
export class Cloud {
  readonly machines = new Map<string, RentedMachine>();
  /** Ids of the machines that each request rented, by the request's idempotency key. */
  private readonly rentedIdsByKey = new Map<string, string[]>();
  private snapshots: Snapshot[] = [];
  private nextMachineIndex = 0;
  /** Virtual time until which newly rented machines boot within two seconds. */
  private quickBootUntil = 0;
  /** Virtual time until which all requests are refused. */
  private outageUntil = 0;
  /** Number of release requests refused in an outage. */
  releasesRefused = 0;
  /** Ids of the machines that were released while tasks ran on them. */
  readonly releasedWhileBusy: string[] = [];
  /** Listeners called when a machine has booted. */
  readonly onBoot: ((id: string) => void)[] = [];

  constructor(
    private readonly context: MachineContext,
    address: string,
    private readonly types: MachineType[],
    /** Maximum number of machines that exist at the same time, in any status. */
    private readonly capacity: number,
    /**
     * Minimum age of the snapshot that answers a list request, in ms; the maximum age is twice as
     * long.
     */
    private readonly lagMs: number,
    /** Probability that a rented machine never boots. */
    private readonly bootFailureChance: number,
  ) {
    context.network.listen(address, 'cloud', (_, request, respond) => this.serve(request, respond));
    this.takeSnapshot();
  }

  /**
   * Adds a machine and returns its id. The machine boots after `bootMs`, or never if `bootMs` is
   * null.
   */
  addMachine(type: MachineType, zone: string, spot: boolean, bootMs: number | null): string {
    const index = this.nextMachineIndex++;
    const id = `n-${String(index).padStart(6, '0')}`;
    const { clock } = this.context;
    const machine: RentedMachine = { worker: null, type, zone, spot, rentedAt: clock.now, id };
    this.machines.set(id, machine);
    if (bootMs !== null)
      clock.after(bootMs, () => {
        if (this.machines.get(id) !== machine) return;
        const address = `10.1.${index >> 8}.${index & 255}:9000`;
        machine.worker = new Worker(id, address, type, zone, spot, this.context);
        for (const listener of this.onBoot) listener(id);
      });
    return id;
  }

  /** Workers of the machines that are up. */
  get workers(): Worker[] {
    return [...this.machines.values()].flatMap(({ worker }) =>
      worker === null || worker.dead ? [] : [worker],
    );
  }

  /** For `ms`, newly rented machines boot within two seconds. */
  bootQuickly(ms: number): void {
    this.quickBootUntil = this.context.clock.now + ms;
  }

  /** For `ms`, refuses all requests. */
  outage(ms: number): void {
    this.outageUntil = this.context.clock.now + ms;
  }

  /** Returns the time since the machine was rented; Infinity if it does not exist. */
  ageMs(id: string): number {
    const machine = this.machines.get(id);
    return machine === undefined ? Infinity : this.context.clock.now - machine.rentedAt;
  }

  /** Ends and removes a machine that the controllers release or the cloud interrupts. */
  reclaim(id: string): void {
    this.machines.get(id)?.worker?.die();
    this.machines.delete(id);
  }

  private bootMs(type: MachineType): number | null {
    const { clock, random } = this.context;
    if (clock.now < this.quickBootUntil)
      return random.between(QUICK_BOOT_MS.least, QUICK_BOOT_MS.most);
    if (random.next() < this.bootFailureChance) return null;
    return type.bootS * 1000 * random.between(BOOT_TIME_FACTORS.least, BOOT_TIME_FACTORS.most);
  }

  private takeSnapshot(): void {
    const { clock } = this.context;
    clock.after(SNAPSHOT_INTERVAL_MS, () => this.takeSnapshot());
    const body = [...this.machines.values()].map((machine) => toListEntry(machine, clock.now));
    this.snapshots.push({ takenAt: clock.now, body });
    const oldest = clock.now - 4 * this.lagMs - EXTRA_SNAPSHOT_RETENTION_MS;
    this.snapshots = this.snapshots.filter((snapshot) => snapshot.takenAt > oldest);
  }

  private serve(request: IncomingRequest, respond: Respond): void {
    const path = request.path.split('?', 1)[0];
    if (this.context.clock.now < this.outageUntil) {
      if (path === '/machines/release') this.releasesRefused++;
      return respond({ status: 503, body: { error: 'trouble' } });
    }
    if (path === '/catalog')
      respond({ status: 200, body: { models: this.types.map(toCatalogueEntry) } });
    else if (path === '/machines/release') this.release(request, respond);
    else if (path === '/machines' && request.method === 'GET') this.list(request, respond);
    else this.rent(request.body() as RentRequest, respond);
  }

  private release(request: IncomingRequest, respond: Respond): void {
    for (const id of (request.body() as { kilns: string[] }).kilns) {
      if (this.machines.get(id)?.worker?.isBusy === true) this.releasedWhileBusy.push(id);
      this.reclaim(id);
    }
    respond({ status: 200, body: {} });
  }

  private list(request: IncomingRequest, respond: Respond): void {
    const { clock, random } = this.context;
    const lagMs = this.lagMs * random.between(1, 2);
    const snapshot = this.snapshots.filter(({ takenAt }) => takenAt <= clock.now - lagMs).at(-1);
    const query = new URL(request.path, 'http://cloud').searchParams;
    const afterId = query.get('from') ?? '';
    const limit = Math.min(MAX_LISTED_PER_PAGE, Number(query.get('limit') ?? MAX_LISTED_PER_PAGE));
    const machines = (snapshot?.body ?? []).filter((machine) => machine.id > afterId);
    const page = machines.slice(0, limit);
    respond({ status: 200, body: { kilns: page, has_next: page.length < machines.length } });
  }

  private rent(request: RentRequest, respond: Respond): void {
    const rentedBefore = this.rentedIdsByKey.get(request.hire);
    if (rentedBefore !== undefined) return respond({ status: 200, body: { kilns: rentedBefore } });
    const type = this.types.find(({ name }) => name === request.model);
    const remainingCapacity = this.capacity - this.machines.size;
    const count = Math.min(request.how_many, MAX_RENTED_PER_REQUEST, remainingCapacity);
    if (type === undefined || count <= 0)
      return respond({ status: 503, body: { error: 'no capacity' } });
    const ids: string[] = [];
    for (let i = 0; i < count; i++)
      ids.push(this.addMachine(type, request.hall, request.loaners, this.bootMs(type)));
    this.rentedIdsByKey.set(request.hire, ids);
    respond({ status: 200, body: { kilns: ids } });
  }
}

function toListEntry(
  machine: RentedMachine,
  now: number,
): { id: string } & Record<string, unknown> {
  const { worker } = machine;
  return {
    id: machine.id,
    address: worker?.address ?? '10.1.255.255:9000',
    model: machine.type.name,
    hall: machine.zone,
    loaners: machine.spot,
    status: worker === null ? 'booting' : worker.dead ? 'failed' : 'running',
    age_s: (now - machine.rentedAt) / 1000,
  };
}

function toCatalogueEntry(type: MachineType): Record<string, unknown> {
  return {
    name: type.name,
    cores: type.cpus,
    cards: type.gpus,
    mem_gb: type.memoryGb,
    local_gb: type.cacheGb,
    fetch_gb_per_s: type.fetchGbPerS,
    hourly: type.price,
    market_price: type.spotPrice,
    boot_s: type.bootS,
    halls: type.zones,
  };
}
