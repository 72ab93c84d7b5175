/** A stand-in of the cloud: rents machines, on which workers start after their boot time. */
import { isFields, serve, textOf, type Fields, type Reply, type Request } from './http.js';
import { Worker, type WorkerOptions } from './worker.js';

export interface Model {
  name: string;
  cores: number;
  cards: number;
  memGb: number;
  localGb: number;
  fetchGbPerS: number;
  hourly: number;
  marketPrice: number;
  bootS: number;
  halls: string[];
}

export interface Machine {
  id: string;
  worker: Worker;
  model: string;
  hall: string;
  loaners: boolean;
  rentedAt: number;
  status: 'booting' | 'running';
}

type WorkerParts = Omit<WorkerOptions, 'name' | 'model' | 'hall' | 'loaners'>;

/** The call returns the current spot prices, which move by up to a third around the nominal ones. */
function modelFields(model: Model): Fields {
  const moved = model.marketPrice * (1 + 0.3 * Math.sin(Date.now() / 20_000));
  return {
    name: model.name,
    cores: model.cores,
    cards: model.cards,
    mem_gb: model.memGb,
    local_gb: model.localGb,
    fetch_gb_per_s: model.fetchGbPerS,
    hourly: model.hourly,
    market_price: Math.round(moved * 100) / 100,
    boot_s: model.bootS,
    halls: model.halls,
  };
}

export class Cloud {
  readonly machines = new Map<string, Machine>();
  private readonly hires = new Map<string, string[]>();
  private lastNumber = 0;
  /** While true, all requests are answered as during an outage. */
  outage = false;
  /** Called for each machine that is deleted, before the tasks on it are gone. */
  onDelete: (machine: Machine) => void = () => undefined;

  constructor(
    private readonly models: Model[],
    private readonly capacity: number,
    private readonly listLagS: number,
    private readonly workerParts: WorkerParts,
  ) {}

  /** Starts to serve; returns the address. */
  async listen(): Promise<string> {
    const { address } = await serve((request) => this.handle(request));
    return address;
  }

  stop(): void {
    for (const { worker } of this.machines.values()) worker.stop();
  }

  /** Starts a machine that is up at once. */
  async addRunning(model: string, hall: string, loaners: boolean): Promise<Machine> {
    const machine = this.create(model, hall, loaners);
    machine.rentedAt -= 600_000;
    await this.boot(machine);
    return machine;
  }

  private create(model: string, hall: string, loaners: boolean): Machine {
    const id = `n-${String(++this.lastNumber).padStart(6, '0')}`;
    const worker = new Worker({ ...this.workerParts, name: id, model, hall, loaners });
    const rentedAt = Date.now();
    const machine: Machine = { id, worker, model, hall, loaners, rentedAt, status: 'booting' };
    this.machines.set(id, machine);
    return machine;
  }

  private async boot(machine: Machine): Promise<void> {
    if (!this.machines.has(machine.id)) return;
    machine.status = 'running';
    this.workerParts.note(`${machine.id}: up, ${machine.model} in ${machine.hall}`);
    await machine.worker.start();
  }

  private handle({ method, path, query, body }: Request): Reply {
    if (this.outage) {
      if (path === '/machines/release')
        this.workerParts.note(`cloud: 503 to a release of ${JSON.stringify(body)}`);
      return { status: 503, body: { error: 'trouble' } };
    }
    if (path === '/catalog') return { status: 200, body: { models: this.models.map(modelFields) } };
    if (path === '/machines' && method === 'GET') return this.list(query);
    if (path === '/machines') return this.rent(body);
    if (path === '/machines/release') return this.release(body);
    return { status: 400 };
  }

  private list(query: URLSearchParams): Reply {
    const from = query.get('from') ?? '';
    const seenUntil = Date.now() - this.listLagS * 1000;
    const kilns = [...this.machines.values()]
      .filter(({ id, rentedAt }) => id > from && rentedAt <= seenUntil)
      .slice(0, 500)
      .map(({ id, worker, model, hall, loaners, status, rentedAt }) => ({
        id,
        address: worker.address,
        model,
        hall,
        loaners,
        status,
        age_s: (seenUntil - rentedAt) / 1000,
      }));
    return { status: 200, body: { kilns, has_next: false } };
  }

  private rent(body: unknown): Reply {
    if (!isFields(body)) return { status: 400 };
    const hire = textOf(body['hire']);
    const earlier = this.hires.get(hire);
    if (earlier !== undefined) return { status: 200, body: { kilns: earlier } };
    const model = this.models.find(({ name }) => name === body['model']);
    if (model === undefined) return { status: 400 };
    const count = Math.min(Number(body['how_many']), 50, this.capacity - this.machines.size);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const kilns: string[] = [];
    for (let i = 0; i < count; i++) {
      const machine = this.create(model.name, textOf(body['hall']), body['loaners'] === true);
      kilns.push(machine.id);
      setTimeout(() => void this.boot(machine), model.bootS * 1000);
    }
    this.hires.set(hire, kilns);
    this.workerParts.note(`cloud: rented ${kilns.join(' ')} as ${hire}`);
    return { status: 200, body: { kilns } };
  }

  private release(body: unknown): Reply {
    const ids = isFields(body) && Array.isArray(body['kilns']) ? (body['kilns'] as unknown[]) : [];
    for (const id of ids.map(textOf)) {
      const machine = this.machines.get(id);
      if (machine === undefined) continue;
      this.onDelete(machine);
      machine.worker.stop();
      if (this.machines.delete(id)) this.workerParts.note(`cloud: released ${id}`);
    }
    return { status: 200, body: {} };
  }
}
