/**
 * Open attempts of one request with a buffered response: each holds a place at its upstream until it is closed.
 */
import type * as slotClient from '../callSlots/slotClient.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as exchangeContext from './exchangeContext.js';
import type * as types from './types.js';

/** One attempt. */
export interface Attempt {
  readonly instance: instanceView.Instance;
  readonly cancel: types.CancelExchange;
  readonly sentAt: ports.Milliseconds;
  /** Returns the slot that the attempt holds at a fragile upstream. */
  readonly release: slotClient.ReleaseSlot;
  head: types.ResponseHead | undefined;
  readonly chunks: Uint8Array[];
}

/** Open attempts of one request; see the module comment. */
export class BufferedAttempts {
  private readonly open = new Set<Attempt>();

  constructor(private readonly context: exchangeContext.ExchangeContext) {}

  get count(): number {
    return this.open.size;
  }

  add(attempt: Attempt): void {
    this.open.add(attempt);
  }

  /** Returns what the attempt holds; does nothing if it is closed. */
  close(attempt: Attempt): void {
    if (this.open.delete(attempt)) {
      attempt.release(attempt.head?.notRun === true);
      this.context.balancer.recordCompletion(attempt.instance.identity);
    }
  }

  /** Cancels all attempts because their upstreams did not respond in time. */
  cancelSilent(): void {
    const { balancer, timers } = this.context;
    for (const attempt of this.open) {
      balancer.recordFailure(attempt.instance.identity, 'stall', timers.now());
      attempt.cancel('silent');
    }
  }

  /** Cancels and closes all attempts, whose responses are not needed any more. */
  giveUp(): void {
    const { balancer, timers, isCutOff } = this.context;
    for (const attempt of [...this.open]) {
      // The silence of a cut-off entry's links says nothing about upstreams.
      if (isCutOff?.() !== true) {
        balancer.recordGivenUp(attempt.instance, timers.now() - attempt.sentAt);
      }
      attempt.cancel();
      this.close(attempt);
    }
  }
}
