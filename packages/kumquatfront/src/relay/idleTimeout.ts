/**
 * Idle timeout after which a resumable stream requests another upstream.
 */
import type * as ports from '../kernel/ports.js';
import type * as trafficTypes from '../traffic/types.js';

/** Idle timeout of a started stream, as a multiple of the longest pause that its route accepts. */
const IDLE_TIMEOUT_PAUSES = 5;

/** Timeout of the first event, as a share of the objective; the rest lets a second engine meet the objective. */
const FIRST_EVENT_OBJECTIVE_SHARE = 0.62;

/** Lower bound of both timeouts. */
const MINIMUM_IDLE_TIMEOUT: ports.Milliseconds = 400;

/**
 * Idle timeout of a stream.
 *
 * @param route - the route with its objective and longest accepted pause
 * @param started - true if the first event has been received
 * @returns the timeout in milliseconds
 * @example
 * ```ts
 * timers.after(idleTimeout.forRoute(route, false), selectReplacement);
 * ```
 */
export function forRoute(route: trafficTypes.Route, started: boolean): ports.Milliseconds {
  const { objective, longestPause } = route;
  const timeout = started ? longestPause * IDLE_TIMEOUT_PAUSES : objective * FIRST_EVENT_OBJECTIVE_SHARE;
  return Math.max(MINIMUM_IDLE_TIMEOUT, timeout);
}
