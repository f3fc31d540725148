/**
 * Divides the rate limit that an upstream sets for all senders among entries, without coordination between them.
 *
 * Guards against each entry using the full limit, so that all entries together exceed it many times over.
 */
import type * as ports from '../kernel/ports.js';

/**
 * Length of the sliding window in which entries count sent requests: the window of the upstream, and a margin for
 * variations of the transit time.
 */
export const RATE_WINDOW: ports.Milliseconds = 4_500;

/** Window in which an upstream measures its rate, and what it tolerates there: limit x overshoot + burst allowance. */
const MEASURED_SECONDS = 4;
const OVERSHOOT = 1.5;
const BURST_ALLOWANCE = 5;

/** Part of the burst allowance reserved for probes that find out whether the limit was lifted. */
const PROBE_RESERVE = 2;

/**
 * Fractional shares are assigned pseudo-randomly, so their sum varies. It stays below the bound by this many standard
 * deviations; the probability of exceeding it is less than one in a million.
 */
const MARGIN_DEVIATIONS = 5;

/** Average time between two probes of all entries together, while no entry has a share of the limit. */
const PROBE_SPACING: ports.Milliseconds = 18_000;

/** Upper bound of the requests of all entries, where each rounds its share up or down at random. */
function maximumTotal(mean: number, entries: number): number {
  const fraction = (mean / entries) % 1;
  const deviation = Math.sqrt(entries * fraction * (1 - fraction));
  const allRoundedUp = entries * Math.ceil(mean / entries);
  return Math.min(allRoundedUp, mean + MARGIN_DEVIATIONS * deviation);
}

/**
 * Number of requests that all entries together may send within `RATE_WINDOW`, as the expected value of their shares.
 *
 * @param entries - number of entries that share it, 1 or more
 * @returns the expected value, at most what the limit allows
 * @example
 * ```ts
 * rateLimitShare.requestsPerWindow(1.9, 7); // 7.6: one for each entry, and a second one for some
 * rateLimitShare.requestsPerWindow(2, 75); // 3.9
 * ```
 */
export function requestsPerWindow(perSecond: number, entries: number): number {
  const allowed = perSecond * MEASURED_SECONDS;
  const bound = OVERSHOOT * allowed + BURST_ALLOWANCE - PROBE_RESERVE;
  // Solves mean + MARGIN_DEVIATIONS * sqrt(mean) = bound for the square root of the mean.
  const root = (Math.sqrt(MARGIN_DEVIATIONS ** 2 + 4 * bound) - MARGIN_DEVIATIONS) / 2;
  const means = [allowed, entries * Math.floor(allowed / entries), Math.min(allowed, root ** 2)];
  return Math.max(...means.filter((mean) => maximumTotal(mean, entries) <= bound));
}

/**
 * Time between two probes of one entry that find out whether a rate limit was lifted.
 *
 * @param entries - number of entries that share the limit
 * @returns an interval that gives one probe per `PROBE_SPACING` from all entries together
 * @example
 * ```ts
 * rateLimitShare.probeInterval(7); // 126000
 * ```
 */
export function probeInterval(entries: number): ports.Milliseconds {
  return entries * PROBE_SPACING;
}
