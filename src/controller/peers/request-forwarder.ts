/** Requests that a peer answers in this controller's place. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { ForwardedReply, ForwardedRequest } from './message.js';

/** The id before the first forwarded request's is drawn from 0 up to here. */
const MAX_INITIAL_ID = 2 ** 48;

/** Takes the peer's reply; `null`: none came in time. */
export type ReplyHandler = (reply: ForwardedReply | null) => void;

/** Numbers forwarded requests and gives each its reply or its time-out. */
export class RequestForwarder {
  private readonly pendingReplies = new Map<number, ReplyHandler>();
  private lastId: number;

  /** `send`: sends a request to the peer on a host. */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly send: (host: string, request: ForwardedRequest) => void,
  ) {
    // The previous process on this host numbered requests too, and replies to it may still arrive.
    this.lastId = Math.floor(eventLoop.runtime.random() * MAX_INITIAL_ID);
  }

  /** Has the peer on `host` answer a request; `done` is called once. */
  forward(
    host: string,
    request: Omit<ForwardedRequest, 'id'>,
    timeoutMs: number,
    done: ReplyHandler,
  ): void {
    const id = ++this.lastId;
    const timer = this.eventLoop.after(timeoutMs, 'forward-timeout', () => settle(null));
    const settle: ReplyHandler = (reply) => {
      if (!this.pendingReplies.delete(id)) return;
      timer.cancel();
      done(reply);
    };
    this.pendingReplies.set(id, settle);
    this.send(host, { ...request, id });
  }

  /** Takes a reply; one to a request that is no longer pending is ignored. */
  handleReply(reply: ForwardedReply): void {
    this.pendingReplies.get(reply.id)?.(reply);
  }
}
