/** Interfaces between the terms of this node as leader and the other components of the controller. */
import type { MachineTypeCatalogue } from '../fleet/machine-type-catalogue.js';
import type { Frontend } from '../jobs/frontend.js';
import type { ProgressCache } from '../jobs/job-progress.js';
import type { Leadership } from '../leadership/leadership.js';
import type { Peers } from '../peers/peers.js';
import type { EventLoop, EventLoopScope } from '../runtime/event-loop.js';
import type { Settings } from '../settings/settings.js';
import type { StateStoreClient } from '../store/client.js';
import type { LearnedStatistics } from './learned-statistics.js';

/** Receives measurements of placement passes. */
export interface PlacementPassObserver {
  /** Records a finished placement pass; `durationMs` is the total duration of its slices. */
  observePlacementPass(durationMs: number): void;
}

/** The components of the controller that a leader uses; they exist independently of its terms. */
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
  /** Null until the metrics have been loaded, shortly after the process has started. */
  readonly metrics: PlacementPassObserver | null;
}

/**
 * The event loop and the state store client of one term. Whatever the term starts with them, timers, calls and
 * transactions, ends with the term.
 */
export interface TermScope {
  readonly eventLoop: EventLoopScope;
  readonly client: StateStoreClient;
}

/** The components of the controller without those that a term must use through its scope. */
export type TermEnvironment = Omit<LeaderEnvironment, 'eventLoop' | 'client'>;

/**
 * What this node may do as leader. The values always refer to the current term, even when they are read by a
 * callback of a term that has ended.
 */
export interface CurrentRole {
  /**
   * Whether this node may send commands, place tasks, rent machines and write records. It must hold the
   * leader's lease (design.md, invariant 1), have recovered the state, and know every cancellation that was
   * confirmed longer ago than the allowed staleness of its job watch (invariant 8).
   */
  readonly mayActAsLeader: boolean;
  /**
   * Whether this node may answer workers. It must have recovered the state, and know every cancellation that
   * was confirmed longer ago than the allowed staleness of its job watch (design.md, invariant 8). It must
   * also hold the leader's lease, or all other controllers must have promised not to act as leader
   * (invariant 1).
   */
  readonly mayAnswerWorkers: boolean;
  /** Whether this node is the leader and has recovered the state that previous leaders stored. */
  readonly hasRecovered: boolean;
  /** Requests a placement pass, because tasks or capacity have changed. */
  requestPlacement(): void;
}
