/**
 * Decides how a stream goes on after one of its segments ended early: from a memory copy, on another upstream, or not.
 */
import * as exchangeContext from './exchangeContext.js';
import * as responseClassification from './responseClassification.js';
import type * as streamAttempts from './streamAttempts.js';
import type * as streamDelivery from './streamDelivery.js';
import type * as streamMove from './streamMove.js';
import type * as streamOutcome from './streamOutcome.js';
import type * as streamSegment from './streamSegment.js';
import type * as types from './types.js';
import type * as upstreamSelector from './upstreamSelector.js';

/** Parts and operations of the exchange that recovery depends on. */
export interface RecoveryHost {
  readonly attempts: streamAttempts.StreamAttempts;
  readonly delivery: streamDelivery.StreamDelivery;
  readonly selector: upstreamSelector.UpstreamSelector;
  readonly outcome: streamOutcome.StreamOutcome;
  readonly closeSegment: (segment: streamSegment.StreamSegment) => void;
  readonly takeFirstCopy: () => streamMove.ResumePoint | undefined;
  readonly resumeFromCopy: (resumePoint: streamMove.ResumePoint) => void;
  /** Passes an error response on to the caller. */
  readonly respond: (
    segment: streamSegment.StreamSegment,
    errorResponse: streamSegment.ErrorResponse,
  ) => void;
  readonly onNoUpstream: (reason: types.RefusalReason, message: string, retryAfter: number) => void;
}

/** Recovery of one stream; see the module comment. */
export class StreamRecovery {
  constructor(
    private readonly context: exchangeContext.ExchangeContext,
    private readonly routed: exchangeContext.RoutedRequest,
    private readonly host: RecoveryHost,
  ) {}

  /** Handles an error response; it is passed on if the stream cannot be sent again. */
  onErrorResponse(segment: streamSegment.StreamSegment, errorResponse: streamSegment.ErrorResponse): void {
    const { balancer, timers } = this.context;
    const { head } = errorResponse;
    const { identity } = segment.instance;
    this.host.closeSegment(segment);
    balancer.recordFailure(identity, 'failure', timers.now());
    if (head.status >= 500 && this.host.attempts.takeResumption()) {
      this.resumeElsewhere(segment, 'upstreamFailed');
    } else if (this.host.delivery.started) {
      this.host.outcome.abort(`the next upstream responded with status ${head.status}`);
    } else {
      this.host.respond(segment, errorResponse);
    }
  }

  /** Handles an upstream's statement that it did not run the request. */
  onNotRun(segment: streamSegment.StreamSegment): void {
    const { retryBudget, timers, log } = this.context;
    const { service, request } = this.routed;
    this.host.selector.exclude(segment.instance.identity);
    log.info('attemptNotRun', { request: request.identity, upstream: segment.instance.identity });
    if (segment.copy !== undefined) {
      this.onCopyRejected(segment);
      return;
    }
    this.host.attempts.recordNotRun();
    if (retryBudget.take(service.name, timers.now())) {
      this.host.selector.select();
    } else {
      this.host.onNoUpstream(
        'overloaded',
        'the retry budget is exhausted',
        exchangeContext.NO_UPSTREAM_RETRY_DELAY,
      );
    }
  }

  /** Handles a segment that ended without a complete response. */
  onBroken(segment: streamSegment.StreamSegment, failure: types.ExchangeFailure, reason: string): void {
    const { balancer, timers, log } = this.context;
    this.host.closeSegment(segment);
    if (failure === 'quarantined') {
      if (segment.copy === undefined) {
        this.host.attempts.recordNotRun();
      }
      this.host.outcome.endQuarantined();
      return;
    }
    log.info('streamBroken', {
      request: this.routed.request.identity,
      content: exchangeContext.contentDigestOf(this.routed),
      upstream: segment.instance.identity,
      failure,
      reason,
      lastEvent: this.host.delivery.lastEvent,
    });
    if (exchangeContext.countsAgainstUpstream(this.context, failure)) {
      balancer.recordFailure(
        segment.instance.identity,
        failure === 'notSent' ? 'stall' : 'failure',
        timers.now(),
      );
    }
    this.host.selector.exclude(segment.instance.identity);
    const firstCopy = this.host.takeFirstCopy();
    if (responseClassification.wasNeverSent(failure)) {
      this.onNotSent(segment);
    } else if (firstCopy !== undefined) {
      this.host.resumeFromCopy(firstCopy);
    } else if (this.host.attempts.takeResumption()) {
      this.resumeElsewhere(segment, failure);
    } else if (this.host.delivery.started) {
      this.host.outcome.abort(reason);
    } else {
      const closed = 'the upstream closed the stream before its first event';
      this.host.outcome.refuse('outcomeUnknown', failure === 'givenUp' ? reason : closed);
    }
  }

  private onNotSent(segment: streamSegment.StreamSegment): void {
    if (segment.copy !== undefined) {
      this.onCopyRejected(segment);
      return;
    }
    this.host.attempts.recordNotRun();
    this.host.selector.select();
  }

  private resumeElsewhere(segment: streamSegment.StreamSegment, cause: string): void {
    this.host.selector.exclude(segment.instance.identity);
    this.logResumption(cause);
    this.host.selector.select();
  }

  logResumption(cause: string): void {
    this.context.log.info('streamResumes', {
      request: this.routed.request.identity,
      cause,
      lastEvent: this.host.delivery.lastEvent,
      runs: this.host.attempts.possibleRuns,
    });
  }

  /** Handles an engine's rejection of a resumption from a copy; only resumable streams can be sent elsewhere. */
  private onCopyRejected(segment: streamSegment.StreamSegment): void {
    if (this.host.attempts.takeResumption()) {
      this.resumeElsewhere(segment, 'copyRefused');
    } else {
      this.host.outcome.abort('the engine did not resume the stream from its memory copy');
    }
  }
}
