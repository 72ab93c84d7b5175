/** Forwarding of requests to a peer that answers them instead of this controller. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { ForwardedReply, ForwardedRequest } from './message.js';

/** Request ids start after a random number below this limit. */
const MAX_INITIAL_ID = 2 ** 48;

/** Handles the peer's reply, or null if no reply arrived within the time-out. */
export type ReplyHandler = (reply: ForwardedReply | null) => void;

/** Assigns ids to forwarded requests. Passes each handler the matching reply, or null after the time-out. */
export class RequestForwarder {
  private readonly pendingReplies = new Map<number, ReplyHandler>();
  private lastId: number;

  /** @param send - sends a request to the peer on `host` */
  constructor(
    private readonly eventLoop: EventLoop,
    private readonly send: (host: string, request: ForwardedRequest) => void,
  ) {
    // Ids start at a random number, since replies to requests of the previous process on this host may still
    // arrive and must not match a request of this process.
    this.lastId = Math.floor(eventLoop.runtime.random() * MAX_INITIAL_ID);
  }

  /** Forwards a request to the peer on `host`. `done` is called once, with null if no reply arrives in time. */
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

  /** Handles a reply that has arrived. Ignores it if no request with its id is pending. */
  handleReply(reply: ForwardedReply): void {
    this.pendingReplies.get(reply.id)?.(reply);
  }
}
