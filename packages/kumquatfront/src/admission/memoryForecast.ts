/**
 * Forecasts the total memory of the generations running on an engine. A generation grows by one token per step
 * until it ends, at an unknown step with known survival probabilities. The memory at each horizon is therefore
 * modelled as a sum of independent random variables, by its mean and variance.
 */

/** Numbers of steps ahead at which memory is forecast. */
export const HORIZONS: readonly number[] = [0, 30, 60, 120, 240, 480, 960, 1_920, 3_840];

/** Memory and survival of one running generation. */
export interface GenerationMemory {
  /** Tokens currently in memory: the prompt and the output so far. */
  readonly heldTokens: number;
  /** Probability that the generation is still running at each horizon. */
  readonly survival: readonly number[];
}

/** Mean and variance of the total memory at each horizon. */
export interface Forecast {
  readonly means: Float64Array;
  readonly variances: Float64Array;
}

/**
 * Forecasts the memory of a set of generations.
 *
 * @param items - the running generations
 * @returns the forecast
 * @example
 * ```ts
 * const forecast = memoryForecast.forGenerations(running);
 * ```
 */
export function forGenerations(items: Iterable<GenerationMemory>): Forecast {
  const forecast = { means: new Float64Array(HORIZONS.length), variances: new Float64Array(HORIZONS.length) };
  for (const item of items) {
    for (const [position, steps] of HORIZONS.entries()) {
      const probability = item.survival[position] ?? 0;
      const size = item.heldTokens + steps;
      forecast.means[position] = (forecast.means[position] ?? 0) + probability * size;
      forecast.variances[position] =
        (forecast.variances[position] ?? 0) + probability * (1 - probability) * size * size;
    }
  }
  return forecast;
}

/**
 * Returns the peak memory over all horizons with one more generation added, at a confidence level given in standard
 * deviations.
 *
 * @returns the peak in tokens
 * @example
 * ```ts
 * memoryForecast.peakWith(memoryForecast.forGenerations([]), { heldTokens: 100, survival: memoryForecast.HORIZONS.map(() => 0) }, 1);
 * ```
 */
export function peakWith(forecast: Forecast, added: GenerationMemory, deviations: number): number {
  let highest = 0;
  for (let position = 0; position < HORIZONS.length; position += 1) {
    const probability = added.survival[position] ?? 0;
    const size = added.heldTokens + (HORIZONS[position] ?? 0);
    const mean = (forecast.means[position] ?? 0) + probability * size;
    const variance = (forecast.variances[position] ?? 0) + probability * (1 - probability) * size * size;
    highest = Math.max(highest, mean + deviations * Math.sqrt(variance));
  }
  return highest;
}
