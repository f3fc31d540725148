/**
 * This entry's share of the retry budget of a service.
 *
 * Failure: retries double the load of overloaded upstreams, which then never recover. The budget limits the retries
 * of all entries in a sliding window. Each entry uses a fixed share of it, so that retries need no coordination; with
 * leases, it borrows more slack from the coordinator and offers what it leaves unused.
 */
import type * as ports from '../kernel/ports.js';
import type * as leaseClient from '../sharedLimits/leaseClient.js';
import * as limitParts from '../sharedLimits/limitParts.js';

/** Limits of retries, summed over all entries. */
export interface RetryBudgetSettings {
  /** Retries permitted per request. */
  readonly ratio: number;
  /** Retries permitted in each window in addition to `ratio`. */
  readonly slack: number;
  /** Length of the sliding window. */
  readonly window: ports.Milliseconds;
}

/** Share of the ratio part that is used; the margin compensates for the unaligned windows of entries. */
const RATIO_UTILIZATION = 0.7;

/** Share of the margin of the ratio part that covers its random rounding; the rest covers the unaligned windows. */
const ROUNDING_SHARE = 0.5;

interface RetryCounts {
  requests: number[];
  retries: number[];
  /** Random rounding offset in [0, 1); drawn again after each retry. */
  dither: number;
  refusedAt: ports.Milliseconds | undefined;
}

function leaseKeyOf(service: string): string {
  return `retries:${service}`;
}

/** Retry budget of one entry; see the module comment. */
export class ServiceRetryBudget {
  private readonly settings: RetryBudgetSettings;
  private readonly slackShare: (now: ports.Milliseconds) => number;
  private readonly random: ports.Random;
  private readonly leases: leaseClient.LeaseClient | undefined;
  private readonly counts = new Map<string, RetryCounts>();

  /**
   * @param settings - limits that all entries share
   * @param slackShare - returns this entry's share of `settings.slack`, from 0 to 1
   * @param random - source of the random rounding
   * @param leases - lends slack of other entries; undefined if leases are not used
   */
  constructor(
    settings: RetryBudgetSettings,
    slackShare: (now: ports.Milliseconds) => number,
    random: ports.Random,
    leases?: leaseClient.LeaseClient,
  ) {
    this.leases = leases;
    this.settings = settings;
    this.random = random;
    this.slackShare = slackShare;
  }

  private countsOf(service: string, now: number): RetryCounts {
    const counts = this.counts.get(service) ?? {
      ...{ requests: [], retries: [] },
      ...{ dither: this.random.next(), refusedAt: undefined },
    };
    this.counts.set(service, counts);
    // A share below one would otherwise never be used at an entry that has drawn a high offset. One window passes
    // from the refusal on, so that an entry draws once in each window.
    if (
      this.leases !== undefined &&
      counts.refusedAt !== undefined &&
      now - counts.refusedAt > this.settings.window
    ) {
      counts.dither = this.random.next();
      counts.refusedAt = undefined;
    }
    const oldest = now - this.settings.window;
    for (const times of [counts.requests, counts.retries]) {
      const first = times.findIndex((time) => time > oldest);
      times.splice(0, first < 0 ? times.length : first);
    }
    return counts;
  }

  /** Records a caller's request to a service. */
  recordRequest(service: string, now: number): void {
    this.countsOf(service, now).requests.push(now);
    const { slack, window } = this.settings;
    if (slack > 0) {
      this.leases?.track(leaseKeyOf(service), { amount: slack, window }, (at) => this.slackUse(service, at));
    }
  }

  private ratioPart({ requests }: RetryCounts): number {
    return RATIO_UTILIZATION * this.settings.ratio * requests.length;
  }

  /** Part of the slack that this entry may use without a lease. */
  private slackPart(service: string, now: number): number {
    const share = this.slackShare(now);
    if (share <= 0) {
      return 0;
    }
    return (
      this.leases?.staticShare(leaseKeyOf(service), 1 / share, now) ??
      limitParts.STATIC_PART * this.settings.slack * share
    );
  }

  private slackUse(service: string, now: number): leaseClient.StaticUse {
    const counts = this.countsOf(service, now);
    const share = this.slackShare(now);
    const ratioPart = this.ratioPart(counts);
    return {
      entries: share > 0 ? Math.round(1 / share) : 0,
      used: Math.max(0, counts.retries.length - Math.round(ratioPart)),
      isActive: counts.requests.length > 0,
      variance: limitParts.roundingVariance(ratioPart),
      margin: ROUNDING_SHARE * (1 / RATIO_UTILIZATION - 1) * ratioPart,
    };
  }

  /**
   * Takes one retry from the budget; false if the budget is exhausted.
   *
   * With many entries the share of each is a small fraction. Rounding it down would refuse retries while the shared
   * budget is unused, and rounding it up would exceed the budget. Random rounding uses the share on average.
   */
  take(service: string, now: number): boolean {
    const counts = this.countsOf(service, now);
    const allowed = this.ratioPart(counts) + this.slackPart(service, now);
    if (counts.retries.length + counts.dither >= allowed) {
      if (counts.retries.length < allowed) {
        counts.refusedAt ??= now;
      }
      return this.leases?.take(leaseKeyOf(service), now) ?? false;
    }
    counts.retries.push(now);
    counts.dither = this.random.next();
    counts.refusedAt = undefined;
    return true;
  }
}
