/**
 * Forecast of the memory that running generations will hold together. Each grows a token a step while it
 * lives, and nobody knows for how long; what is known is how likely it is to be alive some steps from now.
 * So the memory at a horizon is a sum of independent terms, whose mean and spread are known.
 */

/** Steps ahead at which the forecast looks; between two of them little can be hidden. */
export const HORIZONS: readonly number[] = [0, 30, 60, 120, 240, 480, 960, 1_920, 3_840];

/** A running generation as the forecast sees it. */
export interface ForecastItem {
  /** Tokens held now: prompt and output so far. */
  readonly held: number;
  /** Probability to be alive at each of the horizons. */
  readonly survival: readonly number[];
}

/** Mean and variance of the memory at each horizon. */
export interface Forecast {
  readonly means: Float64Array;
  readonly variances: Float64Array;
}

/**
 * Sums up what runs.
 *
 * @param items - what runs
 * @returns the forecast, to which one more can be added
 * @example
 * ```ts
 * const forecast = memoryForecast.of(running);
 * ```
 */
export function of(items: Iterable<ForecastItem>): Forecast {
  const forecast = { means: new Float64Array(HORIZONS.length), variances: new Float64Array(HORIZONS.length) };
  for (const item of items) {
    for (const [position, steps] of HORIZONS.entries()) {
      const alive = item.survival[position] ?? 0;
      const size = item.held + steps;
      forecast.means[position] = (forecast.means[position] ?? 0) + alive * size;
      forecast.variances[position] = (forecast.variances[position] ?? 0) + alive * (1 - alive) * size * size;
    }
  }
  return forecast;
}

/**
 * The highest memory over all horizons, with one more generation, that is not exceeded but with a small
 * probability.
 *
 * @param forecast - what runs
 * @param added - what would be added
 * @param deviations - standard deviations above the mean that are reckoned with
 * @returns tokens
 * @example
 * ```ts
 * memoryForecast.peakWith(memoryForecast.of([]), { held: 100, survival: memoryForecast.HORIZONS.map(() => 0) }, 1);
 * ```
 */
export function peakWith(forecast: Forecast, added: ForecastItem, deviations: number): number {
  let highest = 0;
  for (let position = 0; position < HORIZONS.length; position += 1) {
    const alive = added.survival[position] ?? 0;
    const size = added.held + (HORIZONS[position] ?? 0);
    const mean = (forecast.means[position] ?? 0) + alive * size;
    const variance = (forecast.variances[position] ?? 0) + alive * (1 - alive) * size * size;
    highest = Math.max(highest, mean + deviations * Math.sqrt(variance));
  }
  return highest;
}
