/**
 * Relays one stream of events. It runs on one upstream at a time; it may be moved with its memory to another
 * engine while it runs, and where its route allows it, it goes on elsewhere after the last event that came.
 * Whatever happens underneath, the caller sees each event once and in order, or a stream that breaks off.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as placementTypes from '../placement/types.js';
import * as quarantine from '../quarantine/quarantine.js';
import type * as eventSplitter from './eventSplitter.js';
import * as exchangeContext from './exchangeContext.js';
import * as generationFacts from './generationFacts.js';
import * as placeFinder from './placeFinder.js';
import type * as placementClient from './placementClient.js';
import * as silencePatience from './silencePatience.js';
import * as streamDelivery from './streamDelivery.js';
import * as streamLeg from './streamLeg.js';
import * as streamMove from './streamMove.js';
import * as streamStory from './streamStory.js';
import type * as types from './types.js';

/** One stream; see the module comment. */
export class StreamExchange implements placementClient.OpenGeneration {
  private readonly context: exchangeContext.ExchangeContext;
  private readonly routed: exchangeContext.RoutedRequest;
  private readonly facts: placementTypes.GenerationFacts | undefined;
  private readonly delivery: streamDelivery.StreamDelivery;
  private readonly finder: placeFinder.PlaceFinder;
  private readonly moving: streamMove.StreamMove;
  private leg: streamLeg.StreamLeg | undefined;
  private ended = false;
  /** Upstreams that may have run the request from its start or a resumption. */
  private runs = 0;
  sends = 0;
  moves = 0;
  /** Set while another upstream is sought for a leg that is silent. */
  private silentSearch: { readonly leg: streamLeg.StreamLeg; readonly events: number } | undefined;
  private cancelDeadline: ports.Cancel = () => undefined;
  private cancelSilence: ports.Cancel = () => undefined;
  private cancelQuarantine: ports.Cancel = () => undefined;

  constructor(context: exchangeContext.ExchangeContext, routed: exchangeContext.RoutedRequest) {
    this.context = context;
    this.routed = routed;
    this.facts = generationFacts.of(routed);
    this.delivery = new streamDelivery.StreamDelivery(routed.caller, routed.request.lastEvent);
    this.finder = new placeFinder.PlaceFinder(context, routed, this.facts, {
      found: (instance) => {
        this.onPlace(instance);
      },
      none: (reason, message, retryAfter) => {
        this.noPlace(reason, message, retryAfter);
      },
    });
    this.moving = new streamMove.StreamMove({
      request: routed.request.identity,
      upstreams: context.upstreams,
      timers: context.timers,
      log: context.log,
      goOn: (next) => {
        this.goOnFromCopy(next);
      },
    });
  }

  start(): void {
    const { timers, allowance, placement } = this.context;
    const { caller, answerBy, service, request } = this.routed;
    allowance.requested(service.name, timers.now());
    caller.onGone(() => {
      this.finish({ outcome: 'callerGone' });
    });
    this.cancelDeadline = timers.after(answerBy - timers.now(), () => {
      this.giveUp();
    });
    this.cancelQuarantine = exchangeContext.whenQuarantined(this.context, this.routed, () => {
      this.onQuarantined();
    });
    if (this.facts !== undefined) {
      placement.opened(request.identity, this);
    }
    this.finder.find();
  }

  /**
   * Upstreams end under this content. A run that has made an event is not one of those that end theirs at the begin,
   * and may prove the content sound; any other is cancelled before it does.
   */
  private onQuarantined(): void {
    if (this.leg === undefined || this.leg.events === 0) {
      this.endQuarantined();
    }
  }

  private endQuarantined(): void {
    if (this.delivery.begun) {
      this.breakOff(quarantine.QUARANTINED);
    } else {
      const reason = this.runs === 0 ? 'quarantined' : 'outcomeUnknown';
      this.refuse(reason, quarantine.QUARANTINED);
    }
  }

  describe(): placementTypes.RunningGeneration | undefined {
    if (this.leg === undefined || this.facts === undefined) {
      return undefined;
    }
    const { produced, facts, leg } = this;
    return { facts, instance: leg.instance.identity, produced, started: leg.events > 0 };
  }

  isLeaving(): boolean {
    return this.leg !== undefined && this.context.instances.hasGivenNotice(this.leg.instance.identity);
  }

  private get resumable(): boolean {
    return this.routed.route.resumable;
  }

  private onPlace(instance: instanceView.Instance): void {
    const { leg, silentSearch: search } = this;
    this.silentSearch = undefined;
    if (leg !== undefined) {
      const cameBack = search?.leg !== leg || search.events !== leg.events || this.moving.isStopping;
      if (cameBack || !this.mayResume()) {
        // The place is given back with the next report.
        return;
      }
      this.logResumption('silent');
      this.dropLeg(leg, 'silent');
    }
    this.send(instance, undefined);
  }

  /** No engine takes it: a refusal is true only where none has run it before. */
  private noPlace(reason: types.RefusalReason, message: string, retryAfter: ports.Milliseconds): void {
    if (this.leg !== undefined) {
      this.silentSearch = undefined;
      this.watchSilence();
      return;
    }
    if (this.delivery.begun) {
      this.breakOff(message);
    } else if (this.runs > 0 && !this.resumable) {
      this.refuse('outcomeUnknown', message);
    } else {
      this.refuse(reason, message, retryAfter);
    }
  }

  private send(instance: instanceView.Instance, copy: types.MemoryCopy | undefined): void {
    const { upstreams, choice, timers, placement, log } = this.context;
    const { request, account, rank, answerBy, dataCentres } = this.routed;
    const now = timers.now();
    const leg = new streamLeg.StreamLeg(instance, copy);
    this.leg = leg;
    this.sends += 1;
    if (copy === undefined) {
      this.runs += 1;
    }
    choice.dispatched(instance, now);
    log.debug('streamSent', {
      request: request.identity,
      upstream: instance.identity,
      lastEvent: this.delivery.lastEvent,
      copy: copy?.handle,
    });
    const urgency = this.facts === undefined ? undefined : rank;
    const call: types.UpstreamCall = {
      request,
      instance,
      timeLeft: answerBy - now,
      account,
      urgency,
      lastEvent: this.delivery.lastEvent,
      copy,
      dataCentres,
    };
    leg.start(upstreams, call, this.resumable, this.listen(leg));
    this.watchSilence();
    placement.changed();
  }

  private listen(leg: streamLeg.StreamLeg): streamLeg.LegListener {
    const { choice, timers } = this.context;
    return {
      begun: (head) => {
        this.delivery.takeHead(head);
      },
      loadTold: (load) => {
        choice.loadTold(leg.instance.identity, load, timers.now());
      },
      event: (event) => {
        this.onEvent(leg, event);
      },
      ended: (rest) => {
        this.onClose(() => {
          this.onEnd(leg, rest);
        });
      },
      failureAnswered: (failure) => {
        this.onClose(() => {
          this.onFailureAnswer(leg, failure);
        });
      },
      notRun: () => {
        this.dropLeg(leg);
        this.onNotRun(leg);
      },
      broken: (failure, reason) => {
        this.onClose(() => {
          this.onBroken(leg, failure, reason);
        });
      },
    };
  }

  /** Judges how a leg's stream closed, unless a move decides what that means. */
  private onClose(judge: () => void): void {
    if (!this.moving.takesClose(judge)) {
      judge();
    }
  }

  private onEvent(leg: streamLeg.StreamLeg, event: eventSplitter.WholeEvent): void {
    const first = leg.events === 1;
    this.delivery.hand(event, this.context.timers.now());
    if (first) {
      this.context.placement.changed();
    }
    this.watchSilence();
  }

  /** Output tokens made so far. */
  get produced(): number {
    return this.delivery.events * (this.routed.service.engine?.tokensPerEvent ?? 1);
  }

  /**
   * A resumable stream does not wait for a silent upstream. That one is left only when another takes the stream:
   * it may only pause, and a stream whose engine is at work must not break off because nobody else has room.
   */
  private watchSilence(): void {
    this.cancelSilence();
    const { leg } = this;
    if (!this.resumable || leg === undefined) {
      return;
    }
    const patience = silencePatience.of(this.routed.route, leg.events > 0);
    this.cancelSilence = this.context.timers.after(patience, () => {
      if (this.leg === leg && !this.ended && !this.moving.isStopping && this.hasAttemptsLeft) {
        this.silentSearch = { leg, events: leg.events };
        this.finder.exclude(leg.instance.identity);
        this.finder.find();
      }
    });
  }

  private get hasAttemptsLeft(): boolean {
    return this.resumable && this.runs < this.routed.route.maximumAttempts;
  }

  /** True where the stream may be sent once more, which draws on the shared budget. */
  private mayResume(): boolean {
    const { allowance, timers } = this.context;
    const isQuarantined = exchangeContext.verdictOf(this.context, this.routed) === 'quarantined';
    return this.hasAttemptsLeft && !isQuarantined && allowance.take(this.routed.service.name, timers.now());
  }

  private dropLeg(leg: streamLeg.StreamLeg, why?: 'silent'): void {
    if (this.leg === leg) {
      leg.close(why);
      this.leg = undefined;
      this.context.choice.ended(leg.instance.identity);
    }
  }

  private onEnd(leg: streamLeg.StreamLeg, rest: Uint8Array): void {
    this.context.choice.succeeded(leg.instance.identity);
    this.delivery.end(rest);
    this.dropLeg(leg);
    this.finish({ outcome: 'answered', upstream: leg.instance.identity });
  }

  private onFailureAnswer(leg: streamLeg.StreamLeg, failure: streamLeg.FailureAnswer): void {
    const { choice, timers } = this.context;
    const { head, body } = failure;
    const { identity } = leg.instance;
    this.dropLeg(leg);
    choice.failed(identity, 'failure', timers.now());
    if (head.status >= 500 && this.mayResume()) {
      this.afterBreak(leg, 'upstreamFailed');
    } else if (this.delivery.begun) {
      this.breakOff(`the next upstream answered ${head.status}`);
    } else {
      this.routed.caller.whole(head, body);
      this.finish({ outcome: 'answered', status: head.status, upstream: identity });
    }
  }

  /** The upstream has certainly not run what was sent to it. */
  private onNotRun(leg: streamLeg.StreamLeg): void {
    const { allowance, timers, log } = this.context;
    const { service, request } = this.routed;
    this.finder.exclude(leg.instance.identity);
    log.info('attemptNotRun', { request: request.identity, upstream: leg.instance.identity });
    if (leg.copy !== undefined) {
      this.afterCopyRefused(leg);
      return;
    }
    this.runs -= 1;
    if (allowance.take(service.name, timers.now())) {
      this.finder.find();
    } else {
      this.noPlace('overloaded', 'no repeat is left', exchangeContext.NO_UPSTREAM_RETRY);
    }
  }

  private onBroken(leg: streamLeg.StreamLeg, failure: types.ExchangeFailure, reason: string): void {
    const { choice, timers, log } = this.context;
    this.dropLeg(leg);
    if (failure === 'quarantined') {
      this.runs -= leg.copy === undefined ? 1 : 0;
      this.endQuarantined();
      return;
    }
    log.info('streamBroken', {
      request: this.routed.request.identity,
      content: exchangeContext.contentOf(this.routed),
      upstream: leg.instance.identity,
      failure,
      reason,
      lastEvent: this.delivery.lastEvent,
    });
    if (failure !== 'withheld') {
      choice.failed(leg.instance.identity, failure === 'notSent' ? 'stall' : 'failure', timers.now());
    }
    this.finder.exclude(leg.instance.identity);
    const firstCopy = this.moving.takeFirstCopy();
    if (failure === 'notSent' || failure === 'withheld') {
      this.onNotSent(leg);
    } else if (firstCopy !== undefined) {
      this.goOnFromCopy(firstCopy);
    } else if (this.mayResume()) {
      this.afterBreak(leg, failure);
    } else if (this.delivery.begun) {
      this.breakOff(reason);
    } else {
      this.refuse('outcomeUnknown', 'the upstream broke off before its first event');
    }
  }

  private onNotSent(leg: streamLeg.StreamLeg): void {
    if (leg.copy !== undefined) {
      this.afterCopyRefused(leg);
      return;
    }
    this.runs -= 1;
    this.finder.find();
  }

  private afterBreak(leg: streamLeg.StreamLeg, cause: string): void {
    this.finder.exclude(leg.instance.identity);
    this.logResumption(cause);
    this.finder.find();
  }

  private logResumption(cause: string): void {
    this.context.log.info('streamResumes', {
      request: this.routed.request.identity,
      cause,
      lastEvent: this.delivery.lastEvent,
      runs: this.runs,
    });
  }

  /** The engine with the copy did not take the run over: resumable streams begin elsewhere, others are lost. */
  private afterCopyRefused(leg: streamLeg.StreamLeg): void {
    if (this.mayResume()) {
      this.afterBreak(leg, 'copyRefused');
    } else {
      this.breakOff('the engine with the copy did not take it');
    }
  }

  /** Moves the run to another engine; `done` is called once the source is free for the next move. */
  move(targetIdentity: string, done: (outcome: placementTypes.MoveOutcome) => void): void {
    const target = this.context.instances.get(targetIdentity);
    const { leg } = this;
    if (this.ended || leg === undefined || leg.events === 0) {
      done('ended');
    } else if (target === undefined || this.moving.isActive || this.isHeld(target)) {
      done('failed');
    } else {
      this.moving.start(leg.instance, target, done);
    }
  }

  /** Asked before the source stops: what goes on from a copy is lost where it is not sent. */
  private isHeld(target: instanceView.Instance): boolean {
    const { rules, timers } = this.context;
    return rules.holdOf(target, timers.now()) !== undefined;
  }

  /** The engine's new start holds nothing of this run, and a move off it has nothing to copy. */
  onRestart(instance: string): void {
    const { leg } = this;
    if (!this.ended && leg?.instance.identity === instance) {
      this.onClose(() => {
        this.onBroken(leg, 'broken', 'the upstream has started anew');
      });
    }
  }

  private goOnFromCopy(next: streamMove.Continuation): void {
    if (this.ended) {
      return;
    }
    if (this.leg !== undefined) {
      this.dropLeg(this.leg);
    }
    this.moves += 1;
    this.send(next.instance, next.copy);
  }

  private giveUp(): void {
    if (this.delivery.begun) {
      this.breakOff('the route allows no more time');
    } else if (this.runs === 0) {
      this.refuse('timeoutNotRun', 'no place came free in time', exchangeContext.NO_UPSTREAM_RETRY);
    } else {
      this.refuse('timeoutUnknown', 'the upstream did not begin in time');
    }
  }

  private refuse(reason: types.RefusalReason, message: string, retryAfter?: ports.Milliseconds): void {
    this.routed.caller.refuse({ reason, message, retryAfter });
    this.finish({ outcome: reason, reason: message });
  }

  /** The caller must see that its answer is incomplete. */
  private breakOff(reason: string): void {
    this.routed.caller.abort();
    this.finish({ outcome: 'interrupted', reason });
  }

  private finish(outcome: ports.LogFields): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.cancelDeadline();
    this.finder.cancel();
    this.cancelSilence();
    this.cancelQuarantine();
    this.moving.cancel();
    if (this.leg !== undefined) {
      this.dropLeg(this.leg);
    }
    if (this.facts !== undefined) {
      const { facts, produced } = this;
      const finished =
        outcome.outcome === 'answered' && this.delivery.begun ? { facts, produced } : undefined;
      this.context.placement.closed(this.routed.request.identity, finished);
    }
    exchangeContext.logEnd(this.context, this.routed, {
      ...outcome,
      ...streamStory.of(this.routed, this.facts, this.delivery, this),
    });
  }
}
