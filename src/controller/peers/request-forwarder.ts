/** Requests of users that a peer answers in this controller's place. */
import type { EventLoop } from '../runtime/event-loop.js';
import type { ForwardedReply, ForwardedRequest } from './message.js';

/** From how many the first id of a forwarded request is drawn. */
const FIRST_IDS = 2 ** 48;

/** Takes the peer's answer; null: none came in time. */
export type ReplyHandler = (reply: ForwardedReply | null) => void;

/** The requests that were passed on and wait for their answer. */
export class RequestForwarder {
  private readonly pendingReplies = new Map<number, ReplyHandler>();
  private lastId: number;

  constructor(
    private readonly eventLoop: EventLoop,
    private readonly send: (host: string, request: ForwardedRequest) => void,
  ) {
    // The process before on this host has counted too, and answers to it may still be on their way.
    this.lastId = Math.floor(eventLoop.runtime.random() * FIRST_IDS);
  }

  /** Has the peer `host` answer a request. */
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

  /** An answer has arrived, perhaps to a request that nobody waits for any more. */
  handleReply(reply: ForwardedReply): void {
    this.pendingReplies.get(reply.id)?.(reply);
  }
}
