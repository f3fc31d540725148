/**
 * Ends a stream that cannot go on: it is refused while its caller has no response, and aborted afterwards, so that the
 * caller can detect that it is incomplete.
 */
import type * as ports from '../kernel/ports.js';
import * as quarantine from '../quarantine/quarantine.js';
import * as exchangeContext from './exchangeContext.js';
import * as plannedStop from './plannedStop.js';
import type * as streamAttempts from './streamAttempts.js';
import type * as streamDelivery from './streamDelivery.js';
import type * as types from './types.js';

/** What the outcome depends on, and what follows it. */
export interface StreamOutcomeHost {
  readonly attempts: streamAttempts.StreamAttempts;
  readonly delivery: streamDelivery.StreamDelivery;
  /** Releases what the exchange holds and logs the outcome. */
  readonly finish: (outcome: ports.LogFields) => void;
}

/** Outcome of one stream; see the module comment. */
export class StreamOutcome {
  constructor(
    private readonly context: exchangeContext.ExchangeContext,
    private readonly routed: exchangeContext.RoutedRequest,
    private readonly host: StreamOutcomeHost,
  ) {}

  refuse(reason: types.RefusalReason, message: string, retryAfter?: ports.Milliseconds): void {
    this.refuseWith({ reason, message, retryAfter });
  }

  refuseWith(refusal: types.Refusal): void {
    this.routed.caller.refuse(refusal);
    this.host.finish({ outcome: refusal.reason, reason: refusal.message });
  }

  abort(reason: string): void {
    this.routed.caller.abort();
    this.host.finish({ outcome: 'interrupted', reason });
  }

  /** Handles the lack of an upstream; the request is refused as not run only if no attempt may have run it. */
  endWithoutUpstream(
    reason: types.RefusalReason,
    message: string,
    retryAfter: ports.Milliseconds | undefined,
  ): void {
    const { attempts, delivery } = this.host;
    if (delivery.started) {
      this.abort(message);
    } else if (attempts.possibleRuns > 0 && !this.routed.route.resumable) {
      this.refuse('outcomeUnknown', message);
    } else {
      this.refuse(reason, message, retryAfter);
    }
  }

  endAtDeadline(): void {
    const { attempts, delivery } = this.host;
    if (delivery.started) {
      this.abort('the route allows no more time');
    } else if (attempts.possibleRuns === 0) {
      this.refuse(
        'timeoutNotRun',
        'no upstream became available before the deadline of the request',
        exchangeContext.NO_UPSTREAM_RETRY_DELAY,
      );
    } else {
      this.refuse(
        'timeoutUnknown',
        'the upstream did not start the stream before the deadline of the request',
      );
    }
  }

  /** Answers a caller that has no response yet; a stream that has begun goes on until the process is killed. */
  endBeforeStop(): void {
    const { attempts, delivery } = this.host;
    if (!delivery.started) {
      this.refuseWith(plannedStop.refusalFor(attempts.possibleRuns > 0));
    }
  }

  endQuarantined(): void {
    const { attempts, delivery } = this.host;
    if (delivery.started) {
      this.abort(quarantine.QUARANTINED_MESSAGE);
    } else {
      const mayHaveRun = attempts.possibleRuns > 0;
      this.refuseWith(exchangeContext.quarantineRefusal(this.context, this.routed, mayHaveRun));
    }
  }
}
