/**
 * Open attempts of one request with a buffered response: each holds a place at its upstream until it is closed.
 */
import type * as slotClient from '../callSlots/slotClient.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as exchangeContext from './exchangeContext.js';
import * as heldResponse from './heldResponse.js';
import * as responseClassification from './responseClassification.js';
import type * as types from './types.js';

/** One attempt. */
export interface Attempt {
  readonly instance: instanceView.Instance;
  readonly cancel: types.CancelExchange;
  readonly sentAt: ports.Milliseconds;
  /** Returns the slot that the attempt holds at a fragile upstream. */
  readonly release: slotClient.ReleaseSlot;
  readonly response: heldResponse.HeldResponse;
}

/** What becomes of an attempt; one of them is called, once. */
export interface AttemptListener {
  /** The response is complete, or its head shows that its body is not needed. */
  readonly responded: (attempt: Attempt, head: types.ResponseHead) => void;
  readonly failed: (attempt: Attempt, failure: types.ExchangeFailure, reason: string) => void;
}

/** Open attempts of one request; see the module comment. */
export class BufferedAttempts {
  private readonly open = new Set<Attempt>();

  /**
   * @param repeatable - true if the request may run more than once
   */
  constructor(
    private readonly context: exchangeContext.ExchangeContext,
    private readonly repeatable: boolean,
  ) {}

  get count(): number {
    return this.open.size;
  }

  /** Sends the request; the attempt is closed before the listener is called. */
  send(call: types.UpstreamCall, release: slotClient.ReleaseSlot, listener: AttemptListener): void {
    const { balancer, timers, upstreams } = this.context;
    const { instance } = call;
    const fail = (failure: types.ExchangeFailure, reason: string): void => {
      this.close(attempt);
      listener.failed(attempt, failure, reason);
    };
    const respond = (head: types.ResponseHead): void => {
      this.close(attempt);
      listener.responded(attempt, head);
    };
    const endBy = (failure: types.ExchangeFailure) => (reason: string) => {
      attempt.cancel();
      fail(failure, reason);
    };
    const response = new heldResponse.HeldResponse(this.context, endBy('garbled'), endBy('givenUp'));
    balancer.recordDispatch(instance, timers.now());
    const { cancel } = upstreams.send(call, {
      head: (head) => {
        response.recordHead(head);
        if (responseClassification.classify(head, this.repeatable) !== 'answer') {
          attempt.cancel();
          respond(head);
        }
      },
      data: (bytes) => {
        response.add(bytes);
      },
      end: () => {
        if (response.head !== undefined) {
          respond(response.head);
        }
      },
      failed: fail,
    });
    const attempt: Attempt = { instance, cancel, sentAt: timers.now(), release, response };
    this.open.add(attempt);
  }

  /** Returns what the attempt holds; does nothing if it is closed. */
  close(attempt: Attempt): void {
    if (this.open.delete(attempt)) {
      attempt.response.release();
      attempt.release(attempt.response.head?.notRun === true);
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
