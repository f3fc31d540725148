/**
 * Relays one event stream. It runs on one upstream at a time, can be moved with its memory to another engine, and, if
 * its route permits, resumes on another upstream after the last received event. The caller receives each event once
 * and in order, or an aborted stream.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as placementTypes from '../placement/types.js';
import * as software from '../streamOrigins/software.js';
import type * as originTypes from '../streamOrigins/types.js';
import * as quarantine from '../quarantine/quarantine.js';
import type * as eventSplitter from './eventSplitter.js';
import * as exchangeContext from './exchangeContext.js';
import * as generationAttributes from './generationAttributes.js';
import * as upstreamSelector from './upstreamSelector.js';
import type * as placementClient from './placementClient.js';
import * as idleSearch from './idleSearch.js';
import * as streamAttempts from './streamAttempts.js';
import * as streamDelivery from './streamDelivery.js';
import * as streamSegment from './streamSegment.js';
import * as streamMove from './streamMove.js';
import * as streamLogSummary from './streamLogSummary.js';
import type * as types from './types.js';

/** One stream exchange; see the module comment. */
export class StreamExchange implements placementClient.OpenGeneration {
  private readonly context: exchangeContext.ExchangeContext;
  private readonly routed: exchangeContext.RoutedRequest;
  private readonly attributes: placementTypes.GenerationAttributes | undefined;
  private readonly delivery: streamDelivery.StreamDelivery;
  private readonly selector: upstreamSelector.UpstreamSelector;
  private readonly moveController: streamMove.StreamMove;
  /** Open segment; undefined while the stream has no upstream. */
  private active: streamSegment.StreamSegment | undefined;
  private ended = false;
  private readonly attempts: streamAttempts.StreamAttempts;
  private readonly idleSearch: idleSearch.IdleSearch;
  /** Forecast time from the last placement to the first event. */
  private firstEventIn: ports.Milliseconds | undefined;
  private cancelDeadline: ports.Cancel = () => undefined;
  private cancelQuarantine: ports.Cancel = () => undefined;
  private cancelOriginSearch: ports.Cancel = () => undefined;

  constructor(context: exchangeContext.ExchangeContext, routed: exchangeContext.RoutedRequest) {
    this.context = context;
    this.routed = routed;
    this.attributes = generationAttributes.forRequest(routed);
    this.attempts = new streamAttempts.StreamAttempts(context, routed);
    this.idleSearch = new idleSearch.IdleSearch({
      timers: context.timers,
      route: routed.route,
      maySearch: (segment) =>
        this.active === segment && !this.ended && !this.moveController.isStopping && this.attempts.areLeft,
      search: (segment) => {
        this.selector.exclude(segment.instance.identity);
        this.selector.select();
      },
    });
    this.delivery = new streamDelivery.StreamDelivery(routed.caller, routed.request.lastEvent);
    this.selector = new upstreamSelector.UpstreamSelector(context, routed, this.attributes, {
      selected: (instance, firstEventIn) => {
        this.onUpstreamSelected(instance, firstEventIn);
      },
      unavailable: (reason, message, retryAfter) => {
        this.onNoUpstream(reason, message, retryAfter);
      },
    });
    this.moveController = new streamMove.StreamMove({
      request: routed.request.identity,
      upstreams: context.upstreams,
      timers: context.timers,
      log: context.log,
      resumeFrom: (resumePoint) => {
        this.resumeFromCopy(resumePoint);
      },
    });
  }

  /** Registers the generation for reports and selects its first upstream. */
  start(): void {
    const { timers, retryBudget, placement } = this.context;
    const { caller, deadline, service, request } = this.routed;
    retryBudget.recordRequest(service.name, timers.now());
    if (isTakenUp(request)) {
      const { identity, lastEvent, resumes } = request;
      this.context.log.info('streamTakenUp', { request: identity, resumes, lastEvent });
    }
    caller.onDisconnect(() => {
      this.finish({ outcome: 'callerGone' });
    });
    this.cancelDeadline = timers.after(deadline - timers.now(), () => {
      this.onDeadline();
    });
    this.cancelQuarantine = exchangeContext.whenQuarantined(this.context, this.routed, () => {
      this.onQuarantined();
    });
    if (this.attributes !== undefined) {
      placement.addGeneration(request.identity, this);
    }
    if (isTakenUp(request)) {
      this.findOrigin();
    } else {
      this.selector.select();
    }
  }

  /** Finds out where a stream that its caller takes up began. What nobody knows is refused, never guessed. */
  private findOrigin(): void {
    const { request, service } = this.routed;
    if (request.resumes === undefined) {
      this.refuseUnknownOrigin('the request does not name the attempt that brought the first event');
      return;
    }
    this.cancelOriginSearch = this.context.origins.find(this.streamKey, (found) => {
      if (this.ended) {
        return;
      }
      if (found.state !== 'known') {
        this.refuseUnknownOrigin('no process knows which software began the stream', found.state);
      } else if (found.origin.service !== service.name) {
        this.refuse('softwareGone', `the route no longer leads to the service that began the stream`);
      } else {
        this.selector.origin = found.origin;
        this.keepOrigin(found.origin);
        this.selector.select();
      }
    });
  }

  /** Leads the caller to another entry if that one may know the origin. */
  private refuseUnknownOrigin(cause: string, state: 'unknown' | 'unreachable' = 'unknown'): void {
    const retry = {
      retryAfter: exchangeContext.NO_UPSTREAM_RETRY_DELAY,
      closesConnection: true,
    };
    this.refuseWith({
      reason: 'originUnknown',
      message: `${cause}; send the request anew, without a last event`,
      ...(state === 'unreachable' && retry),
    });
  }

  /**
   * Ends the stream when its content is quarantined. A run that has produced an event continues, since its completion
   * can show that the content is harmless; any other is cancelled before it can crash the upstream.
   */
  private onQuarantined(): void {
    if (this.active === undefined || this.active.eventCount === 0) {
      this.finishQuarantined();
    }
  }

  private finishQuarantined(): void {
    if (this.delivery.started) {
      this.abort(quarantine.QUARANTINED_MESSAGE);
    } else {
      const reason = this.attempts.possibleRuns === 0 ? 'quarantined' : 'outcomeUnknown';
      this.refuse(reason, quarantine.QUARANTINED_MESSAGE);
    }
  }

  /** State of the run for reports to the coordinator; undefined while no upstream is assigned. */
  describe(): placementTypes.RunningGeneration | undefined {
    if (this.active === undefined || this.attributes === undefined) {
      return undefined;
    }
    const { produced, attributes, active: segment } = this;
    return {
      facts: attributes,
      instance: segment.instance.identity,
      produced,
      started: segment.eventCount > 0,
      ...(segment.copy !== undefined && { resumedFromCopy: true }),
      ...(segment.eventCount > 1 && { longestPause: Math.round(segment.longestPause) }),
    };
  }

  /** True if the current upstream has sent a termination notice. */
  isUpstreamDraining(): boolean {
    return this.active !== undefined && this.context.instances.isTerminating(this.active.instance.identity);
  }

  private get resumable(): boolean {
    return this.routed.route.resumable;
  }

  private onUpstreamSelected(instance: instanceView.Instance, firstEventIn?: ports.Milliseconds): void {
    const { active: segment } = this;
    if (segment !== undefined) {
      const isIdle = this.idleSearch.end(segment) && !this.moveController.isStopping;
      if (!isIdle || !this.attempts.takeResumption()) {
        // The next report releases the unused placement.
        return;
      }
      this.logResumption('silent');
      this.closeSegment(segment, 'silent');
    }
    this.firstEventIn = firstEventIn;
    this.send(instance, undefined);
  }

  /** Handles the lack of an upstream; the request is refused as not run only if no attempt may have run it. */
  private onNoUpstream(
    reason: types.RefusalReason,
    message: string,
    retryAfter: ports.Milliseconds | undefined,
  ): void {
    if (this.active !== undefined) {
      this.idleSearch.end(this.active);
      this.startIdleTimer();
      return;
    }
    if (this.delivery.started) {
      this.abort(message);
    } else if (this.attempts.possibleRuns > 0 && !this.resumable) {
      this.refuse('outcomeUnknown', message);
    } else {
      this.refuse(reason, message, retryAfter);
    }
  }

  private send(instance: instanceView.Instance, copy: types.MemoryCopy | undefined): void {
    const { upstreams, balancer, timers, placement, log } = this.context;
    const { request, account, upstreamPriority, deadline, dataCentres } = this.routed;
    const now = timers.now();
    const segment = new streamSegment.StreamSegment(instance, copy);
    this.active = segment;
    this.attempts.recordSend(copy !== undefined);
    balancer.recordDispatch(instance, now);
    log.debug('streamSent', {
      request: request.identity,
      upstream: instance.identity,
      lastEvent: this.delivery.lastEvent,
      copy: copy?.handle,
    });
    if (this.delivery.lastEvent !== undefined) {
      this.logContinuation(instance, copy);
    }
    const urgency = this.attributes === undefined ? undefined : upstreamPriority;
    const call: types.UpstreamCall = {
      request,
      instance,
      timeLeft: deadline - now,
      account,
      urgency,
      lastEvent: this.delivery.lastEvent,
      copy,
      origin: this.selector.origin,
      dataCentres,
    };
    segment.start(upstreams, call, this.resumable, this.createSegmentListener(segment));
    this.startIdleTimer();
    placement.scheduleReport();
  }

  private logContinuation(instance: instanceView.Instance, copy: types.MemoryCopy | undefined): void {
    const { log, metrics } = this.context;
    const { origin } = this.selector;
    const current = software.of(instance);
    log.info('streamContinues', {
      request: this.routed.request.identity,
      upstream: instance.identity,
      software: current,
      began: origin?.software,
      lastEvent: this.delivery.lastEvent,
      fromCopy: copy !== undefined,
    });
    const relation =
      origin === undefined ? 'unknown' : software.mayContinue(origin, instance) ? 'same' : 'other';
    metrics.count('streams.continued', 1, { software: relation });
  }

  private createSegmentListener(segment: streamSegment.StreamSegment): streamSegment.SegmentListener {
    const { balancer, timers } = this.context;
    return {
      started: (head) => {
        this.delivery.setHead(head);
      },
      loadReported: (load) => {
        balancer.recordReportedLoad(segment.instance.identity, load, timers.now());
      },
      event: (event) => {
        this.onEvent(segment, event);
      },
      completed: (remainder) => {
        this.onClose(() => {
          this.onEnd(segment, remainder);
        });
      },
      errorReceived: (errorResponse) => {
        this.onClose(() => {
          this.onErrorResponse(segment, errorResponse);
        });
      },
      notRun: () => {
        this.closeSegment(segment);
        this.onNotRun(segment);
      },
      broken: (failure, reason) => {
        this.onClose(() => {
          this.onBroken(segment, failure, reason);
        });
      },
    };
  }

  /** Handles the end of a segment, unless a move in progress intercepts it. */
  private onClose(handleClose: () => void): void {
    if (!this.moveController.interceptClose(handleClose)) {
      handleClose();
    }
  }

  private onEvent(segment: streamSegment.StreamSegment, event: eventSplitter.CompleteEvent): void {
    const isFirst = segment.eventCount === 1;
    const now = this.context.timers.now();
    segment.recordEvent(now);
    this.recordOrigin(segment.instance);
    this.delivery.deliver(event, now);
    if (isFirst) {
      this.context.placement.scheduleReport();
    }
    this.startIdleTimer();
  }

  /** The upstream that produces the first event decides where the stream may go on. */
  private recordOrigin(instance: instanceView.Instance): void {
    if (this.selector.origin === undefined) {
      this.selector.origin = software.originAt(instance);
      this.keepOrigin(this.selector.origin);
    }
  }

  /** Keeps the origin for the caller's return; on routes that are not resumable no caller takes a stream up. */
  private keepOrigin(origin: originTypes.StreamOrigin): void {
    const { route } = this.routed;
    if (route.resumable) {
      this.context.origins.record(this.streamKey, origin, route.timeout);
    }
  }

  private get streamKey(): originTypes.StreamKey {
    const { request, account } = this.routed;
    return { account: account ?? '', attempt: request.resumes ?? request.identity };
  }

  /** Number of output tokens delivered so far. */
  get produced(): number {
    return this.delivery.eventCount * (this.routed.service.engine?.tokensPerEvent ?? 1);
  }

  private startIdleTimer(): void {
    this.idleSearch.restartTimer(this.active, this.firstEventIn);
  }

  private closeSegment(segment: streamSegment.StreamSegment, reason?: 'silent'): void {
    if (this.active === segment) {
      segment.close(reason);
      this.active = undefined;
      this.context.balancer.recordCompletion(segment.instance.identity);
    }
  }

  private onEnd(segment: streamSegment.StreamSegment, remainder: Uint8Array): void {
    this.context.balancer.recordSuccess(segment.instance.identity);
    this.delivery.end(remainder);
    this.context.origins.recordComplete(this.streamKey);
    this.closeSegment(segment);
    this.finish({ outcome: 'answered', upstream: segment.instance.identity });
  }

  private onErrorResponse(
    segment: streamSegment.StreamSegment,
    errorResponse: streamSegment.ErrorResponse,
  ): void {
    const { balancer, timers } = this.context;
    const { head, body } = errorResponse;
    const { identity } = segment.instance;
    this.closeSegment(segment);
    balancer.recordFailure(identity, 'failure', timers.now());
    if (head.status >= 500 && this.attempts.takeResumption()) {
      this.resumeElsewhere(segment, 'upstreamFailed');
    } else if (this.delivery.started) {
      this.abort(`the next upstream responded with status ${head.status}`);
    } else {
      this.routed.caller.respond(head, body);
      this.finish({ outcome: 'answered', status: head.status, upstream: identity });
    }
  }

  /** Handles an upstream's statement that it did not run the request. */
  private onNotRun(segment: streamSegment.StreamSegment): void {
    const { retryBudget, timers, log } = this.context;
    const { service, request } = this.routed;
    this.selector.exclude(segment.instance.identity);
    log.info('attemptNotRun', { request: request.identity, upstream: segment.instance.identity });
    if (segment.copy !== undefined) {
      this.onCopyRejected(segment);
      return;
    }
    this.attempts.recordNotRun();
    if (retryBudget.take(service.name, timers.now())) {
      this.selector.select();
    } else {
      this.onNoUpstream(
        'overloaded',
        'the retry budget is exhausted',
        exchangeContext.NO_UPSTREAM_RETRY_DELAY,
      );
    }
  }

  private onBroken(
    segment: streamSegment.StreamSegment,
    failure: types.ExchangeFailure,
    reason: string,
  ): void {
    const { balancer, timers, log } = this.context;
    this.closeSegment(segment);
    if (failure === 'quarantined') {
      if (segment.copy === undefined) {
        this.attempts.recordNotRun();
      }
      this.finishQuarantined();
      return;
    }
    log.info('streamBroken', {
      request: this.routed.request.identity,
      content: exchangeContext.contentDigestOf(this.routed),
      upstream: segment.instance.identity,
      failure,
      reason,
      lastEvent: this.delivery.lastEvent,
    });
    if (exchangeContext.countsAgainstUpstream(this.context, failure)) {
      balancer.recordFailure(
        segment.instance.identity,
        failure === 'notSent' ? 'stall' : 'failure',
        timers.now(),
      );
    }
    this.selector.exclude(segment.instance.identity);
    const firstCopy = this.moveController.takeFirstCopy();
    if (failure === 'notSent' || failure === 'withheld') {
      this.onNotSent(segment);
    } else if (firstCopy !== undefined) {
      this.resumeFromCopy(firstCopy);
    } else if (this.attempts.takeResumption()) {
      this.resumeElsewhere(segment, failure);
    } else if (this.delivery.started) {
      this.abort(reason);
    } else {
      this.refuse('outcomeUnknown', 'the upstream closed the stream before its first event');
    }
  }

  private onNotSent(segment: streamSegment.StreamSegment): void {
    if (segment.copy !== undefined) {
      this.onCopyRejected(segment);
      return;
    }
    this.attempts.recordNotRun();
    this.selector.select();
  }

  private resumeElsewhere(segment: streamSegment.StreamSegment, cause: string): void {
    this.selector.exclude(segment.instance.identity);
    this.logResumption(cause);
    this.selector.select();
  }

  private logResumption(cause: string): void {
    this.context.log.info('streamResumes', {
      request: this.routed.request.identity,
      cause,
      lastEvent: this.delivery.lastEvent,
      runs: this.attempts.possibleRuns,
    });
  }

  /** Handles an engine's rejection of a resumption from a copy; only resumable streams can be sent elsewhere. */
  private onCopyRejected(segment: streamSegment.StreamSegment): void {
    if (this.attempts.takeResumption()) {
      this.resumeElsewhere(segment, 'copyRefused');
    } else {
      this.abort('the engine did not resume the stream from its memory copy');
    }
  }

  /** Moves the run to another engine; `done` is called when the source can start the next move. */
  move(targetIdentity: string, done: (outcome: placementTypes.MoveOutcome) => void): void {
    const target = this.context.instances.get(targetIdentity);
    const { active: segment } = this;
    if (this.ended || segment === undefined || segment.eventCount === 0) {
      done('ended');
    } else if (target === undefined || this.moveController.isActive || this.isExcluded(target)) {
      done('failed');
    } else {
      this.moveController.start(segment.instance, target, done);
    }
  }

  /** True if the target is temporarily excluded; checked before the source stops, since its run would be lost. */
  private isExcluded(target: instanceView.Instance): boolean {
    const { sendPolicy: policy, timers } = this.context;
    return policy.exclusionOf(target, timers.now()) !== undefined;
  }

  /** Handles the restart of the engine, which has lost this run and cannot copy it. */
  onRestart(instance: string): void {
    const { active: segment } = this;
    if (!this.ended && segment?.instance.identity === instance) {
      this.onClose(() => {
        this.onBroken(segment, 'broken', 'the upstream has restarted');
      });
    }
  }

  private resumeFromCopy(resumePoint: streamMove.ResumePoint): void {
    if (this.ended) {
      return;
    }
    if (this.active !== undefined) {
      this.closeSegment(this.active);
    }
    this.attempts.moves += 1;
    this.send(resumePoint.instance, resumePoint.copy);
  }

  private onDeadline(): void {
    if (this.delivery.started) {
      this.abort('the route allows no more time');
    } else if (this.attempts.possibleRuns === 0) {
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

  private refuse(reason: types.RefusalReason, message: string, retryAfter?: ports.Milliseconds): void {
    this.refuseWith({ reason, message, retryAfter });
  }

  private refuseWith(refusal: types.Refusal): void {
    this.routed.caller.refuse(refusal);
    this.finish({ outcome: refusal.reason, reason: refusal.message });
  }

  /** Aborts the response so that the caller can detect that it is incomplete. */
  private abort(reason: string): void {
    this.routed.caller.abort();
    this.finish({ outcome: 'interrupted', reason });
  }

  private finish(outcome: ports.LogFields): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.cancelDeadline();
    this.selector.cancel();
    this.idleSearch.cancel();
    this.cancelQuarantine();
    this.cancelOriginSearch();
    this.moveController.cancel();
    if (this.active !== undefined) {
      this.closeSegment(this.active);
    }
    if (this.attributes !== undefined) {
      const { attributes, produced } = this;
      const finished =
        outcome.outcome === 'answered' && this.delivery.started ? { facts: attributes, produced } : undefined;
      this.context.placement.removeGeneration(this.routed.request.identity, finished);
    }
    exchangeContext.logRequestEnd(this.context, this.routed, {
      ...outcome,
      began: this.selector.origin?.software,
      ...streamLogSummary.fieldsFor(this.routed, this.attributes, this.delivery, {
        produced: this.produced,
        sends: this.attempts.sends,
        moves: this.attempts.moves,
      }),
    });
  }
}

/** True for an attempt that takes up a stream of which the caller has events. */
function isTakenUp({ lastEvent, resumes }: types.TrafficRequest): boolean {
  return lastEvent !== undefined || resumes !== undefined;
}
