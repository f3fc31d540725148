/**
 * Decides whether an upstream may be sent a request now, or is temporarily excluded. Used when an upstream is selected,
 * and again by `guardedUpstreams` immediately before sending, since an exclusion may have started in between.
 */
import * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import type * as entryShare from '../warmUp/entryShare.js';
import * as rateLimitShare from './rateLimitShare.js';
import type * as signalRegistry from './signalRegistry.js';

/** Reason for which an upstream is temporarily excluded. */
export type ExclusionReason = 'evacuated' | 'leaving' | 'paused' | 'rateLimited' | 'cold';

/** A temporary exclusion of an upstream. */
export interface Exclusion {
  readonly reason: ExclusionReason;
  /** Expected end; undefined if unknown. */
  readonly until?: ports.Milliseconds;
}

/** Error messages for callers whose request was refused because every upstream is excluded. */
const MESSAGES: Readonly<Record<ExclusionReason, string>> = {
  evacuated: instanceView.EVACUATED_MESSAGE,
  leaving: 'every upstream that could take it is shutting down',
  paused: 'every upstream that could take it has asked for a pause',
  rateLimited: 'every upstream that could take it is at its rate limit',
  cold: 'every upstream that could take it is cold and at its warm-up limit',
};

/**
 * Jitter added to the retry time of refused callers, so that they do not all return at the end of the exclusion and
 * overload the upstream again.
 */
const RETRY_JITTER: ports.Milliseconds = 500;

/** Range of the hash that spreads the probes of entries over time. */
const HASH_RANGE = 2 ** 32;

/** Dependencies of the policy. */
export interface SendPolicyOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly random: ports.Random;
  readonly instances: instanceView.InstanceView;
  readonly signals: signalRegistry.SignalRegistry;
  /** Share of this entry in the limits of rate-limited upstreams, over `rateLimitShare.RATE_WINDOW`. */
  readonly rateShare: entryShare.EntryShare;
  /** Share of this entry in the warm-up limits of cold upstreams, over one second. */
  readonly coldShare: entryShare.EntryShare;
  /** Requests per second that all entries together may send to a cold upstream of a service; undefined if unlimited. */
  readonly warmUpLimitOf: (service: string) => number | undefined;
}

/** Decides whether upstreams may be sent requests; see the module comment. */
export class SendPolicy {
  private readonly options: SendPolicyOptions;
  /** Time of the next probe of this entry for a lifted rate limit, by upstream. */
  private readonly nextProbeAt = new Map<string, ports.Milliseconds>();

  constructor(options: SendPolicyOptions) {
    this.options = options;
  }

  /** Exclusion that applies to every send to an upstream, whoever chose it; undefined if requests may be sent. */
  exclusionOf(instance: instanceView.Instance, now: ports.Milliseconds): Exclusion | undefined {
    return this.exclusionFromRelay(instance, now) ?? this.rateLimitExclusionOf(instance, now);
  }

  /** Exclusion that applies to requests of other entries, whose limits those entries count themselves. */
  exclusionFromRelay(instance: instanceView.Instance, now: ports.Milliseconds): Exclusion | undefined {
    const { instances, signals } = this.options;
    if (instances.isEvacuated(instance)) {
      return { reason: 'evacuated' };
    }
    if (instances.isTerminating(instance.identity)) {
      return { reason: 'leaving' };
    }
    const pausedUntil = signals.pausedUntil(instance.identity);
    if (now < pausedUntil) {
      return { reason: 'paused', until: pausedUntil };
    }
    return undefined;
  }

  /**
   * Exclusion that applies when this entry selects an upstream itself; undefined if it may be selected. Includes the
   * warm-up limit, which the coordinator enforces for the requests that it places.
   */
  exclusionFromChoice(instance: instanceView.Instance, now: ports.Milliseconds): Exclusion | undefined {
    return this.exclusionOf(instance, now) ?? this.warmUpExclusionOf(instance, now);
  }

  /**
   * The exclusion that ends first, if every candidate is excluded.
   *
   * @param candidates - upstreams to choose from
   * @returns the exclusion; undefined if a candidate may be selected, or there are none
   */
  exclusionOfAll(
    candidates: readonly instanceView.Instance[],
    now: ports.Milliseconds,
  ): Exclusion | undefined {
    let first: Exclusion | undefined;
    for (const instance of candidates) {
      const exclusion = this.exclusionFromChoice(instance, now);
      if (exclusion === undefined) {
        return undefined;
      }
      const endsSooner =
        (exclusion.until ?? Number.POSITIVE_INFINITY) < (first?.until ?? Number.POSITIVE_INFINITY);
      first = first === undefined || endsSooner ? exclusion : first;
    }
    return first;
  }

  /** Error message for a caller refused because of an exclusion. */
  messageOf({ reason }: Exclusion): string {
    return MESSAGES[reason];
  }

  /**
   * Time after which a caller refused because of an exclusion should retry.
   *
   * @param exclusion - reason and expected end
   * @param fallback - returned if the end of the exclusion is unknown
   */
  retryAfter(
    { until }: Exclusion,
    now: ports.Milliseconds,
    fallback: ports.Milliseconds,
  ): ports.Milliseconds {
    return until === undefined ? fallback : until - now + this.options.random.next() * RETRY_JITTER;
  }

  /** Counts a request sent to an upstream against its limits. */
  recordSent(instance: instanceView.Instance, now: ports.Milliseconds): void {
    const { rateShare, coldShare } = this.options;
    const { identity } = instance;
    // Counted for all upstreams, because a rate limit received later also covers requests sent shortly before.
    rateShare.recordSent(identity, now);
    if (now < instance.coldUntil) {
      coldShare.recordSent(identity, now);
    }
    if (this.nextProbeAt.has(identity)) {
      this.nextProbeAt.set(identity, now + rateLimitShare.probeInterval(rateShare.entryCountAt(now)));
    }
  }

  /** Discards the state of an upstream that was removed or has restarted. */
  removeUpstream(identity: string): void {
    this.nextProbeAt.delete(identity);
  }

  private rateLimitExclusionOf(
    instance: instanceView.Instance,
    now: ports.Milliseconds,
  ): Exclusion | undefined {
    const { signals, rateShare } = this.options;
    const { identity } = instance;
    const perSecond = signals.rateLimitOf(identity);
    if (perSecond === undefined) {
      this.nextProbeAt.delete(identity);
      return undefined;
    }
    const entries = rateShare.entryCountAt(now);
    const totalPerWindow = entries === 0 ? 0 : rateLimitShare.requestsPerWindow(perSecond, entries);
    if (rateShare.maySend(identity, totalPerWindow, now) || this.mayProbe(identity, entries, now)) {
      return undefined;
    }
    const until = rateShare.nextSendAt(identity, totalPerWindow, now) ?? now + rateLimitShare.RATE_WINDOW;
    return { reason: 'rateLimited', until };
  }

  /**
   * Lets an entry without a share send an occasional probe; it would never learn that the limit was lifted otherwise.
   */
  private mayProbe(identity: string, entries: number, now: ports.Milliseconds): boolean {
    if (entries === 0) {
      return false;
    }
    const nextProbe = this.nextProbeAt.get(identity);
    if (nextProbe !== undefined) {
      return now >= nextProbe;
    }
    const spread = rendezvousHashing.hash(`${identity} ${this.options.entry}`) / HASH_RANGE;
    this.nextProbeAt.set(identity, now + spread * rateLimitShare.probeInterval(entries));
    return false;
  }

  private warmUpExclusionOf(instance: instanceView.Instance, now: ports.Milliseconds): Exclusion | undefined {
    const { coldShare, warmUpLimitOf } = this.options;
    const { identity, coldUntil, service } = instance;
    const limit = now < coldUntil ? warmUpLimitOf(service) : undefined;
    if (limit === undefined || coldShare.maySend(identity, limit, now)) {
      return undefined;
    }
    return {
      reason: 'cold',
      until: Math.min(coldUntil, coldShare.nextSendAt(identity, limit, now) ?? coldUntil),
    };
  }
}
