/**
 * Divides the request rate that a cold upstream tolerates among entries and coordinators, without coordination between
 * them.
 *
 * Guards against restarted upstreams that look idle, receive all waiting requests at once and fail again.
 */

import type * as ports from '../kernel/ports.js';

/** Length of the sliding window in which requests to cold upstreams are counted. */
export const COLD_WINDOW: ports.Milliseconds = 1_000;

/** Warm-up settings of a service. */
export interface WarmUp {
  /** Requests per second that a cold upstream tolerates; greater than 0. */
  readonly requestsPerSecond: number;
  /** Milliseconds for which an upstream is cold after its start. */
  readonly duration: number;
}

/** Limit of all senders together for a cold upstream: rate x overshoot + tolerance requests in any second. */
export interface WarmUpTolerance {
  readonly overshoot: number;
  /** Number of requests. */
  readonly tolerance: number;
}

/** Default: the configured rate without any overshoot. */
export const strictTolerance: WarmUpTolerance = { overshoot: 1, tolerance: 0 };

/** Who places requests of a service: a coordinator, with entries as fallback if it does not answer, or entries only. */
export type PlacedBy = 'coordinator' | 'entries';

/**
 * Share of the bound for one coordinator. Two of them may be active during an election; entries without a coordinator
 * have the rest.
 */
const COORDINATOR_SHARE = 0.3;
const ENTRIES_SHARE = 1 - 2 * COORDINATOR_SHARE;

/**
 * Entries round their shares pseudo-randomly, so their sum varies. It stays below the bound by this many standard
 * deviations; the probability of exceeding it is less than one in a million.
 */
const MARGIN_DEVIATIONS = 5;

function maximumPerSecond(warmUp: WarmUp, { overshoot, tolerance }: WarmUpTolerance): number {
  return warmUp.requestsPerSecond * overshoot + tolerance;
}

/**
 * Number of requests that one coordinator may place on a cold upstream in any second.
 *
 * @param warmUp - warm-up settings of its service
 * @returns an integer, at least 1 so that every upstream is tried
 * @example
 * ```ts
 * warmUpBounds.forCoordinator({ requestsPerSecond: 31, duration: 1000 }, { overshoot: 1.5, tolerance: 5 }); // 15
 * ```
 */
export function forCoordinator(warmUp: WarmUp, tolerance: WarmUpTolerance): number {
  return Math.max(1, Math.floor(COORDINATOR_SHARE * maximumPerSecond(warmUp, tolerance)));
}

/**
 * Number of requests that all entries together may send to a cold upstream in any second, as the expected value of
 * their shares.
 *
 * @returns the expected value, which may be fractional
 * @example
 * ```ts
 * warmUpBounds.forEntries({ requestsPerSecond: 31, duration: 1000 }, { overshoot: 1.5, tolerance: 5 }, 'entries'); // 25.9
 * ```
 */
export function forEntries(warmUp: WarmUp, tolerance: WarmUpTolerance, placedBy: PlacedBy): number {
  const share = placedBy === 'coordinator' ? ENTRIES_SHARE : 1;
  const maximum = share * maximumPerSecond(warmUp, tolerance);
  // Solves mean + MARGIN_DEVIATIONS * sqrt(mean) = maximum for the square root of the mean.
  const root = (Math.sqrt(MARGIN_DEVIATIONS ** 2 + 4 * maximum) - MARGIN_DEVIATIONS) / 2;
  return root ** 2;
}
