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

/**
 * What an upstream said is kept this long after control has dropped it: behind a cut an upstream that is well is dropped,
 * and is back with all that it has said.
 */
const GONE_KEPT: ports.Milliseconds = 60_000;

/** Upstreams whose unreadable signals are remembered, so that each is logged once. */
const MOST_UNREADABLE = 1_000;

/**
 * Limits that differ by less than this share are alike: an upstream may name another one with every answer, which is no
 * reason to log or to tell others of each.
 */
const ALIKE_WITHIN = 0.1;

/** Shortest time between two tellings of one upstream's limit. */
const TELL_PAUSE: ports.Milliseconds = 2_000;

/** What the book is made from. */
export interface SignalBookOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Takes in that an upstream leaves; true where that is news. */
  readonly noteNotice: (identity: string) => boolean;
  /** What other entries have heard of an upstream's limit, as control tells it. */
  readonly toldOf: (identity: string) => types.KnownRateLimit | undefined;
  /** Tells the other entries of an upstream's limit; undefined where there is none any more. */
  readonly tell: (identity: string, perSecond: number | undefined) => void;
}

function isAlike(one: number | undefined, other: number | undefined): boolean {
  if (one === undefined || other === undefined) {
    return one === other;
  }
  return Math.abs(one - other) <= ALIKE_WITHIN * Math.max(one, other);
}

/** The book; see the module comment. */
export class SignalBook {
  private readonly options: SignalBookOptions;
  private readonly pauses = new Map<string, ports.Milliseconds>();
  private readonly rateLimits = new Map<string, types.KnownRateLimit>();
  private readonly toldAt = new Map<string, ports.Milliseconds>();
  private readonly unreadable = new Set<string>();
  private readonly goneSince = new Map<string, ports.Milliseconds>();

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
    this.tellOthers(instance.identity);
    if (leaving && this.options.noteNotice(instance.identity)) {
      this.write(instance, 'upstreamLeaving', {});
    }
    for (const signal of unreadable) {
      this.noteUnreadable(instance, signal);
    }
  }

  /** When an upstream wants to be sent something again; in the past where it has asked for no pause. */
  pausedUntil(identity: string): ports.Milliseconds {
    return this.pauses.get(identity) ?? Number.NEGATIVE_INFINITY;
  }

  /** Requests a second that an upstream takes from all senders; undefined where it names no limit. */
  rateLimitOf(identity: string): number | undefined {
    return this.latestRateLimit(identity)?.perSecond;
  }

  /** The newest of what this entry and the others have heard. */
  private latestRateLimit(identity: string): types.KnownRateLimit | undefined {
    const heard = this.rateLimits.get(identity);
    const told = this.options.toldOf(identity);
    const isToldNewer = told !== undefined && (heard === undefined || told.heardAt > heard.heardAt);
    return isToldNewer ? told : heard;
  }

  /** Takes in what becomes of an upstream. One that has started anew is not bound by what its former start said. */
  onInstance({ instance, event }: instanceView.InstanceChange): void {
    const { identity } = instance;
    if (event === 'replaced') {
      this.forget(identity);
    } else if (event === 'gone') {
      this.goneSince.set(identity, this.options.timers.now());
    } else if (event === 'found') {
      this.goneSince.delete(identity);
    }
  }

  private forget(identity: string): void {
    this.goneSince.delete(identity);
    this.pauses.delete(identity);
    this.rateLimits.delete(identity);
    this.toldAt.delete(identity);
  }

  private takePause(instance: instanceView.Instance, pause: ports.Milliseconds): void {
    const { identity } = instance;
    const now = this.options.timers.now();
    const until = this.pausedUntil(identity);
    const length = Math.min(pause, LONGEST_PAUSE);
    this.pauses.set(identity, Math.max(until, now + length));
    if (until <= now) {
      this.write(instance, 'upstreamPaused', { for: Math.round(length), asked: Math.round(pause) });
    }
  }

  private takeRateLimit(instance: instanceView.Instance, perSecond: number): void {
    const before = this.rateLimitOf(instance.identity);
    this.rateLimits.set(instance.identity, { perSecond, heardAt: this.options.timers.now() });
    if (!isAlike(perSecond, before)) {
      this.write(instance, 'upstreamRateLimited', { perSecond, before });
    }
  }

  /** Only the answer to a request that was sent after the limit was named last says for certain that it is over. */
  private takeNoRateLimit(instance: instanceView.Instance, sentAt: ports.Milliseconds): void {
    const known = this.latestRateLimit(instance.identity);
    if (known?.perSecond !== undefined && sentAt >= known.heardAt) {
      this.rateLimits.set(instance.identity, { perSecond: undefined, heardAt: this.options.timers.now() });
      this.write(instance, 'upstreamRateLimitLifted', { before: known.perSecond });
    }
  }

  /** An entry with no share of its own would not hear otherwise that the limit has changed, or is over. */
  private tellOthers(identity: string): void {
    const { timers, toldOf, tell } = this.options;
    const heard = this.rateLimits.get(identity);
    const told = toldOf(identity)?.perSecond;
    const now = timers.now();
    if (heard === undefined || isAlike(heard.perSecond, told)) {
      return;
    }
    if (now - (this.toldAt.get(identity) ?? Number.NEGATIVE_INFINITY) >= TELL_PAUSE) {
      this.toldAt.set(identity, now);
      tell(identity, heard.perSecond);
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

  private write(instance: instanceView.Instance, event: string, fields: ports.LogFields): void {
    const { log } = this.options;
    log.info(event, { upstream: instance.identity, service: instance.service, ...fields });
  }

  private expire(): void {
    const { timers, log, metrics } = this.options;
    for (const [identity, until] of this.pauses) {
      if (until <= timers.now()) {
        this.pauses.delete(identity);
        log.info('upstreamPauseOver', { upstream: identity });
      }
    }
    for (const [identity, since] of this.goneSince) {
      if (timers.now() - since >= GONE_KEPT) {
        this.forget(identity);
      }
    }
    const limited = [...this.rateLimits.values()].filter(({ perSecond }) => perSecond !== undefined);
    metrics.gauge('upstreams.paused', this.pauses.size);
    metrics.gauge('upstreams.rate_limited', limited.length);
  }
}
