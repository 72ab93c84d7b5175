/** What the terms of this node as leader are given by the rest of the controller. */
import type { MachineTypeCatalogue } from '../fleet/machine-type-catalogue.js';
import type { Frontend } from '../jobs/frontend.js';
import type { ProgressCache } from '../jobs/job-progress.js';
import type { Leadership } from '../leadership/leadership.js';
import type { Peers } from '../peers/peers.js';
import type { EventLoop } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { LearnedStatistics } from './learned-statistics.js';

/** Takes the measurements of a leader. */
export interface PlacementPassObserver {
  /** A placement pass has ended, whose slices together took `tookMs`. */
  observePlacementPass(durationMs: number): void;
}

/** The parts of the controller that a leader works with; they outlast its terms. */
export interface LeaderEnvironment {
  readonly eventLoop: EventLoop;
  readonly settings: Settings;
  readonly client: StateStoreClient;
  readonly leadership: Leadership;
  readonly peers: Peers;
  readonly frontend: Frontend;
  readonly progress: ProgressCache;
  readonly catalogue: MachineTypeCatalogue;
  readonly learned: LearnedStatistics;
  /** Loaded a little after the start; `null` until then. */
  readonly metrics: PlacementPassObserver | null;
}

/**
 * What this node may do as leader, in whatever term: callbacks of a term that is over may still run,
 * and then this tells of the current one.
 */
export interface CurrentRole {
  /**
   * This node may send commands, place, rent and write: its lease as leader runs, its state is
   * recovered, and no cancellation confirmed longer ago than the settings allow is unknown to it
   * (design.md, invariants 1 and 8).
   */
  readonly mayActAsLeader: boolean;
  /** This node may answer workers, which may go on beyond its lease (design.md, invariant 1). */
  readonly mayAnswerWorkers: boolean;
  /** This node leads and has recovered the state that previous leaders stored. */
  readonly hasRecovered: boolean;
  /** Requests a placement pass, since something has become placeable. */
  requestPlacement(): void;
}
