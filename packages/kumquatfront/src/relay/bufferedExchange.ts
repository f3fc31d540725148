/**
 * Relays one request with a buffered response. Idempotent requests may run on several upstreams; any other request
 * is retried only if it certainly did not run.
 */
import type * as slotClient from '../callSlots/slotClient.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as bufferedAttempts from './bufferedAttempts.js';
import * as responseClassification from './responseClassification.js';
import * as exchangeContext from './exchangeContext.js';
import * as plannedStop from './plannedStop.js';
import * as failedResponses from './failedResponses.js';
import type * as types from './types.js';

/** Share of the objective after which an unanswered idempotent request is also sent to a second upstream. */
const HEDGE_DELAY_SHARE = 0.7;
const MINIMUM_HEDGE_DELAY: ports.Milliseconds = 60;

/** Share of the objective for which a call waits for a slot of a fragile upstream. */
const SLOT_WAIT_SHARE = 0.5;

/** One exchange with a buffered response; see the module comment. */
export class BufferedExchange {
  private readonly context: exchangeContext.ExchangeContext;
  private readonly routed: exchangeContext.RoutedRequest;
  private readonly triedUpstreams = new Set<string>();
  private readonly openAttempts: bufferedAttempts.BufferedAttempts;
  private readonly failedResponses: failedResponses.FailedResponses;
  /** Number of attempts that may have run the request. */
  private possibleRuns = 0;
  private sendCount = 0;
  private ended = false;
  private cancelEarlyEnds: ports.Cancel = () => undefined;
  private cancelHedge: ports.Cancel = () => undefined;
  /** Withdraws the request for a slot of a fragile upstream. */
  private cancelSlot: ports.Cancel = () => undefined;

  constructor(context: exchangeContext.ExchangeContext, routed: exchangeContext.RoutedRequest) {
    this.context = context;
    this.routed = routed;
    this.openAttempts = new bufferedAttempts.BufferedAttempts(context, this.isIdempotent);
    this.failedResponses = new failedResponses.FailedResponses(context);
  }

  private get isIdempotent(): boolean {
    return this.routed.route.kind === 'idempotent';
  }

  /** Sends the request to its first upstream. */
  start(): void {
    const { timers, retryBudget } = this.context;
    const { caller, service, route } = this.routed;
    retryBudget.recordRequest(service.name, timers.now());
    caller.onDisconnect(() => {
      this.finish({ outcome: 'callerGone' });
    });
    this.cancelEarlyEnds = exchangeContext.onEarlyEnd(this.context, this.routed, {
      atDeadline: () => {
        this.onDeadline();
      },
      whenQuarantined: () => {
        this.refuseQuarantined();
      },
      beforeStop: () => {
        this.refuseWith(plannedStop.refusalFor(this.possibleRuns > 0));
      },
    });
    this.sendNext();
    if (this.isIdempotent && route.maximumAttempts > 1) {
      this.cancelHedge = timers.after(
        Math.max(MINIMUM_HEDGE_DELAY, route.objective * HEDGE_DELAY_SHARE),
        () => {
          this.sendHedge();
        },
      );
    }
  }

  private sendHedge(): void {
    const canHedge =
      !this.ended &&
      this.openAttempts.count === 1 &&
      !this.isQuarantined &&
      this.hasAttemptsLeft &&
      !this.needsSlot;
    const instance = canHedge ? this.nextUpstream() : undefined;
    if (instance !== undefined && this.takeRetry()) {
      this.context.log.debug('hedged', { request: this.routed.request.identity });
      this.send(instance);
    }
  }

  private get isQuarantined(): boolean {
    return exchangeContext.quarantineVerdictOf(this.context, this.routed) === 'quarantined';
  }

  private get hasAttemptsLeft(): boolean {
    return this.possibleRuns < this.routed.route.maximumAttempts;
  }

  /** Takes one retry from the shared budget; called only after an upstream for it was found. */
  private takeRetry(): boolean {
    const { retryBudget, timers } = this.context;
    return retryBudget.take(this.routed.service.name, timers.now());
  }

  /** Next upstream that was not tried; undefined if none is left. */
  private nextUpstream(): instanceView.Instance | undefined {
    const { balancer, timers } = this.context;
    const candidates = exchangeContext.candidatesOf(this.context, this.routed);
    return balancer.choose(candidates, this.triedUpstreams, timers.now());
  }

  /** True if the upstreams of the service are fragile: a call goes only where the coordinator knows room. */
  private get needsSlot(): boolean {
    return this.context.slots?.isNeeded(this.routed.service.name) === true;
  }

  /** Sends the request once a slot is granted. */
  private sendWithSlot(slots: slotClient.SlotClient): void {
    const { sendPolicy: policy, timers } = this.context;
    const { service, dataCentres, deadline, route } = this.routed;
    const now = timers.now();
    const excluded = exchangeContext
      .candidatesOf(this.context, this.routed)
      .filter((instance) => policy.exclusionFromChoice(instance, now) !== undefined)
      .map(({ identity }) => identity);
    this.cancelSlot = slots.take(
      {
        service: service.name,
        excluded: [...this.triedUpstreams, ...excluded],
        dataCentres,
        holdFor: deadline - now,
        patience: Math.min(route.objective * SLOT_WAIT_SHARE, deadline - now),
      },
      {
        granted: (instance, release) => {
          this.send(instance, release);
        },
        refused: (retryAfter) => {
          this.onNoSlot(retryAfter);
        },
      },
    );
  }

  private onNoSlot(retryAfter: ports.Milliseconds): void {
    if (this.possibleRuns === 0) {
      this.refuse('overloaded', 'every upstream of this service is at capacity', retryAfter);
    } else {
      this.finishFailed();
    }
  }

  private sendNext(): void {
    if (this.needsSlot && this.context.slots !== undefined) {
      this.sendWithSlot(this.context.slots);
      return;
    }
    const instance = this.nextUpstream();
    if (instance === undefined) {
      this.onNoUpstreamLeft();
    } else {
      this.send(instance);
    }
  }

  private send(instance: instanceView.Instance, release: slotClient.ReleaseSlot = () => undefined): void {
    const { request, account, deadline, dataCentres } = this.routed;
    const timeLeft = deadline - this.context.timers.now();
    this.triedUpstreams.add(instance.identity);
    this.possibleRuns += 1;
    this.sendCount += 1;
    this.openAttempts.send(
      { request, instance, timeLeft, isStream: false, account, origin: undefined, dataCentres },
      release,
      {
        responded: (attempt, head) => {
          this.onResponse(attempt, head);
        },
        failed: (attempt, failure, reason) => {
          this.onAttemptFailed(attempt, failure, reason);
        },
      },
    );
  }

  private onResponse(attempt: bufferedAttempts.Attempt, head: types.ResponseHead): void {
    const { balancer, timers, log } = this.context;
    const { instance } = attempt;
    if (this.ended) {
      return;
    }
    if (head.load !== undefined) {
      balancer.recordReportedLoad(instance.identity, head.load, timers.now());
    }
    const responseClass = responseClassification.classify(head, this.isIdempotent);
    if (responseClass === 'notRun') {
      this.possibleRuns -= 1;
      balancer.recordTurnedAway(instance);
      log.info('attemptNotRun', {
        request: this.routed.request.identity,
        upstream: instance.identity,
        status: head.status,
        pause: head.signals?.pause,
      });
      this.retryOrFinish('notRun');
      return;
    }
    if (responseClass === 'garbled') {
      balancer.recordFailure(instance.identity, 'failure', timers.now());
      this.retryOrFinish('garbled');
      return;
    }
    const body = attempt.response.body();
    if (head.status >= 500) {
      this.failedResponses.record(instance.identity, { head, body });
      this.retryOrFinish('upstreamFailed');
      return;
    }
    balancer.recordSuccess(instance.identity);
    // Responses to invalid requests need no work and would make the upstream look fast, those through another entry slow.
    if (head.status < 300 && head.relayed !== true) {
      balancer.recordAnswerTime(instance, timers.now() - attempt.sentAt, head.load);
    }
    this.failedResponses.countAgainstUpstreams();
    this.deliver(head, body, instance);
  }

  private deliver(head: types.ResponseHead, body: Uint8Array, instance?: instanceView.Instance): void {
    this.routed.caller.respond(head, body);
    this.finish({
      outcome: 'answered',
      status: head.status,
      upstream: instance?.identity,
      framing: head.framing,
      sends: this.sendCount,
    });
  }

  private onAttemptFailed(
    attempt: bufferedAttempts.Attempt,
    failure: types.ExchangeFailure,
    reason: string,
  ): void {
    const { balancer, timers, log } = this.context;
    if (this.ended) {
      return;
    }
    const { identity } = attempt.instance;
    log.info('attemptFailed', {
      request: this.routed.request.identity,
      content: exchangeContext.contentDigestOf(this.routed),
      upstream: identity,
      failure,
      reason,
    });
    if (failure === 'quarantined') {
      this.possibleRuns -= 1;
      this.refuseQuarantined();
      return;
    }
    if (exchangeContext.countsAgainstUpstream(this.context, failure)) {
      balancer.recordFailure(identity, failure === 'notSent' ? 'stall' : 'failure', timers.now());
    }
    if (responseClassification.wasNeverSent(failure)) {
      this.possibleRuns -= 1;
      this.sendNext();
      return;
    }
    this.retryOrFinish(failure);
  }

  /** Retries after an attempt without a usable response if that is permitted, otherwise responds to the caller. */
  private retryOrFinish(
    cause: 'notRun' | 'garbled' | 'broken' | 'givenUp' | 'unread' | 'upstreamFailed',
  ): void {
    if (this.openAttempts.count > 0) {
      return;
    }
    if (this.isQuarantined) {
      this.refuseQuarantined();
      return;
    }
    // The answer of another upstream would take the same room again.
    const mayRepeat = this.isIdempotent && cause !== 'givenUp';
    const mayRetry = (cause === 'notRun' || mayRepeat) && this.hasAttemptsLeft;
    if (mayRetry && this.needsSlot && this.takeRetry()) {
      this.sendNext();
      return;
    }
    const instance = mayRetry ? this.nextUpstream() : undefined;
    if (mayRetry && instance === undefined) {
      this.onNoUpstreamLeft();
      return;
    }
    if (instance !== undefined && this.takeRetry()) {
      this.send(instance);
      return;
    }
    if (cause === 'notRun' && this.possibleRuns === 0) {
      this.refuse(
        'overloaded',
        'every upstream that was tried is at capacity',
        exchangeContext.NO_UPSTREAM_RETRY_DELAY,
      );
      return;
    }
    this.finishFailed(cause);
  }

  /** Refuses the request and cancels open attempts, so that its content crashes no further upstream. */
  private refuseQuarantined(): void {
    this.refuseWith(exchangeContext.quarantineRefusal(this.context, this.routed, this.possibleRuns > 0));
  }

  private onNoUpstreamLeft(): void {
    if (this.openAttempts.count > 0) {
      return;
    }
    if (this.possibleRuns === 0 || (this.isIdempotent && this.failedResponses.last === undefined)) {
      this.refuseWith(
        exchangeContext.noUpstreamRefusal(this.context, this.routed, 'no upstream accepted the request'),
      );
      return;
    }
    this.finishFailed();
  }

  private finishFailed(cause = ''): void {
    const { last } = this.failedResponses;
    if (last !== undefined) {
      this.failedResponses.countUnlessRepeated();
      this.deliver(last.head, last.body);
      return;
    }
    this.refuse(
      'outcomeUnknown',
      cause === 'givenUp'
        ? 'the memory of an entry was nearly full, and the response was given up'
        : 'the upstream did not send a complete response',
    );
  }

  private onDeadline(): void {
    if (this.possibleRuns === 0) {
      this.refuse(
        'timeoutNotRun',
        'no upstream accepted the request before its deadline',
        exchangeContext.NO_UPSTREAM_RETRY_DELAY,
      );
    } else {
      this.openAttempts.cancelSilent();
      this.refuse('timeoutUnknown', 'the upstream did not respond before the deadline of the request');
    }
  }

  private refuse(reason: types.RefusalReason, message: string, retryAfter?: ports.Milliseconds): void {
    this.refuseWith({ reason, message, retryAfter });
  }

  private refuseWith(refusal: types.Refusal): void {
    this.routed.caller.refuse(refusal);
    this.finish({ outcome: refusal.reason, reason: refusal.message, sends: this.sendCount });
  }

  private finish(outcome: ports.LogFields): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.cancelEarlyEnds();
    this.cancelHedge();
    this.cancelSlot();
    this.openAttempts.giveUp();
    exchangeContext.logRequestEnd(this.context, this.routed, outcome);
  }
}
