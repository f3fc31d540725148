/**
 * Relays one event stream. It runs on one upstream at a time, can be moved with its memory to another engine, and, if
 * its route permits, resumes on another upstream after the last received event. The caller receives each event once
 * and in order, or an aborted stream.
 */
import * as flowControl from '../flowControl/flowControl.js';
import * as stallWatch from '../flowControl/stallWatch.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as placementTypes from '../placement/types.js';
import type * as eventSplitter from './eventSplitter.js';
import type * as trafficTypes from '../traffic/types.js';
import * as callerGap from './callerGap.js';
import * as exchangeContext from './exchangeContext.js';
import * as generationAttributes from './generationAttributes.js';
import * as generationReport from './generationReport.js';
import * as upstreamSelector from './upstreamSelector.js';
import type * as placementClient from './placementClient.js';
import * as idleSearch from './idleSearch.js';
import * as streamAttempts from './streamAttempts.js';
import * as streamCall from './streamCall.js';
import * as streamContinuation from './streamContinuation.js';
import * as streamDelivery from './streamDelivery.js';
import * as streamRecovery from './streamRecovery.js';
import * as streamSegment from './streamSegment.js';
import * as streamMove from './streamMove.js';
import * as streamOutcome from './streamOutcome.js';
import * as streamLogSummary from './streamLogSummary.js';
import type * as types from './types.js';

/** One stream exchange; see the module comment. */
export class StreamExchange implements placementClient.OpenGeneration {
  private readonly attributes: placementTypes.GenerationAttributes | undefined;
  private readonly delivery: streamDelivery.StreamDelivery;
  private readonly flow: flowControl.FlowControl;
  private readonly selector: upstreamSelector.UpstreamSelector;
  private readonly moveController: streamMove.StreamMove;
  /** Open segment; undefined while the stream has no upstream. */
  private active: streamSegment.StreamSegment | undefined;
  private ended = false;
  private readonly attempts: streamAttempts.StreamAttempts;
  private readonly idleSearch: idleSearch.IdleSearch;
  private readonly recovery: streamRecovery.StreamRecovery;
  private readonly continuation: streamContinuation.StreamContinuation;
  private readonly outcome: streamOutcome.StreamOutcome;
  /** Forecast time from the last placement to the first event. */
  private firstEventIn: ports.Milliseconds | undefined;
  private cancelEarlyEnds: ports.Cancel = () => undefined;
  private stopStallWatch: ports.Cancel = () => undefined;

  constructor(
    private readonly context: exchangeContext.ExchangeContext,
    private readonly routed: exchangeContext.RoutedRequest,
  ) {
    this.attributes = generationAttributes.forRequest(routed);
    this.continuation = new streamContinuation.StreamContinuation(context, routed);
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
    this.flow = new flowControl.FlowControl({
      now: () => context.timers.now(),
      onBlocked: () => {
        this.onCallerBlocked();
      },
      onDrained: () => {
        this.onCallerDrained();
      },
    });
    this.delivery = new streamDelivery.StreamDelivery(
      routed.caller,
      routed.request.lastEvent,
      (canTakeMore) => {
        this.flow.recordWrite(canTakeMore);
      },
    );
    this.outcome = new streamOutcome.StreamOutcome(context, routed, {
      attempts: this.attempts,
      delivery: this.delivery,
      finish: (outcome) => {
        this.finish(outcome);
      },
    });
    this.selector = new upstreamSelector.UpstreamSelector(
      context,
      routed,
      this.attributes,
      this.continuation,
      {
        selected: (instance, firstEventIn) => {
          this.onUpstreamSelected(instance, firstEventIn);
        },
        unavailable: (reason, message, retryAfter) => {
          this.onNoUpstream(reason, message, retryAfter);
        },
      },
    );
    this.recovery = this.createRecovery();
    this.moveController = new streamMove.StreamMove({
      request: routed.request.identity,
      upstreams: context.upstreams,
      timers: context.timers,
      log: context.log,
      readToEnd: () => {
        this.flow.readToEnd();
      },
      resumeFrom: (resumePoint) => {
        this.resumeFromCopy(resumePoint);
      },
    });
  }

  private createRecovery(): streamRecovery.StreamRecovery {
    const { attempts, delivery, selector, outcome } = this;
    return new streamRecovery.StreamRecovery(this.context, this.routed, {
      ...{ attempts, delivery, selector, outcome },
      closeSegment: (segment) => {
        this.closeSegment(segment);
      },
      takeFirstCopy: () => this.moveController.takeFirstCopy(),
      resumeFromCopy: (resumePoint) => {
        this.resumeFromCopy(resumePoint);
      },
      respond: ({ instance }, { head, body }) => {
        this.routed.caller.respond(head, body);
        this.finish({ outcome: 'answered', status: head.status, upstream: instance.identity });
      },
      onNoUpstream: (reason, message, retryAfter) => {
        this.onNoUpstream(reason, message, retryAfter);
      },
    });
  }

  /** Finds out where the stream may run, and selects its first upstream. */
  start(): void {
    this.routed.caller.onDisconnect(() => {
      this.finish({ outcome: 'callerGone' });
    });
    this.routed.caller.onDrain(() => {
      this.flow.recordDrain();
    });
    this.cancelEarlyEnds = exchangeContext.onEarlyEnd(this.context, this.routed, {
      atDeadline: () => {
        this.outcome.endAtDeadline();
      },
      whenQuarantined: () => {
        this.onQuarantined();
      },
      beforeStop: () => {
        this.outcome.endBeforeStop();
      },
    });
    this.continuation.resolve((resolution) => {
      if (!this.ended) {
        this.onResolved(resolution);
      }
    });
  }

  private onResolved(resolution: streamContinuation.Resolution): void {
    const { timers, retryBudget, placement } = this.context;
    const { request, service } = this.routed;
    if (resolution.state === 'refused') {
      this.outcome.refuseWith(resolution.refusal);
      return;
    }
    if (resolution.state === 'elsewhere') {
      this.restartAt(resolution.service);
      return;
    }
    retryBudget.recordRequest(service.name, timers.now());
    if (this.attributes !== undefined) {
      placement.addGeneration(request.identity, this);
    }
    this.selector.select();
  }

  /** Begins anew at the service, among those of the route, whose upstream produced the first event. */
  private restartAt(service: trafficTypes.Service): void {
    this.ended = true;
    this.cancelEarlyEnds();
    new StreamExchange(this.context, { ...this.routed, service }).start();
  }

  /**
   * Ends the stream when its content is quarantined. A run that has produced an event continues, since its completion
   * can show that the content is harmless; any other is cancelled before it can crash the upstream.
   */
  private onQuarantined(): void {
    if (this.active === undefined || this.active.eventCount === 0) {
      this.outcome.endQuarantined();
    }
  }

  /** State of the run for reports to the coordinator; undefined while no upstream is assigned. */
  describe(): placementTypes.RunningGeneration | undefined {
    if (this.active === undefined || this.attributes === undefined) {
      return undefined;
    }
    return generationReport.describe(this.active, this.attributes, this.produced);
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
      this.recovery.logResumption('silent');
      this.closeSegment(segment, 'silent');
    }
    this.firstEventIn = firstEventIn;
    this.send(instance, undefined);
  }

  private onNoUpstream(
    reason: types.RefusalReason,
    message: string,
    retryAfter: ports.Milliseconds | undefined,
  ): void {
    if (this.active !== undefined) {
      this.idleSearch.end(this.active);
      this.restartIdleTimer();
      return;
    }
    this.outcome.endWithoutUpstream(reason, message, retryAfter);
  }

  private send(instance: instanceView.Instance, copy: types.MemoryCopy | undefined): void {
    const { upstreams, balancer, timers, placement, log } = this.context;
    const { request } = this.routed;
    const now = timers.now();
    const segment = new streamSegment.StreamSegment(instance, copy, this.context, this.routed.route, () =>
      this.flow.readingTime(),
    );
    this.active = segment;
    this.flow.attach(segment);
    this.attempts.recordSend(copy !== undefined);
    balancer.recordDispatch(instance, now);
    log.debug('streamSent', {
      request: request.identity,
      upstream: instance.identity,
      lastEvent: this.delivery.lastEvent,
      copy: copy?.handle,
    });
    this.continuation.recordSend(instance, this.delivery.lastEvent, copy);
    const call = streamCall.create(this.routed, instance, now, {
      isGeneration: this.attributes !== undefined,
      lastEvent: this.delivery.lastEvent,
      copy,
      origin: this.continuation.origin,
    });
    segment.start(upstreams, call, this.resumable, this.createSegmentListener(segment));
    this.restartIdleTimer();
    placement.scheduleReport();
  }

  /** The silence of a stream that is not read says nothing about its upstream. */
  private restartIdleTimer(): void {
    if (this.flow.isPaused) {
      this.idleSearch.cancel();
    } else {
      this.idleSearch.restartTimer(this.active, this.firstEventIn);
    }
  }

  private onCallerBlocked(): void {
    const { caller, route } = this.routed;
    if (this.ended) {
      return;
    }
    const limit = Math.max(stallWatch.MINIMUM_CALLER_STALL, callerGap.forRoute(route));
    this.stopStallWatch = stallWatch.start({
      ...{ timers: this.context.timers, limit },
      takenBytes: () => caller.takenBytes(),
      onStalled: () => {
        caller.abort();
        this.finish({ outcome: 'callerGone', reason: `the caller took nothing for ${limit} ms` });
      },
    });
  }

  private onCallerDrained(): void {
    this.stopStallWatch();
    if (!this.ended) {
      this.restartIdleTimer();
    }
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
      readEnded: () => {
        this.onReadEnded();
      },
      held: (isHeld) => {
        this.flow.recordHold(isHeld);
        this.restartIdleTimer();
      },
      completed: (remainder) => {
        const handleStopped = (): void => {
          this.recovery.onBroken(segment, 'broken', 'the upstream was told to stop the stream');
        };
        const isUnconfirmed = segment.framing === 'connection';
        this.onClose(
          () => {
            this.onEnd(segment, remainder);
          },
          isUnconfirmed ? { source: segment.instance.identity, handleStopped } : undefined,
        );
      },
      errorReceived: (errorResponse) => {
        this.onClose(() => {
          this.recovery.onErrorResponse(segment, errorResponse);
        });
      },
      notRun: () => {
        this.closeSegment(segment);
        this.recovery.onNotRun(segment);
      },
      broken: (failure, reason) => {
        this.onClose(() => {
          this.recovery.onBroken(segment, failure, reason);
        });
      },
    };
  }

  /** Handles the end of a segment, unless a move in progress intercepts it. */
  private onClose(handleClose: () => void, unconfirmed?: streamMove.UnconfirmedClose): void {
    if (!this.moveController.interceptClose(handleClose, unconfirmed)) {
      handleClose();
    }
  }

  private onEvent(segment: streamSegment.StreamSegment, event: eventSplitter.CompleteEvent): void {
    const isFirst = segment.eventCount === 1;
    const now = this.context.timers.now();
    segment.recordEvent();
    this.continuation.recordEvent(segment.instance);
    this.delivery.deliver(event, now);
    if (isFirst) {
      this.context.placement.scheduleReport();
    }
  }

  /** Writes the events of one read in one piece, unless one of them has ended the stream. */
  private onReadEnded(): void {
    if (!this.ended) {
      this.delivery.flush();
      this.restartIdleTimer();
    }
  }

  /** Output tokens delivered so far. */
  get produced(): number {
    return this.delivery.eventCount * (this.routed.service.engine?.tokensPerEvent ?? 1);
  }

  private closeSegment(segment: streamSegment.StreamSegment | undefined, reason?: 'silent'): void {
    if (segment !== undefined && this.active === segment) {
      segment.close(reason);
      this.active = undefined;
      this.flow.detach();
      this.context.balancer.recordCompletion(segment.instance.identity);
    }
  }

  private onEnd(segment: streamSegment.StreamSegment, remainder: Uint8Array): void {
    this.context.balancer.recordSuccess(segment.instance.identity);
    this.delivery.end(remainder);
    // A caller that finds a stream incomplete can take it up as long as its origin is known.
    if (segment.framing !== 'connection') {
      this.continuation.recordComplete();
    }
    this.closeSegment(segment);
    this.finish({ outcome: 'answered', upstream: segment.instance.identity });
  }

  /** Moves the run to another engine; `done` is called when the source can start the next move. */
  move(targetIdentity: string, done: (outcome: placementTypes.MoveOutcome) => void): void {
    const target = this.context.instances.get(targetIdentity);
    const { active: segment } = this;
    if (this.ended || segment === undefined || segment.eventCount === 0) {
      done('ended');
    } else if (
      target === undefined ||
      this.moveController.isActive ||
      exchangeContext.isExcluded(this.context, target)
    ) {
      done('failed');
    } else {
      this.moveController.start(segment.instance, target, done);
    }
  }

  /** Handles the restart of the engine, which has lost this run and cannot copy it. */
  onRestart(instance: string): void {
    const { active: segment } = this;
    if (!this.ended && segment?.instance.identity === instance) {
      this.onClose(() => {
        this.recovery.onBroken(segment, 'broken', 'the upstream has restarted');
      });
    }
  }

  private resumeFromCopy(resumePoint: streamMove.ResumePoint): void {
    if (this.ended) {
      return;
    }
    this.closeSegment(this.active);
    this.attempts.moves += 1;
    this.send(resumePoint.instance, resumePoint.copy);
  }

  private finish(outcome: ports.LogFields): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.cancelEarlyEnds();
    this.stopStallWatch();
    this.selector.cancel();
    this.idleSearch.cancel();
    this.continuation.cancel();
    this.moveController.cancel();
    this.closeSegment(this.active);
    if (this.attributes !== undefined) {
      const { attributes, produced } = this;
      const finished =
        outcome.outcome === 'answered' && this.delivery.started ? { facts: attributes, produced } : undefined;
      this.context.placement.removeGeneration(this.routed.request.identity, finished);
    }
    exchangeContext.logRequestEnd(this.context, this.routed, {
      ...outcome,
      began: this.continuation.origin?.software,
      ...streamLogSummary.fieldsFor(this.routed, this.attributes, this.delivery, {
        produced: this.produced,
        sends: this.attempts.sends,
        moves: this.attempts.moves,
      }),
    });
  }
}
