/**
 * Mean difference of two series that were measured on the same seeds, with its standard error.
 */

/** A difference; what lies within twice the error is no difference. */
export interface PairedDifference {
  readonly mean: number;
  readonly error: number;
}

/**
 * Compares pair by pair, which takes out what a seed does to both.
 *
 * @param first - one figure a seed
 * @param second - the same seeds in the same order
 * @returns mean of first less second, and its standard error
 * @example
 * ```ts
 * pairedDifference.of([0.5, 0.7], [0.4, 0.6]); // { mean: 0.1, error: 0 }
 * ```
 */
export function of(first: readonly number[], second: readonly number[]): PairedDifference {
  const differences = first.map((value, index) => value - (second[index] ?? Number.NaN));
  const count = differences.length;
  const mean = differences.reduce((sum, value) => sum + value, 0) / count;
  const squares = differences.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  return { mean, error: Math.sqrt(squares / Math.max(1, count - 1) / count) };
}
