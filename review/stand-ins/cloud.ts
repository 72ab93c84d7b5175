/** Cloud as PROTOCOL describes it: machine types, rentals, releases and a list that lags. */
import { EMPTY, listen, type Fields, type Reply, type Request } from './cbor-http.js';

/** A machine type as the catalogue lists it. */
export interface Model {
  name: string;
  cores: number;
  cards: number;
  mem_gb: number;
  local_gb: number;
  fetch_gb_per_s: number;
  hourly: number;
  market_price: number;
  boot_s: number;
  halls: string[];
}

/** A rented machine. */
export interface Kiln {
  id: string;
  address: string;
  model: Model;
  hall: string;
  loaners: boolean;
  status: 'booting' | 'running';
  rentedAt: number;
}

/** Starts the worker of a machine that is up, and returns a function that ends it. */
export type BootWorker = (kiln: Kiln) => Promise<{ address: string; end: () => void }>;

const LIST_LIMIT = 500;

export class Cloud {
  address = '';
  readonly kilns = new Map<string, Kiln>();
  private readonly ends = new Map<string, () => void>();
  private readonly hires = new Map<string, string[]>();
  private count = 0;

  constructor(
    public models: Model[],
    private readonly maxKilns: number,
    private readonly bootWorker: BootWorker,
  ) {}

  async start(): Promise<void> {
    this.address = await listen((request) => this.serve(request));
  }

  private serve({ method, path, query, body }: Request): Reply {
    if (path === '/catalog') return { status: 200, body: { models: this.models } };
    if (path === '/machines/release') return this.release(body['kilns'] as string[]);
    if (path === '/machines' && method === 'POST') return this.rent(body);
    if (path === '/machines') return this.list(query);
    return { status: 400, body: EMPTY };
  }

  private rent(body: Fields): Reply {
    const hire = String(body['hire']);
    const known = this.hires.get(hire);
    if (known !== undefined) return { status: 200, body: { kilns: known } };
    const model = this.models.find(({ name }) => name === body['model']);
    const hall = String(body['hall']);
    if (model?.halls.includes(hall) !== true) return { status: 400, body: EMPTY };
    const wanted = Math.min(Number(body['how_many']), 50, this.maxKilns - this.kilns.size);
    if (wanted <= 0) return { status: 503, body: { error: 'no capacity' } };
    const ids = Array.from({ length: wanted }, () =>
      this.boot(model, hall, body['loaners'] === true),
    );
    this.hires.set(hire, ids);
    return { status: 200, body: { kilns: ids } };
  }

  private boot(model: Model, hall: string, loaners: boolean): string {
    const id = `n-${String(++this.count).padStart(6, '0')}`;
    const status = 'booting';
    const kiln: Kiln = {
      ...{ id, address: '127.0.0.1:1', model, hall, loaners, status },
      rentedAt: performance.now(),
    };
    this.kilns.set(id, kiln);
    setTimeout(() => {
      if (this.kilns.has(id)) void this.up(kiln);
    }, model.boot_s * 1000);
    return id;
  }

  private async up(kiln: Kiln): Promise<void> {
    const { address, end } = await this.bootWorker(kiln);
    this.ends.set(kiln.id, end);
    kiln.address = address;
    kiln.status = 'running';
  }

  private release(ids: readonly string[]): Reply {
    for (const id of ids) {
      this.ends.get(id)?.();
      this.kilns.delete(id);
    }
    return { status: 200, body: EMPTY };
  }

  private list(query: URLSearchParams): Reply {
    const from = query.get('from') ?? '';
    const limit = Math.min(LIST_LIMIT, Number(query.get('limit') ?? LIST_LIMIT));
    const all = [...this.kilns.values()].filter(({ id }) => id > from);
    const kilns = all.slice(0, limit).map(({ model, rentedAt, ...kiln }) => ({
      ...kiln,
      model: model.name,
      age_s: (performance.now() - rentedAt) / 1000,
    }));
    return { status: 200, body: { kilns, has_next: all.length > kilns.length } };
  }
}
