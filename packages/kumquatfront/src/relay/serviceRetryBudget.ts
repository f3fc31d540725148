/**
 * This entry's share of the retry budget of a service.
 *
 * Failure: retries double the load of overloaded upstreams, which then never recover. The budget limits the retries
 * of all entries in a sliding window. Each entry uses a fixed share of it, so that retries need no coordination.
 */
import type * as ports from '../kernel/ports.js';

/** Limits of retries, summed over all entries. */
export interface RetryBudgetSettings {
  /** Retries permitted per request. */
  readonly ratio: number;
  /** Retries permitted in each window in addition to `ratio`. */
  readonly slack: number;
  /** Length of the sliding window. */
  readonly window: ports.Milliseconds;
}

/** Share of the budget that is used; the margin compensates for the unaligned windows of entries. */
const BUDGET_UTILIZATION = 0.7;

interface RetryCounts {
  requests: number[];
  retries: number[];
  /** Random rounding offset in [0, 1); drawn again after each retry. */
  dither: number;
}

/** Retry budget of one entry; see the module comment. */
export class ServiceRetryBudget {
  private readonly settings: RetryBudgetSettings;
  private readonly slackShare: (now: ports.Milliseconds) => number;
  private readonly random: ports.Random;
  private readonly counts = new Map<string, RetryCounts>();

  /**
   * @param settings - limits that all entries share
   * @param slackShare - returns this entry's share of `settings.slack`, from 0 to 1
   * @param random - source of the random rounding
   */
  constructor(
    settings: RetryBudgetSettings,
    slackShare: (now: ports.Milliseconds) => number,
    random: ports.Random,
  ) {
    this.settings = settings;
    this.random = random;
    this.slackShare = slackShare;
  }

  private countsOf(service: string, now: number): RetryCounts {
    const counts = this.counts.get(service) ?? { requests: [], retries: [], dither: this.random.next() };
    this.counts.set(service, counts);
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
  }

  /**
   * Takes one retry from the budget; false if the budget is exhausted.
   *
   * With many entries the share of each is a small fraction. Rounding it down would refuse retries while the shared
   * budget is unused, and rounding it up would exceed the budget. Random rounding uses the share on average.
   */
  take(service: string, now: number): boolean {
    const { ratio, slack } = this.settings;
    const counts = this.countsOf(service, now);
    const allowed = BUDGET_UTILIZATION * (ratio * counts.requests.length + slack * this.slackShare(now));
    if (counts.retries.length + counts.dither >= allowed) {
      return false;
    }
    counts.retries.push(now);
    counts.dither = this.random.next();
    return true;
  }
}
