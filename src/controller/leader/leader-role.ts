/** Whether this node is the leader, and what it may do as leader. */
import type { LeadershipEvents } from '../leadership/leadership.js';
import type { CurrentRole, LeaderEnvironment } from './leader-context.js';
import { LeaderTerm } from './leader-term.js';

/** Creates a `LeaderTerm` when this node is elected, and closes it when this node steps down. */
export class LeaderRole implements LeadershipEvents, CurrentRole {
  private term: LeaderTerm | null = null;

  /**
   * @param environment - the other components of the node. They are not used before the controller starts, so
   *   some of them may be created after this object.
   */
  constructor(private readonly environment: LeaderEnvironment) {}

  /** This node's current term as leader, null if it is not the leader. */
  get currentTerm(): LeaderTerm | null {
    return this.term;
  }

  /** The current term if its state has been recovered, otherwise null. */
  get recoveredTerm(): LeaderTerm | null {
    return this.term?.recovered === true ? this.term : null;
  }

  // ---- permissions

  /** Whether this node may send commands, place tasks, rent machines and write records. */
  get mayActAsLeader(): boolean {
    return this.environment.leadership.holdsLease && this.hasFreshState;
  }

  /** Whether this node may answer workers. */
  get mayAnswerWorkers(): boolean {
    return this.environment.leadership.mayAnswerWorkers && this.hasFreshState;
  }

  /** Whether this node is the leader and has recovered the state. */
  get hasRecovered(): boolean {
    return this.term?.recovered === true;
  }

  /** Whether the state is recovered and the watch on the active jobs is fresh enough to act on. */
  private get hasFreshState(): boolean {
    return this.term?.recovered === true && this.term.jobWatch.isFresh;
  }

  /** Requests a placement pass if this node is the leader. */
  requestPlacement(): void {
    this.term?.passScheduler.request();
  }

  // ---- leadership events

  /** Starts a term. */
  elected(term: number): void {
    this.term = new LeaderTerm(term, this.environment, this);
    this.term.start();
  }

  /** Marks the job watch as stale after a gap in the lease, until the jobs have been read again. */
  leaseRecovered(): void {
    this.term?.jobWatch.requireFreshRead();
  }

  /** Ends the term. */
  deposed(): void {
    this.term?.close();
    this.term = null;
  }

  /**
   * Whether it is useful to extend the right to answer workers. It is useful only while the state is fresh:
   * with stale state this node might not know every confirmed cancellation, so it must not answer workers
   * even within its lease (design.md, invariant 8).
   */
  shouldExtendLease(): boolean {
    return this.hasFreshState;
  }
}
