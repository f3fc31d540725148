/**
 * When a patient caller that found no place should come back.
 *
 * Pattern: a caller has one more try. While memory is short, a place that comes free in the next second goes to one
 * of those who still can be in time; whoever is told to come back then is refused for the second and last time. What
 * it needs is another load, and the load changes as fast as what runs is replaced: after the time that generations
 * of its kind take. Grounds: at 1.4 times the load that fits, times of 0.15 to 0.7 s, from the rate at which places
 * come free, left every second caller that came back without a place; a spread around the time of one generation
 * served a quarter of those, and what was refused twice fell by a quarter.
 */
import type * as ports from '../kernel/ports.js';

/** From when on, and over which span, in times of one generation: not all at once, and around one whole change. */
const EARLIEST_SHARE = 0.6;
const SPAN_SHARE = 1;

/** Bounds of what is told: a second is over before anything has changed; callers honour a third of their time. */
const SHORTEST: ports.Milliseconds = 1_000;
const LONGEST: ports.Milliseconds = 12_000;

/**
 * Time to come back, around the time that one generation takes.
 *
 * @param residence - milliseconds from the place to the last event, as most take
 * @param chance - uniform from 0 to 1
 * @returns milliseconds
 * @example
 * ```ts
 * comingBack.afterResidence(8_000, 0.5); // 8800
 * ```
 */
export function afterResidence(residence: ports.Milliseconds, chance: number): ports.Milliseconds {
  const spread = residence * (EARLIEST_SHARE + SPAN_SHARE * chance);
  return Math.min(LONGEST, Math.max(SHORTEST, spread));
}
