/**
 * This entry's share of the repeats that the whole system may send to a service.
 *
 * Failure: upstreams that fail under overload are sent every request twice and never recover. A budget over a
 * sliding window bounds what all entries together add; each takes its share by the number of entries, so no
 * message is needed for a repeat.
 */
import type * as ports from '../kernel/ports.js';

/** Bounds of repeats, summed over all entries. */
export interface AllowanceSettings {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats that are free in each window. */
  readonly slack: number;
  readonly window: ports.Milliseconds;
}

/** Share of the budget that is used: what entries count in windows of their own does not add up exactly. */
const USED_SHARE = 0.7;

interface Counts {
  requests: number[];
  repeats: number[];
  /** Below 1; drawn anew for each repeat. */
  dither: number;
}

/** The allowance; see the module comment. */
export class RetryAllowance {
  private readonly settings: AllowanceSettings;
  private readonly shareOfSlack: () => number;
  private readonly random: ports.Random;
  private readonly counts = new Map<string, Counts>();

  /**
   * @param settings - bounds that all entries share
   * @param shareOfSlack - this entry's share of the free repeats, from 0 to 1
   * @param random - rounds the share of an entry, which is rarely a whole number
   */
  constructor(settings: AllowanceSettings, shareOfSlack: () => number, random: ports.Random) {
    this.settings = settings;
    this.random = random;
    this.shareOfSlack = shareOfSlack;
  }

  private countsOf(service: string, now: number): Counts {
    const counts = this.counts.get(service) ?? { requests: [], repeats: [], dither: this.random.next() };
    this.counts.set(service, counts);
    const oldest = now - this.settings.window;
    for (const times of [counts.requests, counts.repeats]) {
      const first = times.findIndex((time) => time > oldest);
      times.splice(0, first < 0 ? times.length : first);
    }
    return counts;
  }

  /** Notes a caller's request to a service. */
  requested(service: string, now: number): void {
    this.countsOf(service, now).requests.push(now);
  }

  /**
   * Takes one repeat from the budget; false where none is left.
   *
   * Of two hundred entries each has a share of two or so. Rounded down, a share of 1.96 would refuse 3 in 100 repeats
   * while hundreds are left; rounded up, entries would exceed the bound together. Rounded at random, by a draw that
   * only a repeat renews, they use their share on average.
   */
  take(service: string, now: number): boolean {
    const { ratio, slack } = this.settings;
    const counts = this.countsOf(service, now);
    const allowed = USED_SHARE * (ratio * counts.requests.length + slack * this.shareOfSlack());
    if (counts.repeats.length + counts.dither >= allowed) {
      return false;
    }
    counts.repeats.push(now);
    counts.dither = this.random.next();
    return true;
  }
}
