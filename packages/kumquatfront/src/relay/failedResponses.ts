/**
 * Server errors that upstreams responded with to one request. Whether the request or an upstream is the cause shows only
 * with a later response.
 */
import type * as exchangeContext from './exchangeContext.js';
import type * as types from './types.js';

/** A complete response of an upstream. */
export interface CompleteResponse {
  readonly head: types.ResponseHead;
  readonly body: Uint8Array;
}

/** Server errors of one request; see the module comment. */
export class FailedResponses {
  /** The newest server error; undefined if there is none. */
  last: CompleteResponse | undefined;
  private readonly upstreams: string[] = [];

  constructor(private readonly context: exchangeContext.ExchangeContext) {}

  /** Records the server error of an upstream. */
  record(upstream: string, response: CompleteResponse): void {
    this.upstreams.push(upstream);
    this.last = response;
  }

  /** Counts the errors against their upstreams, once the request is known not to be the cause. */
  countAgainstUpstreams(): void {
    const { balancer, timers } = this.context;
    for (const upstream of this.upstreams) {
      balancer.recordFailure(upstream, 'failure', timers.now());
    }
  }

  /** Counts a single error against its upstream: two show that the request is the likely cause. */
  countUnlessRepeated(): void {
    if (this.upstreams.length === 1) {
      this.countAgainstUpstreams();
    }
  }
}
