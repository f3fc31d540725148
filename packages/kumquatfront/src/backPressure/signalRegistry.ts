/**
 * State of the back-pressure signals (pauses and rate limits) that this entry has received from upstreams.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as types from './types.js';

/** Upper bound of the pause that one answer can request. */
const MAXIMUM_PAUSE: ports.Milliseconds = 30_000;

const EXPIRY_INTERVAL: ports.Milliseconds = 1_000;

/**
 * How long signals are kept after control has dropped an upstream; a network partition may drop a healthy upstream that
 * returns with its limits unchanged.
 */
const GONE_RETENTION: ports.Milliseconds = 60_000;

/** Maximum number of unreadable signals remembered to log each only once; further ones are not logged. */
const MAXIMUM_UNREADABLE = 1_000;

/**
 * Relative difference up to which two limits count as equal, so that small fluctuations are not logged or published.
 */
const SIMILARITY_TOLERANCE = 0.1;

/** Minimum time between two publications of the limit of one upstream. */
const MINIMUM_PUBLISH_INTERVAL: ports.Milliseconds = 2_000;

/** Dependencies and callbacks of the registry. */
export interface SignalRegistryOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Records the termination notice of an upstream; returns true if it was not known before. */
  readonly recordTerminationNotice: (identity: string) => boolean;
  /** Rate limit of an upstream as received by other entries and published by control. */
  readonly publishedRateLimitOf: (identity: string) => types.KnownRateLimit | undefined;
  /** Publishes the rate limit of an upstream to other entries; undefined if it was lifted. */
  readonly publishRateLimit: (identity: string, perSecond: number | undefined) => void;
}

function isSimilar(one: number | undefined, other: number | undefined): boolean {
  if (one === undefined || other === undefined) {
    return one === other;
  }
  return Math.abs(one - other) <= SIMILARITY_TOLERANCE * Math.max(one, other);
}

/** Stores back-pressure signals by upstream; see the module comment. */
export class SignalRegistry {
  private readonly options: SignalRegistryOptions;
  private readonly pauses = new Map<string, ports.Milliseconds>();
  private readonly rateLimits = new Map<string, types.KnownRateLimit>();
  private readonly publishedAt = new Map<string, ports.Milliseconds>();
  private readonly unreadable = new Set<string>();
  private readonly goneSince = new Map<string, ports.Milliseconds>();

  constructor(options: SignalRegistryOptions) {
    this.options = options;
    options.timers.every(
      () => EXPIRY_INTERVAL,
      () => {
        this.expire();
      },
    );
  }

  /**
   * Applies the signals of an answer.
   *
   * @param instance - upstream that answered
   * @param signals - signals in the answer
   * @param sentAt - time at which the answered request was sent
   */
  applySignals(
    instance: instanceView.Instance,
    signals: types.UpstreamSignals,
    sentAt: ports.Milliseconds,
  ): void {
    const { pause, rateLimit, leaving, unreadable } = signals;
    if (pause !== undefined) {
      this.applyPause(instance, pause);
    }
    if (rateLimit !== undefined) {
      this.applyRateLimit(instance, rateLimit);
    } else {
      this.liftRateLimit(instance, sentAt);
    }
    this.publishIfChanged(instance.identity);
    if (leaving && this.options.recordTerminationNotice(instance.identity)) {
      this.logEvent(instance, 'upstreamLeaving', {});
    }
    for (const signal of unreadable) {
      this.logUnreadable(instance, signal);
    }
  }

  /**
   * Records that the process at the address of an upstream is not this incarnation, which therefore has ended.
   * Control may be lost, and its list with it: requests would be sent to the address again and again.
   */
  recordReplaced(instance: instanceView.Instance): void {
    if (this.options.recordTerminationNotice(instance.identity)) {
      this.logEvent(instance, 'upstreamReplaced', {});
    }
  }

  /** End of the pause requested by an upstream; negative infinity if there is none. */
  pausedUntil(identity: string): ports.Milliseconds {
    return this.pauses.get(identity) ?? Number.NEGATIVE_INFINITY;
  }

  /** Requests per second that an upstream accepts from all senders; undefined if it sets no limit. */
  rateLimitOf(identity: string): number | undefined {
    return this.latestRateLimit(identity)?.perSecond;
  }

  /** The newer of the limits received by this entry and by other entries. */
  private latestRateLimit(identity: string): types.KnownRateLimit | undefined {
    const local = this.rateLimits.get(identity);
    const published = this.options.publishedRateLimitOf(identity);
    const isPublishedNewer =
      published !== undefined && (local === undefined || published.receivedAt > local.receivedAt);
    return isPublishedNewer ? published : local;
  }

  /** Handles a change of an instance. After a restart, signals of the previous start are void. */
  onInstanceChange({ instance, event }: instanceView.InstanceChange): void {
    const { identity } = instance;
    if (event === 'replaced') {
      this.discardSignals(identity);
    } else if (event === 'gone') {
      this.goneSince.set(identity, this.options.timers.now());
    } else if (event === 'found') {
      this.goneSince.delete(identity);
    }
  }

  private discardSignals(identity: string): void {
    this.goneSince.delete(identity);
    this.pauses.delete(identity);
    this.rateLimits.delete(identity);
    this.publishedAt.delete(identity);
  }

  private applyPause(instance: instanceView.Instance, pause: ports.Milliseconds): void {
    const { identity } = instance;
    const now = this.options.timers.now();
    const until = this.pausedUntil(identity);
    const length = Math.min(pause, MAXIMUM_PAUSE);
    this.pauses.set(identity, Math.max(until, now + length));
    if (until <= now) {
      this.logEvent(instance, 'upstreamPaused', { for: Math.round(length), asked: Math.round(pause) });
    }
  }

  private applyRateLimit(instance: instanceView.Instance, perSecond: number): void {
    const before = this.rateLimitOf(instance.identity);
    this.rateLimits.set(instance.identity, { perSecond, receivedAt: this.options.timers.now() });
    if (!isSimilar(perSecond, before)) {
      this.logEvent(instance, 'upstreamRateLimited', { perSecond, before });
    }
  }

  /**
   * Lifts the limit only if the request was sent after the limit was received; an older answer may have been overtaken.
   */
  private liftRateLimit(instance: instanceView.Instance, sentAt: ports.Milliseconds): void {
    const known = this.latestRateLimit(instance.identity);
    if (known?.perSecond !== undefined && sentAt >= known.receivedAt) {
      this.rateLimits.set(instance.identity, { perSecond: undefined, receivedAt: this.options.timers.now() });
      this.logEvent(instance, 'upstreamRateLimitLifted', { before: known.perSecond });
    }
  }

  /** Publishes the limit to other entries; an entry without a share would not learn of its change otherwise. */
  private publishIfChanged(identity: string): void {
    const { timers, publishedRateLimitOf, publishRateLimit } = this.options;
    const local = this.rateLimits.get(identity);
    const published = publishedRateLimitOf(identity)?.perSecond;
    const now = timers.now();
    // An older limit, published as if it were new, would undo that other entries have found it lifted.
    if (local === undefined || local !== this.latestRateLimit(identity)) {
      return;
    }
    if (isSimilar(local.perSecond, published)) {
      return;
    }
    if (now - (this.publishedAt.get(identity) ?? Number.NEGATIVE_INFINITY) >= MINIMUM_PUBLISH_INTERVAL) {
      this.publishedAt.set(identity, now);
      publishRateLimit(identity, local.perSecond);
    }
  }

  private logUnreadable(instance: instanceView.Instance, { name, value }: types.UnreadableSignal): void {
    const key = `${instance.identity} ${name}`;
    if (this.unreadable.has(key) || this.unreadable.size >= MAXIMUM_UNREADABLE) {
      return;
    }
    this.unreadable.add(key);
    this.options.log.warn('upstreamSignalUnreadable', { upstream: instance.identity, name, value });
  }

  private logEvent(instance: instanceView.Instance, event: string, fields: ports.LogFields): void {
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
      if (timers.now() - since >= GONE_RETENTION) {
        this.discardSignals(identity);
      }
    }
    const limited = [...this.rateLimits.values()].filter(({ perSecond }) => perSecond !== undefined);
    metrics.gauge('upstreams.paused', this.pauses.size);
    metrics.gauge('upstreams.rate_limited', limited.length);
  }
}
