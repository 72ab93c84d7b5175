/** The cloud's protocol: machine types, the list of machines, renting and releasing. */
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

/** A type of machine that can be rented. */
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

/** A rented machine as the cloud lists it. */
export interface ListedMachine {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

/** Reads the machine types. */
export function readCatalogue(body: unknown): MachineType[] {
  if (!isMap(body)) throw new WireError('catalogue: expected a map');
  return list(body, 'models').map((item) => {
    if (!isMap(item)) throw new WireError('models: expected maps');
    return {
      name: text(item, 'name'),
      cpus: amount(item, 'cores'),
      gpus: amountOrNull(item, 'cards') ?? 0,
      memoryGb: amount(item, 'mem_gb'),
      cacheGb: amountOrNull(item, 'local_gb') ?? 0,
      fetchGbPerS: amountOrNull(item, 'fetch_gb_per_s') ?? 0,
      price: amountOrNull(item, 'hourly') ?? 0,
      spotPrice: amountOrNull(item, 'market_price') ?? 0,
      bootS: amountOrNull(item, 'boot_s') ?? 0,
      zones: list(item, 'halls').map((zone) => {
        if (typeof zone !== 'string') throw new WireError('halls: expected texts');
        return zone;
      }),
    };
  });
}

/** The catalogue as the controllers keep it at the state service: the cloud's own form. */
export function writeCatalogue(types: MachineType[]): unknown {
  return {
    models: types.map((type) => ({
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
    })),
  };
}

/** Reads one page of the list of machines. */
export function readMachinePage(body: unknown): { machines: ListedMachine[]; more: boolean } {
  if (!isMap(body)) throw new WireError('machines: expected a map');
  const machines = list(body, 'kilns').map((item): ListedMachine => {
    if (!isMap(item)) throw new WireError('kilns: expected maps');
    const state = text(item, 'status');
    if (state !== 'booting' && state !== 'running' && state !== 'failed')
      throw new WireError('status: unknown machine state');
    return {
      id: text(item, 'id'),
      addr: text(item, 'address'),
      type: text(item, 'model'),
      zone: text(item, 'hall'),
      spot: flagOrFalse(item, 'loaners'),
      state,
      ageS: amount(item, 'age_s'),
    };
  });
  return { machines, more: flagOrFalse(body, 'has_next') };
}

/** Reads the ids of the machines that were rented. */
export function readLaunchedIds(body: unknown): string[] {
  if (!isMap(body)) throw new WireError('rented: expected a map');
  return list(body, 'kilns').map((id) => {
    if (typeof id !== 'string') throw new WireError('kilns: expected texts');
    return id;
  });
}

/** The request to rent machines; `name` makes its repeats harmless. */
export function writeLaunchRequest(
  name: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): Fields {
  return { hire: name, model: type, hall: zone, loaners: spot, how_many: count };
}

/** The request to release machines. */
export function writeReleaseRequest(machines: string[]): Fields {
  return { kilns: machines };
}
