/**
 * Relays one request whose answer is handed over whole. An idempotent one may run on several upstreams; any
 * other is sent again only where it is certain that it has not run.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as quarantine from '../quarantine/quarantine.js';
import * as answerRules from './answerRules.js';
import * as exchangeContext from './exchangeContext.js';
import type * as types from './types.js';

/**
 * An idempotent request without an answer for this share of its objective is sent to a second upstream too:
 * one in a hundred of plain calls takes longer, and a hanging upstream costs a fraction of the objective only.
 */
const HEDGE_SHARE = 0.7;
const SHORTEST_HEDGE: ports.Milliseconds = 60;

interface Attempt {
  readonly instance: instanceView.Instance;
  readonly cancel: types.CancelExchange;
  head: types.UpstreamHead | undefined;
  readonly chunks: Uint8Array[];
}

/** One plain exchange; see the module comment. */
export class PlainExchange {
  private readonly context: exchangeContext.ExchangeContext;
  private readonly routed: exchangeContext.RoutedRequest;
  private readonly tried = new Set<string>();
  private readonly open = new Set<Attempt>();
  /** Upstreams that may have run the request. */
  private runs = 0;
  private sends = 0;
  private ended = false;
  private lastFailure: { head: types.UpstreamHead; body: Uint8Array } | undefined;
  /** Upstreams that answered with a failure of their own. */
  private readonly failedOn: string[] = [];
  private cancelDeadline: ports.Cancel = () => undefined;
  private cancelHedge: ports.Cancel = () => undefined;
  private cancelQuarantine: ports.Cancel = () => undefined;

  constructor(context: exchangeContext.ExchangeContext, routed: exchangeContext.RoutedRequest) {
    this.context = context;
    this.routed = routed;
  }

  private get repeatable(): boolean {
    return this.routed.route.kind === 'idempotent';
  }

  start(): void {
    const { timers, allowance } = this.context;
    const { caller, answerBy, service, route } = this.routed;
    allowance.requested(service.name, timers.now());
    caller.onGone(() => {
      this.finish({ outcome: 'callerGone' });
    });
    this.cancelDeadline = timers.after(answerBy - timers.now(), () => {
      this.giveUp();
    });
    this.cancelQuarantine = exchangeContext.whenQuarantined(this.context, this.routed, () => {
      this.refuseQuarantined();
    });
    this.sendNext();
    if (this.repeatable && route.maximumAttempts > 1) {
      this.cancelHedge = timers.after(Math.max(SHORTEST_HEDGE, route.objective * HEDGE_SHARE), () => {
        this.hedge();
      });
    }
  }

  private hedge(): void {
    const mayHedge = !this.ended && this.open.size === 1 && !this.isQuarantined && this.hasAttemptsLeft;
    const instance = mayHedge ? this.nextUpstream() : undefined;
    if (instance !== undefined && this.takeRepeat()) {
      this.context.log.debug('hedged', { request: this.routed.request.identity });
      this.send(instance);
    }
  }

  private get isQuarantined(): boolean {
    return exchangeContext.verdictOf(this.context, this.routed) === 'quarantined';
  }

  private get hasAttemptsLeft(): boolean {
    return this.runs < this.routed.route.maximumAttempts;
  }

  /** Draws a repeat from the budget that all entries share, once it is known where the request would go. */
  private takeRepeat(): boolean {
    const { allowance, timers } = this.context;
    return allowance.take(this.routed.service.name, timers.now());
  }

  /** An upstream that the request has not been sent to; undefined where none is left. */
  private nextUpstream(): instanceView.Instance | undefined {
    const { choice, timers } = this.context;
    const candidates = exchangeContext.candidatesOf(this.context, this.routed);
    return choice.choose(candidates, this.tried, timers.now());
  }

  private sendNext(): void {
    const instance = this.nextUpstream();
    if (instance === undefined) {
      this.noUpstreamLeft();
    } else {
      this.send(instance);
    }
  }

  private send(instance: instanceView.Instance): void {
    const { choice, timers, upstreams } = this.context;
    const { request, account, answerBy, dataCentres } = this.routed;
    const now = timers.now();
    this.tried.add(instance.identity);
    this.runs += 1;
    this.sends += 1;
    choice.dispatched(instance, now);
    const chunks: Uint8Array[] = [];
    const listener: types.ExchangeListener = {
      head: (head) => {
        attempt.head = head;
      },
      data: (bytes) => {
        chunks.push(bytes);
      },
      end: () => {
        this.onWhole(attempt);
      },
      failed: (failure, reason) => {
        this.onFailed(attempt, failure, reason);
      },
    };
    const timeLeft = answerBy - now;
    const cancel = upstreams.send({ request, instance, timeLeft, account, dataCentres }, listener);
    const attempt: Attempt = { instance, cancel, head: undefined, chunks };
    this.open.add(attempt);
  }

  private close(attempt: Attempt): void {
    if (this.open.delete(attempt)) {
      this.context.choice.ended(attempt.instance.identity);
    }
  }

  private onWhole(attempt: Attempt): void {
    const { choice, timers, log } = this.context;
    const { head, instance } = attempt;
    this.close(attempt);
    if (this.ended || head === undefined) {
      return;
    }
    if (head.load !== undefined) {
      choice.loadTold(instance.identity, head.load, timers.now());
    }
    const verdict = answerRules.judge(head, this.repeatable);
    if (verdict === 'notRun') {
      this.runs -= 1;
      log.info('attemptNotRun', {
        request: this.routed.request.identity,
        upstream: instance.identity,
        status: head.status,
        pause: head.signals?.pause,
      });
      this.tryAgain('notRun');
      return;
    }
    if (verdict === 'garbled') {
      choice.failed(instance.identity, 'failure', timers.now());
      this.tryAgain('garbled');
      return;
    }
    const body = Buffer.concat(attempt.chunks);
    if (head.status >= 500) {
      this.failedOn.push(instance.identity);
      this.lastFailure = { head, body };
      this.tryAgain('upstreamFailed');
      return;
    }
    choice.succeeded(instance.identity);
    this.blame();
    this.hand(head, body, instance);
  }

  /** Counts this call against the upstreams that failed it, once it is known that the call is not at fault. */
  private blame(): void {
    const { choice, timers } = this.context;
    for (const identity of this.failedOn) {
      choice.failed(identity, 'failure', timers.now());
    }
  }

  private hand(head: types.UpstreamHead, body: Uint8Array, instance?: instanceView.Instance): void {
    this.routed.caller.whole(head, body);
    this.finish({
      outcome: 'answered',
      status: head.status,
      upstream: instance?.identity,
      sends: this.sends,
    });
  }

  private onFailed(attempt: Attempt, failure: types.ExchangeFailure, reason: string): void {
    const { choice, timers, log } = this.context;
    this.close(attempt);
    if (this.ended) {
      return;
    }
    const { identity } = attempt.instance;
    log.info('attemptFailed', {
      request: this.routed.request.identity,
      content: exchangeContext.contentOf(this.routed),
      upstream: identity,
      failure,
      reason,
    });
    if (failure === 'quarantined') {
      this.runs -= 1;
      this.refuseQuarantined();
      return;
    }
    if (failure !== 'withheld') {
      choice.failed(identity, failure === 'notSent' ? 'stall' : 'failure', timers.now());
    }
    if (failure === 'notSent' || failure === 'withheld') {
      this.runs -= 1;
      this.sendNext();
      return;
    }
    this.tryAgain(failure);
  }

  /** After an attempt that gave no answer: sends another where that is allowed, else tells the caller. */
  private tryAgain(cause: 'notRun' | 'garbled' | 'broken' | 'upstreamFailed'): void {
    if (this.open.size > 0) {
      return;
    }
    if (this.isQuarantined) {
      this.refuseQuarantined();
      return;
    }
    const mayGoOn = (cause === 'notRun' || this.repeatable) && this.hasAttemptsLeft;
    const instance = mayGoOn ? this.nextUpstream() : undefined;
    if (mayGoOn && instance === undefined) {
      this.noUpstreamLeft();
      return;
    }
    if (instance !== undefined && this.takeRepeat()) {
      this.send(instance);
      return;
    }
    if (cause === 'notRun' && this.runs === 0) {
      this.refuse('overloaded', 'every upstream that was asked is full', exchangeContext.NO_UPSTREAM_RETRY);
      return;
    }
    this.failUnknown();
  }

  /** Upstreams end under this content: whatever still runs is cancelled, so that it may not end one more. */
  private refuseQuarantined(): void {
    const reason = this.runs === 0 ? 'quarantined' : 'outcomeUnknown';
    this.refuse(reason, quarantine.QUARANTINED);
  }

  private noUpstreamLeft(): void {
    if (this.open.size > 0) {
      return;
    }
    if (this.runs === 0 || (this.repeatable && this.lastFailure === undefined)) {
      const { reason, message, retryAfter } = exchangeContext.noneLeft(
        this.context,
        this.routed,
        'no upstream took it',
      );
      this.refuse(reason, message, retryAfter);
      return;
    }
    this.failUnknown();
  }

  private failUnknown(): void {
    if (this.lastFailure !== undefined) {
      // Two upstreams failed it alike: the call is at fault, and neither of them is to be avoided.
      if (this.failedOn.length === 1) {
        this.blame();
      }
      this.hand(this.lastFailure.head, this.lastFailure.body);
      return;
    }
    this.refuse('outcomeUnknown', 'the upstream gave no whole answer');
  }

  private giveUp(): void {
    if (this.runs === 0) {
      this.refuse('timeoutNotRun', 'no upstream took it in time', exchangeContext.NO_UPSTREAM_RETRY);
    } else {
      const { choice, timers } = this.context;
      for (const attempt of this.open) {
        choice.failed(attempt.instance.identity, 'stall', timers.now());
        attempt.cancel('silent');
      }
      this.refuse('timeoutUnknown', 'the upstream did not answer in time');
    }
  }

  private refuse(reason: types.RefusalReason, message: string, retryAfter?: ports.Milliseconds): void {
    this.routed.caller.refuse({ reason, message, retryAfter });
    this.finish({ outcome: reason, reason: message, sends: this.sends });
  }

  private finish(outcome: ports.LogFields): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.cancelDeadline();
    this.cancelHedge();
    this.cancelQuarantine();
    for (const attempt of [...this.open]) {
      attempt.cancel();
      this.close(attempt);
    }
    exchangeContext.logEnd(this.context, this.routed, outcome);
  }
}
