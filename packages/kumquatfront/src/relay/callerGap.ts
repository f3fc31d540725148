/**
 * The gap after which callers abandon a stream, which bounds every wait for one of its events.
 */
import type * as ports from '../kernel/ports.js';
import type * as trafficTypes from '../traffic/types.js';

const MINIMUM_GAP: ports.Milliseconds = 2_000;
const GAP_OBJECTIVES = 4;
const GAP_PAUSES = 8;

/**
 * Gap after which callers of a route abandon a stream.
 *
 * @param route - the route with its objective and longest accepted pause
 * @returns the gap in milliseconds
 * @example
 * ```ts
 * callerGap.forRoute({ ...route, objective: 800, longestPause: 180 }); // 3200
 * ```
 */
export function forRoute({
  objective,
  longestPause,
}: Pick<trafficTypes.Route, 'objective' | 'longestPause'>): ports.Milliseconds {
  return Math.max(MINIMUM_GAP, GAP_OBJECTIVES * objective, GAP_PAUSES * longestPause);
}
