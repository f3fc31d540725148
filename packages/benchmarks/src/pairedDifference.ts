/**
 * Paired comparison of two series measured on the same seeds: mean difference and standard error.
 */

/** A mean difference; not significant where it is within twice its standard error. */
export interface PairedDifference {
  readonly mean: number;
  readonly standardError: number;
}

/**
 * Compares two series pair by pair, which removes the variation between seeds.
 *
 * @param second - values for the same seeds in the same order
 * @returns mean of `first` minus `second`, and its standard error
 * @example
 * ```ts
 * pairedDifference.compare([0.5, 0.7], [0.4, 0.6]); // { mean: 0.1, standardError: 0 }
 * ```
 */
export function compare(first: readonly number[], second: readonly number[]): PairedDifference {
  const differences = first.map((value, index) => value - (second[index] ?? Number.NaN));
  const count = differences.length;
  const mean = differences.reduce((sum, value) => sum + value, 0) / count;
  const sumOfSquares = differences.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  return { mean, standardError: Math.sqrt(sumOfSquares / Math.max(1, count - 1) / count) };
}
