/**
 * How long a resumable stream waits for a silent upstream before another one is sought.
 */
import type * as ports from '../kernel/ports.js';
import type * as trafficTypes from '../traffic/types.js';

/** A resumable stream that falls silent for this many of the pauses that callers accept goes on elsewhere. */
const RESUME_AFTER_PAUSES = 5;

/**
 * A resumable stream without its first event for this share of its objective begins elsewhere: twice what most
 * take, and early enough for the second engine to be in time.
 */
const RESUME_BEFORE_FIRST = 0.62;

/** Neither is ever shorter than this. */
const SHORTEST_SILENCE: ports.Milliseconds = 400;

/**
 * The patience of a stream on a route.
 *
 * @param route - its objective and the pauses that its callers accept
 * @param begun - true once an event has come
 * @returns milliseconds of silence
 * @example
 * ```ts
 * timers.after(silencePatience.of(route, false), seekAnother);
 * ```
 */
export function of(route: trafficTypes.Route, begun: boolean): ports.Milliseconds {
  const { objective, longestPause } = route;
  const patience = begun ? longestPause * RESUME_AFTER_PAUSES : objective * RESUME_BEFORE_FIRST;
  return Math.max(SHORTEST_SILENCE, patience);
}
