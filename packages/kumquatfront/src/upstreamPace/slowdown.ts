/**
 * Slowdown that an upstream reports: how long work currently takes on its VM, as a factor where 1 is normal.
 *
 * Load: VMs that take 2.5 times as long for some hundred milliseconds.
 */
import type * as ports from '../kernel/ports.js';

/** The figure changes many times a second, so a report says little after about half a second. */
export const SLOWDOWN_HALF_LIFE: ports.Milliseconds = 300;

/**
 * Bounds of plausible slowdowns. Values below normal are not believed, because an upstream that reports a false one would
 * attract the calls of all entries.
 */
export const MINIMUM_SLOWDOWN = 1;
export const MAXIMUM_SLOWDOWN = 10;

/** Slowdowns above this value count as slow; below it, callers notice no difference. */
export const SLOW_THRESHOLD = 1.25;

/**
 * Bounds a reported slowdown.
 *
 * @param reported - the factor as reported; undefined if the upstream reports none
 * @returns a plausible factor; 1 if the value is missing, not a number, zero or negative
 * @example
 * ```ts
 * slowdown.bounded(250); // 10
 * ```
 */
export function bounded(reported: number | undefined): number {
  if (reported === undefined || Number.isNaN(reported) || reported <= 0) {
    return 1;
  }
  return Math.min(MAXIMUM_SLOWDOWN, Math.max(MINIMUM_SLOWDOWN, reported));
}

/**
 * Slowdown to expect some time after a report.
 *
 * @param age - time since the report; a negative age counts as 0
 * @returns the factor, which decays to 1
 * @example
 * ```ts
 * slowdown.decayed(3, 300); // 2
 * ```
 */
export function decayed(reported: number | undefined, age: ports.Milliseconds): number {
  return 1 + (bounded(reported) - 1) * 2 ** (-Math.max(0, age) / SLOWDOWN_HALF_LIFE);
}
