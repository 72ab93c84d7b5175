import {
  amount,
  amountOrNull,
  flagOrFalse,
  isMap,
  list,
  text,
  WireError,
  type Fields,
} from './cbor.js';

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface ListedMachine {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

export function readCatalogue(body: unknown): MachineType[] {
  if (!isMap(body)) throw new WireError('catalogue: expected a map');
  return list(body, 'models').map((m) => {
    if (!isMap(m)) throw new WireError('models: expected maps');
    return {
      name: text(m, 'name'),
      cpus: amount(m, 'cores'),
      gpus: amountOrNull(m, 'cards') ?? 0,
      memoryGb: amount(m, 'mem_gb'),
      cacheGb: amountOrNull(m, 'local_gb') ?? 0,
      fetchGbPerS: amountOrNull(m, 'fetch_gb_per_s') ?? 0,
      price: amountOrNull(m, 'hourly') ?? 0,
      spotPrice: amountOrNull(m, 'market_price') ?? 0,
      bootS: amountOrNull(m, 'boot_s') ?? 0,
      zones: list(m, 'halls').map((z) => {
        if (typeof z !== 'string') throw new WireError('halls: expected texts');
        return z;
      }),
    };
  });
}

/** The catalogue as the controllers keep it at the state service: the cloud's own form. */
export function writeCatalogue(types: MachineType[]): unknown {
  return {
    models: types.map((t) => ({
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
  };
}

export function readMachines(body: unknown): { machines: ListedMachine[]; more: boolean } {
  if (!isMap(body)) throw new WireError('machines: expected a map');
  const machines = list(body, 'kilns').map((m): ListedMachine => {
    if (!isMap(m)) throw new WireError('kilns: expected maps');
    const state = text(m, 'status');
    if (state !== 'booting' && state !== 'running' && state !== 'failed')
      throw new WireError('status: unknown machine state');
    return {
      id: text(m, 'id'),
      addr: text(m, 'address'),
      type: text(m, 'model'),
      zone: text(m, 'hall'),
      spot: flagOrFalse(m, 'loaners'),
      state,
      ageS: amount(m, 'age_s'),
    };
  });
  return { machines, more: flagOrFalse(body, 'has_next') };
}

export function readRented(body: unknown): string[] {
  if (!isMap(body)) throw new WireError('rented: expected a map');
  return list(body, 'kilns').map((id) => {
    if (typeof id !== 'string') throw new WireError('kilns: expected texts');
    return id;
  });
}

export function writeRent(
  name: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): Fields {
  return { hire: name, model: type, hall: zone, loaners: spot, how_many: count };
}

export function writeRelease(machines: string[]): Fields {
  return { kilns: machines };
}
