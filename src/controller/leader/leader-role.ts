/** Whether this node leads, and what it may do as leader. */
import type { LeadershipEvents } from '../leadership/leadership.js';
import type { CurrentRole, LeaderEnvironment } from './leader-context.js';
import { LeaderTerm } from './leader-term.js';

/** Creates a `LeaderTerm` when this node is elected, and drops it when it steps down. */
export class LeaderRole implements LeadershipEvents, CurrentRole {
  private term: LeaderTerm | null = null;

  /** `environment` may be completed later: it is read from the start of the controller on. */
  constructor(private readonly environment: LeaderEnvironment) {}

  /** This node's term as leader, from its election until it learns of the end. */
  get currentTerm(): LeaderTerm | null {
    return this.term;
  }

  /** The current term, once the state has been recovered. */
  get recoveredTerm(): LeaderTerm | null {
    return this.term?.recovered === true ? this.term : null;
  }

  // ---- permissions

  /** This node may send commands, place, rent and write. */
  get mayActAsLeader(): boolean {
    return this.environment.leadership.holdsLease && this.hasFreshState;
  }

  /** This node may answer workers. */
  get mayAnswerWorkers(): boolean {
    return this.environment.leadership.mayAnswerWorkers && this.hasFreshState;
  }

  /** This node leads and has recovered the state. */
  get hasRecovered(): boolean {
    return this.term?.recovered === true;
  }

  /** The state is recovered, and the watch on the active jobs is fresh enough to act on. */
  private get hasFreshState(): boolean {
    return this.term?.recovered === true && this.term.jobWatch.isFresh;
  }

  /** Requests a placement pass, if this node leads. */
  requestPlacement(): void {
    this.term?.passScheduler.request();
  }

  // ---- events of the leadership

  /** Begins a term. */
  elected(term: number): void {
    this.term = new LeaderTerm(term, this.environment, this);
    this.term.start();
  }

  /** After a time without the lease the job watch counts only once it has been read again. */
  leaseRecovered(): void {
    this.term?.jobWatch.requireFreshRead();
  }

  /** Ends the term. */
  deposed(): void {
    this.term?.close();
    this.term = null;
  }

  /** Answering workers beyond the lease is of use while the watch on the active jobs is fresh. */
  shouldExtendLease(): boolean {
    return this.hasFreshState;
  }
}
