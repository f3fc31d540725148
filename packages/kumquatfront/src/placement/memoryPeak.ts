/**
 * Forecasts the peak memory of the generations on one engine. Generations that start at different times do not peak
 * simultaneously, so the sum of their individual peaks would overestimate it.
 */

/** Memory of one generation: tokens held now, and tokens expected to be added. */
export interface GenerationMemory {
  readonly held: number;
  readonly remaining: number;
}

/**
 * Computes the peak memory. Every generation grows by one token per step, so the total can only peak just before one
 * of them ends.
 *
 * @returns peak in tokens
 * @example
 * ```ts
 * memoryPeak.peakOf([{ held: 3000, remaining: 500 }, { held: 3200, remaining: 20 }]); // 6240
 * ```
 */
export function peakOf(generations: readonly GenerationMemory[]): number {
  const byRemaining = [...generations].sort((left, right) => left.remaining - right.remaining);
  let heldByActive = byRemaining.reduce((sum, generation) => sum + generation.held, 0);
  let peak = 0;
  for (const [position, generation] of byRemaining.entries()) {
    const activeCount = byRemaining.length - position;
    peak = Math.max(peak, heldByActive + activeCount * generation.remaining);
    heldByActive -= generation.held;
  }
  return peak;
}

/**
 * Forecasts the memory held after a number of decoding steps.
 *
 * @param step - number of steps; generations with fewer remaining tokens have ended by then
 * @returns memory in tokens
 * @example
 * ```ts
 * memoryPeak.heldAt([{ held: 3000, remaining: 500 }, { held: 3200, remaining: 20 }], 30); // 3030
 * ```
 */
export function heldAt(generations: readonly GenerationMemory[], step: number): number {
  return generations
    .filter((generation) => generation.remaining >= step)
    .reduce((sum, generation) => sum + generation.held + step, 0);
}
