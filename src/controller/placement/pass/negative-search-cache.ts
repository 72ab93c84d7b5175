/** What a placement pass remembers of searches without a result, so that none is made twice. */
import type { ResourceRequest } from '../../model/resource-request.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';

/** A search for machines where a task can start now. */
export interface CapacityQuery {
  request: ResourceRequest;
  /** The kinds of machines searched, see `nameOfKinds`. */
  kinds: string;
}

/** A search for tasks to stop. */
export interface VictimQuery extends CapacityQuery {
  team: string;
  guaranteed: boolean;
  level: number;
}

/** Whether all that is needed is at least as much: where the less was too much, so is this. */
function atLeast(request: ResourceRequest, less: ResourceRequest): boolean {
  return (
    request.cpus >= less.cpus && request.gpus >= less.gpus && request.memoryGb >= less.memoryGb
  );
}

/** Names a choice of kinds of machines within a pass. */
export function machineKindsKey(kinds: readonly (readonly FreeCapacity[])[]): string {
  return kinds.map((rooms) => rooms[0]?.index ?? -1).join();
}

/** Searches of one pass that have failed, and whether another is bound to fail as well. */
export class NegativeSearchCache {
  /** Needs that no machine had place for, even if nothing were reserved. */
  private readonly places: CapacityQuery[] = [];
  /** Needs that no work could be stopped for. */
  private readonly victims: VictimQuery[] = [];

  /** No machine of these kinds has place for so much. */
  hasNoCapacity({ request, kinds }: CapacityQuery): boolean {
    return this.places.some((failed) => failed.kinds === kinds && atLeast(request, failed.request));
  }

  /** Remembers that no machine had place. */
  addNoCapacity(search: CapacityQuery): void {
    this.places.push(search);
  }

  /** No work on machines of these kinds can be stopped for it. */
  hasNoVictims({ request, kinds, team, guaranteed, level }: VictimQuery): boolean {
    return this.victims.some(
      (failed) =>
        failed.kinds === kinds &&
        failed.team === team &&
        failed.guaranteed === guaranteed &&
        failed.level >= level &&
        atLeast(request, failed.request),
    );
  }

  /** Remembers that no work could be stopped. */
  addNoVictims(search: VictimQuery): void {
    this.victims.push(search);
  }

  /** Forgets everything: machines have changed. */
  clear(): void {
    this.places.length = 0;
    this.victims.length = 0;
  }
}
