/**
 * Idle timeout after which a resumable stream requests another upstream.
 */
import type * as ports from '../kernel/ports.js';
import type * as trafficTypes from '../traffic/types.js';

/** Idle timeout of a started stream, as a multiple of the longest pause that its route accepts. */
const IDLE_TIMEOUT_PAUSES = 5;

/** Timeout of the first event, as a share of the objective; the rest lets a second engine meet the objective. */
const FIRST_EVENT_OBJECTIVE_SHARE = 0.62;

/**
 * Margin on the coordinator's forecast of the first event, as a factor and a minimum. The forecast of a
 * new engine may be off by the spread of paces, and a stream sent twice delays all prompts behind it.
 */
const FORECAST_FACTOR = 1.3;
const MINIMUM_FORECAST_MARGIN: ports.Milliseconds = 250;

/** Lower bound of the timeout of the first event. */
const MINIMUM_IDLE_TIMEOUT: ports.Milliseconds = 400;

/**
 * Lower bound of the timeout of a started stream: a healthy upstream may be silent for a second, and callers wait for two
 * seconds at least.
 */
const MINIMUM_STARTED_TIMEOUT: ports.Milliseconds = 1_300;

/**
 * Idle timeout of a stream.
 *
 * @param route - the route with its objective and longest accepted pause
 * @param started - true if the first event has been received
 * @param firstEventIn - the coordinator's forecast from the placement to the first event; undefined if there is none
 * @returns the timeout in milliseconds
 * @example
 * ```ts
 * timers.after(idleTimeout.forRoute(route, false, 900), selectReplacement);
 * ```
 */
export function forRoute(
  route: trafficTypes.Route,
  started: boolean,
  firstEventIn?: ports.Milliseconds,
): ports.Milliseconds {
  const { objective, longestPause } = route;
  if (started) {
    return Math.max(MINIMUM_STARTED_TIMEOUT, longestPause * IDLE_TIMEOUT_PAUSES);
  }
  const forecastTimeout =
    firstEventIn === undefined
      ? 0
      : Math.max(firstEventIn * FORECAST_FACTOR, firstEventIn + MINIMUM_FORECAST_MARGIN);
  return Math.max(MINIMUM_IDLE_TIMEOUT, objective * FIRST_EVENT_OBJECTIVE_SHARE, forecastTimeout);
}
