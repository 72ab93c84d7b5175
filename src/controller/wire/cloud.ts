/** Bodies of the cloud's protocol: machine types, the machine list, launches and releases. */
import { isMap, type Fields } from './cbor.js';
import {
  readAmount,
  readList,
  readOptionalAmount,
  readOptionalBoolean,
  readText,
  readTexts,
  requireMap,
  WireError,
} from './fields.js';

/** A type of machine that the cloud offers. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Disk space for cached images, in GB. */
  cacheGb: number;
  /** Rate at which a machine fetches images, in GB per second. */
  fetchGbPerS: number;
  /** Price per hour of a machine that is not a spot machine. */
  price: number;
  /** Price per hour of a spot machine. */
  spotPrice: number;
  /** Nominal time from the launch of a machine until it runs, in seconds. */
  bootS: number;
  /** The zones in which the type is offered. */
  zones: string[];
}

/** An entry of the cloud's machine list. */
export interface ListedMachine {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Time since the launch was requested, in seconds. */
  ageS: number;
}

/** Reads the response that lists the machine types. */
export function readCatalogue(body: unknown): MachineType[] {
  return readList(requireMap(body, 'catalogue'), 'models').map(readMachineType);
}

function readMachineType(item: unknown): MachineType {
  const fields = requireItemMap(item, 'models');
  return {
    name: readText(fields, 'name'),
    cpus: readAmount(fields, 'cores'),
    gpus: readOptionalAmount(fields, 'cards') ?? 0,
    memoryGb: readAmount(fields, 'mem_gb'),
    cacheGb: readOptionalAmount(fields, 'local_gb') ?? 0,
    fetchGbPerS: readOptionalAmount(fields, 'fetch_gb_per_s') ?? 0,
    price: readOptionalAmount(fields, 'hourly') ?? 0,
    spotPrice: readOptionalAmount(fields, 'market_price') ?? 0,
    bootS: readOptionalAmount(fields, 'boot_s') ?? 0,
    zones: readTexts(fields, 'halls'),
  };
}

/** Encodes machine types for the state store, in the form in which the cloud lists them. */
export function writeCatalogue(types: MachineType[]): Fields {
  return { models: types.map(writeMachineType) };
}

function writeMachineType(type: MachineType): Fields {
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

/** One page of the machine list. */
export interface MachinePage {
  machines: ListedMachine[];
  /** Whether another page follows. */
  more: boolean;
}

/** Reads a response with one page of the machine list. */
export function readMachinePage(body: unknown): MachinePage {
  const fields = requireMap(body, 'machines');
  return {
    machines: readList(fields, 'kilns').map(readListedMachine),
    more: readOptionalBoolean(fields, 'has_next'),
  };
}

function readListedMachine(item: unknown): ListedMachine {
  const fields = requireItemMap(item, 'kilns');
  return {
    state: readMachineState(fields),
    id: readText(fields, 'id'),
    addr: readText(fields, 'address'),
    type: readText(fields, 'model'),
    zone: readText(fields, 'hall'),
    spot: readOptionalBoolean(fields, 'loaners'),
    ageS: readAmount(fields, 'age_s'),
  };
}

function readMachineState(fields: Fields): ListedMachine['state'] {
  const state = readText(fields, 'status');
  if (state !== 'booting' && state !== 'running' && state !== 'failed')
    throw new WireError('status: unknown machine state');
  return state;
}

/** Returns an item of the list `name` as a map; throws a `WireError` if it is not a map. */
function requireItemMap(item: unknown, name: string): Fields {
  if (!isMap(item)) throw new WireError(`${name}: expected maps`);
  return item;
}

/** Reads the response to a launch request: the ids of the launched machines. */
export function readLaunchedIds(body: unknown): string[] {
  return readTexts(requireMap(body, 'rented'), 'kilns');
}

/** A launch of machines of one type in one zone, either all spot machines or none. */
export interface MachineLaunch {
  /** Name of the launch. The cloud does not launch machines again for a repeated name. */
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Encodes the body of a launch request. */
export function writeLaunchRequest({ name, type, zone, spot, count }: MachineLaunch): Fields {
  return { hire: name, model: type, hall: zone, loaners: spot, how_many: count };
}

/** Encodes the body of a request to release machines. */
export function writeReleaseRequest(machineIds: string[]): Fields {
  return { kilns: machineIds };
}
