/**
 * Division of a limit over a sliding window between entries and two possible holders of leases. The old and the new
 * coordinator may both lend for a time; all parts together are at most the limit.
 *
 * An entry has one of two kinds of share:
 * - Without an offer, its share may be fractional and is rounded at random, so that the sum of these shares varies.
 * - With an offer, it keeps an integer, and the rest of its entitlement can be lent. Nothing is rounded.
 */

/** A limit that all entries use up together in a sliding window. */
export interface WindowedLimit {
  readonly amount: number;
  /** Length of the sliding window in ms. */
  readonly window: number;
}

/** Part of the limit that entries without offers divide, also those that run older code; the rest is margin. */
export const STATIC_PART = 0.7;

/** Part of its static share that an entry keeps whatever it offers, so that the loss of the holder costs little. */
const GUARANTEED_SHARE = 0.85;

/** Own part of each holder, which it can lend before it has offers; small, as the second holder's part is unused. */
const HOLDER_PART = 0.02;

/** With this many standard deviations, the sum of rounded shares exceeds its margin less than once in a million. */
const MARGIN_DEVIATIONS = 5;

/** Largest variance of a share that is rounded up or down at random. */
const ROUNDING_VARIANCE = 0.25;

/** Absorbs errors of floating-point arithmetic. */
const EPSILON = 1e-9;

/**
 * Margin for the sum of shares that are rounded at random.
 *
 * @param variance - sum of their variances
 * @returns an amount that the sum exceeds its mean by less than once in a million
 * @example
 * ```ts
 * limitParts.roundingMargin(75 * 0.25); // 21.7
 * ```
 */
export function roundingMargin(variance: number): number {
  return MARGIN_DEVIATIONS * Math.sqrt(variance);
}

/**
 * Upper bound of the variance of an amount that is rounded up or down at random.
 *
 * @param value - the amount before rounding
 * @returns the bound
 * @example
 * ```ts
 * limitParts.roundingVariance(0.1); // 0.1
 * ```
 */
export function roundingVariance(value: number): number {
  return Math.min(ROUNDING_VARIANCE, value);
}

/**
 * Amount that each holder may lend without offers.
 *
 * @param entries - number of entries that share it; 0 while unknown
 * @returns an integer; 0 if the margin for rounding needs all of the rest
 * @example
 * ```ts
 * limitParts.holderPart(168, 75); // 3
 * ```
 */
export function holderPart(amount: number, entries: number): number {
  if (entries < 1) {
    return 0;
  }
  const rest = amount * (1 - STATIC_PART) - roundingMargin(ROUNDING_VARIANCE * entries);
  return Math.max(0, Math.floor(Math.min(HOLDER_PART * amount, rest / 2)));
}

/**
 * Amount that an entry with an offer keeps and offers together: an equal part of what the holders do not have.
 *
 * @param entries - number of entries that share it, 1 or more
 * @returns an amount, which may be fractional
 * @example
 * ```ts
 * limitParts.entitlement(168, 75); // 2.16
 * ```
 */
export function entitlement(amount: number, entries: number): number {
  return (amount - 2 * holderPart(amount, entries)) / entries;
}

/**
 * Least integer that an entry keeps for use without a lease.
 *
 * @param entries - number of entries that share it, 1 or more
 * @returns an integer, at least 1; 0 if the limit has less than one for each entry, which then offer nothing
 * @example
 * ```ts
 * limitParts.minimumKept(168, 75); // 1
 * ```
 */
export function minimumKept(amount: number, entries: number): number {
  const guaranteed = wholePart((GUARANTEED_SHARE * STATIC_PART * amount) / entries);
  return Math.min(Math.max(1, guaranteed), wholePart(entitlement(amount, entries)));
}

/**
 * Integer part of an amount that may be subject to rounding errors.
 *
 * @param value - an amount
 * @returns the integer, not below 0
 * @example
 * ```ts
 * limitParts.wholePart(2.16 - 1.16); // 1
 * ```
 */
export function wholePart(value: number): number {
  return Math.max(0, Math.floor(value + EPSILON));
}

/**
 * Amount that a holder must not lend of the offers, because entries that offer nothing round their shares at random.
 *
 * @param entries - number of entries that share it
 * @param silent - number of these that have not offered anything to this holder
 * @param variance - sum of the variances of what offering entries round for other reasons
 * @returns an amount; it does not decrease with `silent`, since another holder may have offers of some of them
 * @example
 * ```ts
 * limitParts.reserve(168, 75, 4, 0); // 2.6
 * ```
 */
export function reserve(amount: number, entries: number, silent: number, variance: number): number {
  const spare = entitlement(amount, entries) - (STATIC_PART * amount) / entries;
  let largest = 0;
  for (let count = 0; count <= silent; count += 1) {
    largest = Math.max(largest, roundingMargin(ROUNDING_VARIANCE * count + variance) - spare * count);
  }
  return largest;
}
