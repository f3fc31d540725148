/**
 * How a rate limit that an upstream names for all its senders is divided among entries that cannot ask each other.
 *
 * Failure: each entry that hears of the limit keeps the whole of it. Seven entries then send seven times what the
 * upstream takes, and two hundred of them run it down with one request each.
 */
import type * as ports from '../kernel/ports.js';

/**
 * Entries count what they send over windows of this length. Upstreams tolerate bursts within four seconds; half a second
 * more covers requests that travel for longer than the one before.
 */
export const RATE_WINDOW: ports.Milliseconds = 4_500;

/** Seconds over which an upstream judges its rate, and what it tolerates in them: rate x overshoot + spare requests. */
const JUDGED_SECONDS = 4;
const OVERSHOOT = 1.5;
const SPARE_REQUESTS = 5;

/** Of the spare requests, as many as entries may send to find out whether the limit is over. */
const KEPT_FOR_PROBES = 2;

/**
 * Shares that are no whole number are drawn, so that their sum varies like a count of rare events. It stays inside the
 * bound by this many standard deviations: less than one draw in a million passes it.
 */
const DEVIATIONS = 5;

/**
 * Time between two requests of all entries together that find out whether a limit is over, where no entry has a share.
 */
const PROBE_GAP: ports.Milliseconds = 18_000;

/** The most that entries send together, where each has the whole part of its share and draws for the rest. */
function mostOf(mean: number, entries: number): number {
  const part = (mean / entries) % 1;
  const deviation = Math.sqrt(entries * part * (1 - part));
  const allDrawn = entries * Math.ceil(mean / entries);
  return Math.min(allDrawn, mean + DEVIATIONS * deviation);
}

/**
 * Requests that all entries together may send within `RATE_WINDOW`, in the mean of their draws.
 *
 * @param perSecond - the limit, requests a second
 * @param entries - how many entries share it, 1 or more
 * @returns the mean, at most what the limit allows
 * @example
 * ```ts
 * rateLimitShare.ofEntries(1.9, 7); // 7.6: one each, and every eleventh two
 * rateLimitShare.ofEntries(2, 75); // 3.9
 * ```
 */
export function ofEntries(perSecond: number, entries: number): number {
  const allowed = perSecond * JUDGED_SECONDS;
  const bound = OVERSHOOT * allowed + SPARE_REQUESTS - KEPT_FOR_PROBES;
  const root = (Math.sqrt(DEVIATIONS ** 2 + 4 * bound) - DEVIATIONS) / 2;
  const means = [allowed, entries * Math.floor(allowed / entries), Math.min(allowed, root ** 2)];
  return Math.max(...means.filter((mean) => mostOf(mean, entries) <= bound));
}

/**
 * Time after which one entry may find out by a request whether a limit is over.
 *
 * @param entries - how many entries share the limit
 * @returns so long that all of them together do so once in `PROBE_GAP`
 * @example
 * ```ts
 * rateLimitShare.probeAfter(7); // 126000
 * ```
 */
export function probeAfter(entries: number): ports.Milliseconds {
  return entries * PROBE_GAP;
}
