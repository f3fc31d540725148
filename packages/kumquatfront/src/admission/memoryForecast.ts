/**
 * Forecast of the most memory that running generations will hold together. They grow a token a step each
 * and leave when they end, so the peak is less than the sum of their final lengths.
 */

/** A running generation as the forecast sees it; lengths in tokens. */
export interface ForecastItem {
  /** Tokens held now: prompt and output so far. */
  readonly held: number;
  /** Tokens still expected to come. */
  readonly remaining: number;
}

/**
 * The peak. At the moment a generation with `remaining` r ends, those with at least r left hold what they
 * hold now plus r each; the peak is the largest of these sums.
 *
 * @param items - what runs; it is not changed
 * @returns tokens held together at the peak
 * @example
 * ```ts
 * memoryForecast.peak([{ held: 100, remaining: 50 }, { held: 40, remaining: 10 }]); // 160
 * ```
 */
export function peak(items: readonly ForecastItem[]): number {
  const byRemaining = [...items].sort((left, right) => right.remaining - left.remaining);
  let held = 0;
  let highest = 0;
  let count = 0;
  for (const item of byRemaining) {
    held += item.held;
    count += 1;
    highest = Math.max(highest, held + count * item.remaining);
  }
  return highest;
}
