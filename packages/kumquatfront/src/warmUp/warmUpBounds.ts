/**
 * What an upstream tolerates while it is cold, and how the bound is divided among all that send to it.
 *
 * Failure: upstreams come back cold, look idle, and get everything that waits at once. Each of them then falls over
 * again, and the next ones get its share too. The bound holds over all entries and coordinators, which cannot ask each
 * other before each request: so it is divided beforehand.
 */

import type * as ports from '../kernel/ports.js';

/** Requests to cold upstreams are counted over any span of this length. */
export const COLD_WINDOW: ports.Milliseconds = 1_000;

/** What a service says of its cold upstreams. */
export interface WarmUp {
  /** Requests a second that a cold upstream tolerates; above 0. */
  readonly requestsPerSecond: number;
  /** Milliseconds for which an upstream is cold after its start. */
  readonly duration: number;
}

/** How far all that send together may pass what a cold upstream tolerates: in any second, rate x overshoot + tolerance. */
export interface WarmUpTolerance {
  readonly overshoot: number;
  /** Requests. */
  readonly tolerance: number;
}

/** Where nothing is said an upstream gets what it tolerates, and no more. */
export const strictTolerance: WarmUpTolerance = { overshoot: 1, tolerance: 0 };

/** Who places requests for a service: a coordinator, beside entries that place alone where none answers, or entries. */
export type PlacedBy = 'coordinator' | 'entries';

/**
 * Share of the bound for one coordinator. While control elects a leader two of them may place for different entries;
 * together they stay inside six tenths, and entries that hear neither of them have the rest.
 */
const COORDINATOR_SHARE = 0.3;
const ALONE_SHARE = 1 - 2 * COORDINATOR_SHARE;

/**
 * Entries draw their shares, so that their sum varies like a count of rare events. The bound is kept this many standard
 * deviations above the mean: less than one draw in a million passes it.
 */
const DEVIATIONS = 5;

function mostInSecond(warmUp: WarmUp, { overshoot, tolerance }: WarmUpTolerance): number {
  return warmUp.requestsPerSecond * overshoot + tolerance;
}

/**
 * Requests that one coordinator may place on a cold upstream in any second.
 *
 * @param warmUp - what its service says
 * @param tolerance - how far that may be passed
 * @returns a whole number, 1 at least: the upstream would never be tried otherwise
 * @example
 * ```ts
 * warmUpBounds.ofCoordinator({ requestsPerSecond: 31, duration: 1000 }, { overshoot: 1.5, tolerance: 5 }); // 15
 * ```
 */
export function ofCoordinator(warmUp: WarmUp, tolerance: WarmUpTolerance): number {
  return Math.max(1, Math.floor(COORDINATOR_SHARE * mostInSecond(warmUp, tolerance)));
}

/**
 * Requests that all entries together may send to a cold upstream in any second, in the mean of their draws.
 *
 * @param warmUp - what its service says
 * @param tolerance - how far that may be passed
 * @param placedBy - who places requests for the service
 * @returns the mean, which need not be whole
 * @example
 * ```ts
 * warmUpBounds.ofEntries({ requestsPerSecond: 31, duration: 1000 }, { overshoot: 1.5, tolerance: 5 }, 'entries'); // 25.9
 * ```
 */
export function ofEntries(warmUp: WarmUp, tolerance: WarmUpTolerance, placedBy: PlacedBy): number {
  const share = placedBy === 'coordinator' ? ALONE_SHARE : 1;
  const most = share * mostInSecond(warmUp, tolerance);
  // The mean whose square root, five times, fits between it and the bound.
  const root = (Math.sqrt(DEVIATIONS ** 2 + 4 * most) - DEVIATIONS) / 2;
  return root ** 2;
}
