/** What a placement pass remembers of searches without a result, so that none is made twice. */
import type { ResourceRequest } from '../workers/assignment.js';
import type { Room } from './room.js';

/** A search for machines where a task can start now. */
export interface PlaceSearch {
  need: ResourceRequest;
  /** The kinds of machines searched, see `nameOfKinds`. */
  kinds: string;
}

/** A search for tasks to stop. */
export interface VictimSearch extends PlaceSearch {
  team: string;
  guaranteed: boolean;
  level: number;
}

/** Whether all that is needed is at least as much: where the less was too much, so is this. */
function atLeast(need: ResourceRequest, less: ResourceRequest): boolean {
  return need.cpus >= less.cpus && need.gpus >= less.gpus && need.memoryGb >= less.memoryGb;
}

/** Names a choice of kinds of machines within a pass. */
export function nameOfKinds(kinds: readonly (readonly Room[])[]): string {
  return kinds.map((rooms) => rooms[0]?.order ?? -1).join();
}

/** Searches of one pass that have failed, and whether another is bound to fail as well. */
export class FailedSearches {
  /** Needs that no machine had place for, even if nothing were reserved. */
  private readonly places: PlaceSearch[] = [];
  /** Needs that no work could be stopped for. */
  private readonly victims: VictimSearch[] = [];

  /** No machine of these kinds has place for so much. */
  noPlace({ need, kinds }: PlaceSearch): boolean {
    return this.places.some((failed) => failed.kinds === kinds && atLeast(need, failed.need));
  }

  /** Remembers that no machine had place. */
  addNoPlace(search: PlaceSearch): void {
    this.places.push(search);
  }

  /** No work on machines of these kinds can be stopped for it. */
  noVictims({ need, kinds, team, guaranteed, level }: VictimSearch): boolean {
    return this.victims.some(
      (failed) =>
        failed.kinds === kinds &&
        failed.team === team &&
        failed.guaranteed === guaranteed &&
        failed.level >= level &&
        atLeast(need, failed.need),
    );
  }

  /** Remembers that no work could be stopped. */
  addNoVictims(search: VictimSearch): void {
    this.victims.push(search);
  }

  /** Forgets everything: machines have changed. */
  clear(): void {
    this.places.length = 0;
    this.victims.length = 0;
  }
}
