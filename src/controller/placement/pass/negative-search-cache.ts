/** Negative cache of a placement pass: records failed searches so that they are not repeated. */
import type { ResourceRequest } from '../../model/resource-request.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';

/** A search for machines where a task can start now. */
export interface CapacityQuery {
  request: ResourceRequest;
  /** Key of the machine kinds that are searched; see `machineKindsKey`. */
  kinds: string;
}

/** A search for tasks to preempt. */
export interface VictimQuery extends CapacityQuery {
  team: string;
  /** Whether the job is covered by its team's guarantee. */
  guaranteed: boolean;
  /** Priority level of the job. */
  level: number;
}

/**
 * Returns whether `request` takes at least as much of each resource as `other`. If so, it fits on no
 * machine on which `other` does not fit.
 */
function isAtLeast(request: ResourceRequest, other: ResourceRequest): boolean {
  return (
    request.cpus >= other.cpus && request.gpus >= other.gpus && request.memoryGb >= other.memoryGb
  );
}

/** Returns a key for a selection of machine kinds. The key is valid only within one pass. */
export function machineKindsKey(kinds: readonly (readonly FreeCapacity[])[]): string {
  return kinds.map(([first]) => first?.index ?? -1).join();
}

/** Records the failed searches of one pass, and determines whether another search must fail as well. */
export class NegativeSearchCache {
  /** Requests that fit on no machine, even if claims are ignored. */
  private readonly failedCapacityQueries: CapacityQuery[] = [];
  /** Requests for which no task could be preempted. */
  private readonly failedVictimQueries: VictimQuery[] = [];

  /** Returns whether a recorded failure shows that the request fits on no machine of the given kinds. */
  hasNoCapacity({ request, kinds }: CapacityQuery): boolean {
    return this.failedCapacityQueries.some(
      (failed) => failed.kinds === kinds && isAtLeast(request, failed.request),
    );
  }

  /** Records that the request fits on no machine of the given kinds, even if claims are ignored. */
  addNoCapacity(query: CapacityQuery): void {
    this.failedCapacityQueries.push(query);
  }

  /**
   * Returns whether a recorded failure shows that no task on machines of the given kinds can be preempted for
   * the request. The failed query must have the same values of `team` and `guaranteed`, and the same or a
   * higher level, because a job of higher level may preempt more tasks.
   */
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

  /** Records that no task on machines of the given kinds could be preempted for the request. */
  addNoVictims(query: VictimQuery): void {
    this.failedVictimQueries.push(query);
  }

  /** Removes all records; called when machines may have changed. */
  clear(): void {
    this.failedCapacityQueries.length = 0;
    this.failedVictimQueries.length = 0;
  }
}
