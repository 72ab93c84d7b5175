/** Negative cache of a placement pass: searches without a result, so that none is made twice. */
import type { ResourceRequest } from '../../model/resource-request.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';

/** A search for machines where a task can start now. */
export interface CapacityQuery {
  request: ResourceRequest;
  /** The kinds of machines searched, see `machineKindsKey`. */
  kinds: string;
}

/** A search for tasks to preempt. */
export interface VictimQuery extends CapacityQuery {
  team: string;
  guaranteed: boolean;
  level: number;
}

/** Whether the request takes at least as much of each resource: it fails wherever the other did. */
function isAtLeast(request: ResourceRequest, other: ResourceRequest): boolean {
  return (
    request.cpus >= other.cpus && request.gpus >= other.gpus && request.memoryGb >= other.memoryGb
  );
}

/** Key of a selection of kinds of machines, within one pass. */
export function machineKindsKey(kinds: readonly (readonly FreeCapacity[])[]): string {
  return kinds.map(([first]) => first?.index ?? -1).join();
}

/** The failed searches of one pass, and whether another is bound to fail as well. */
export class NegativeSearchCache {
  /** Requests that fit on no machine, even without claims. */
  private readonly failedCapacityQueries: CapacityQuery[] = [];
  /** Requests for which nothing could be preempted. */
  private readonly failedVictimQueries: VictimQuery[] = [];

  /** Whether so much is known to fit on no machine of these kinds. */
  hasNoCapacity({ request, kinds }: CapacityQuery): boolean {
    return this.failedCapacityQueries.some(
      (failed) => failed.kinds === kinds && isAtLeast(request, failed.request),
    );
  }

  /** Remembers that it fits on no machine, even without claims. */
  addNoCapacity(query: CapacityQuery): void {
    this.failedCapacityQueries.push(query);
  }

  /** Whether nothing on machines of these kinds is known to be preemptible for such a job. */
  hasNoVictims({ request, kinds, team, guaranteed, level }: VictimQuery): boolean {
    return this.failedVictimQueries.some(
      (failed) =>
        failed.kinds === kinds &&
        failed.team === team &&
        failed.guaranteed === guaranteed &&
        failed.level >= level &&
        isAtLeast(request, failed.request),
    );
  }

  /** Remembers that nothing could be preempted. */
  addNoVictims(query: VictimQuery): void {
    this.failedVictimQueries.push(query);
  }

  /** Forgets everything, where machines may have changed. */
  clear(): void {
    this.failedCapacityQueries.length = 0;
    this.failedVictimQueries.length = 0;
  }
}
