/** Shared set-up of the fleet's unit tests: settings, a machine type, and fakes of the other modules. */
import { EventLoop } from '../src/controller/runtime/event-loop.js';
import type { BootingMachines } from '../src/controller/fleet/booting-machines.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { Settings } from '../src/controller/settings/settings.js';
import type { MachineType } from '../src/controller/wire/cloud.js';
import { Machine } from '../src/controller/model/entities.js';
import { ManualRuntime, silentLogger } from './manual-runtime.js';
import { standalonePlatform } from './platform.js';

/** The settings of a controller without peers, with the default properties. */
export const settings = new Settings(standalonePlatform(), defaultProperties());

/** Longest time by which the cloud's list of machines may be out of date, in milliseconds. */
export const listLagMs = settings.platform.cloudLimits.listLagS * 1000;

/** A machine type with 8 CPUs and the given number of GPUs; a spot machine costs half the price. */
export function machineType(name: string, gpus: number, price: number): MachineType {
  return {
    ...{ name, gpus, price, spotPrice: price / 2, cpus: 8, memoryGb: 64 },
    ...{ cacheGb: 50, fetchGbPerS: 1, bootS: 10, zones: ['a', 'b'] },
  };
}

/** The type of the machines that `FakeWorkers` adds: without GPUs. */
export const plainType = machineType('plain', 0, 1);

/** A fake of `Workers`; the test sets for how long each machine has been unresponsive. */
export class FakeWorkers {
  readonly machines = new Map<string, Machine>();
  readonly assignedCountByClass = new Map<string, number>();
  readonly term = 7;
  /** Time since each unresponsive machine last responded, in milliseconds, by machine id. */
  readonly unresponsive = new Map<string, number>();

  /** Adds a running machine of `plainType`. */
  add(id: string): Machine {
    const machine = new Machine(id, 0, settings);
    machine.type = plainType;
    machine.typeName = plainType.name;
    machine.cloudState = 'running';
    machine.cloudStateAt = 0;
    this.machines.set(id, machine);
    return machine;
  }

  isAlive(machine: Machine): boolean {
    return this.unresponsiveMs(machine) === 0;
  }

  unresponsiveMs(machine: Machine): number {
    return this.unresponsive.get(machine.id) ?? 0;
  }

  unacknowledgedMs(): number {
    return 0;
  }

  removeMachine(machine: Machine): void {
    this.machines.delete(machine.id);
  }

  setDescription(machine: Machine, type: string): void {
    machine.typeName = type;
  }
}

/** The objects that a unit test of the fleet needs; there are no machines at the start. */
export interface FleetFixture {
  runtime: ManualRuntime;
  eventLoop: EventLoop;
  workers: FakeWorkers;
  booting: BootingMachines;
}

export function fleetFixture(): FleetFixture {
  const runtime = new ManualRuntime();
  const eventLoop = new EventLoop(runtime, silentLogger);
  return { runtime, eventLoop, workers: new FakeWorkers(), booting: new Map() };
}
