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
}

/** The allowance; see the module comment. */
export class RetryAllowance {
  private readonly settings: AllowanceSettings;
  private readonly entryCount: () => number;
  private readonly counts = new Map<string, Counts>();

  constructor(settings: AllowanceSettings, entryCount: () => number) {
    this.settings = settings;
    this.entryCount = entryCount;
  }

  private countsOf(service: string, now: number): Counts {
    const counts = this.counts.get(service) ?? { requests: [], repeats: [] };
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

  /** Takes one repeat from the budget; false where none is left. */
  take(service: string, now: number): boolean {
    const { ratio, slack } = this.settings;
    const counts = this.countsOf(service, now);
    const allowed = USED_SHARE * (ratio * counts.requests.length + slack / Math.max(1, this.entryCount()));
    if (counts.repeats.length + 1 > allowed) {
      return false;
    }
    counts.repeats.push(now);
    return true;
  }
}
