/**
 * What upstreams have told this entry about how much they want to be sent.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as types from './types.js';

/** No upstream is left alone for longer because of one answer, whatever that says. */
const LONGEST_PAUSE: ports.Milliseconds = 30_000;

/** How often pauses that are over are let go. */
const EXPIRY_INTERVAL: ports.Milliseconds = 1_000;

/** Upstreams whose unreadable signals are remembered, so that each is logged once. */
const MOST_UNREADABLE = 1_000;

/** A rate limit that an upstream has named. */
export interface NamedRateLimit {
  /** Requests a second from all senders together. */
  readonly perSecond: number;
  readonly heardAt: ports.Milliseconds;
}

/** What the book is made from. */
export interface SignalBookOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
}

/** The book; see the module comment. */
export class SignalBook {
  private readonly options: SignalBookOptions;
  private readonly pausedUntil = new Map<string, ports.Milliseconds>();
  private readonly rateLimits = new Map<string, NamedRateLimit>();
  private readonly leaving = new Set<string>();
  private readonly unreadable = new Set<string>();

  constructor(options: SignalBookOptions) {
    this.options = options;
    options.timers.every(
      () => EXPIRY_INTERVAL,
      () => {
        this.expire();
      },
    );
  }

  /**
   * Takes in what an answer says.
   *
   * @param instance - the upstream that answered
   * @param signals - what it says
   * @param sentAt - when the request was sent that it answers
   */
  take(instance: instanceView.Instance, signals: types.UpstreamSignals, sentAt: ports.Milliseconds): void {
    const { pause, rateLimit, leaving, unreadable } = signals;
    if (pause !== undefined) {
      this.takePause(instance, pause);
    }
    if (rateLimit !== undefined) {
      this.takeRateLimit(instance, rateLimit);
    } else {
      this.takeNoRateLimit(instance, sentAt);
    }
    if (leaving && !this.leaving.has(instance.identity)) {
      this.leaving.add(instance.identity);
      this.tell(instance, 'upstreamLeaving', {});
    }
    for (const signal of unreadable) {
      this.noteUnreadable(instance, signal);
    }
  }

  /** Forgets an upstream that has started anew: nothing that it said counts for the new start. */
  forget(identity: string): void {
    this.pausedUntil.delete(identity);
    this.rateLimits.delete(identity);
    this.leaving.delete(identity);
  }

  private takePause(instance: instanceView.Instance, pause: ports.Milliseconds): void {
    const { identity } = instance;
    const known = this.pausedUntil.get(identity);
    const length = Math.min(pause, LONGEST_PAUSE);
    this.pausedUntil.set(identity, Math.max(known ?? 0, this.options.timers.now() + length));
    if (known === undefined) {
      this.tell(instance, 'upstreamPaused', { for: Math.round(length), asked: Math.round(pause) });
    }
  }

  private takeRateLimit(instance: instanceView.Instance, perSecond: number): void {
    const before = this.rateLimits.get(instance.identity)?.perSecond;
    this.rateLimits.set(instance.identity, { perSecond, heardAt: this.options.timers.now() });
    if (perSecond !== before) {
      this.tell(instance, 'upstreamRateLimited', { perSecond, before });
    }
  }

  /** Only the answer to a request that was sent after the limit was named last says for certain that it is over. */
  private takeNoRateLimit(instance: instanceView.Instance, sentAt: ports.Milliseconds): void {
    const known = this.rateLimits.get(instance.identity);
    if (known !== undefined && sentAt >= known.heardAt) {
      this.rateLimits.delete(instance.identity);
      this.tell(instance, 'upstreamRateLimitLifted', { before: known.perSecond });
    }
  }

  private noteUnreadable(instance: instanceView.Instance, { name, value }: types.UnreadableSignal): void {
    const key = `${instance.identity} ${name}`;
    if (this.unreadable.has(key) || this.unreadable.size >= MOST_UNREADABLE) {
      return;
    }
    this.unreadable.add(key);
    this.options.log.warn('upstreamSignalUnreadable', { upstream: instance.identity, name, value });
  }

  private tell(instance: instanceView.Instance, event: string, fields: ports.LogFields): void {
    const { log } = this.options;
    log.info(event, { upstream: instance.identity, service: instance.service, ...fields });
  }

  private expire(): void {
    const { timers, log, metrics } = this.options;
    for (const [identity, until] of this.pausedUntil) {
      if (until <= timers.now()) {
        this.pausedUntil.delete(identity);
        log.info('upstreamPauseOver', { upstream: identity });
      }
    }
    metrics.gauge('upstreams.paused', this.pausedUntil.size);
    metrics.gauge('upstreams.rate_limited', this.rateLimits.size);
  }
}
