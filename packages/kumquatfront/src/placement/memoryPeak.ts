/**
 * The most memory that generations on one engine are forecast to need at any one moment.
 *
 * Pattern: generations that begin at different moments do not peak together; while one nears its end another
 * has just begun. Adding up their peaks would leave a fifth of an engine's memory unused. All grow by one
 * token a step, so the sum can only peak just before one of them ends.
 */

/** Memory of one generation: tokens held now, and tokens still to come. */
export interface Growth {
  readonly held: number;
  readonly remaining: number;
}

/**
 * Computes the peak.
 *
 * @param generations - those on one engine
 * @returns tokens
 * @example
 * ```ts
 * memoryPeak.peakOf([{ held: 3000, remaining: 500 }, { held: 3200, remaining: 20 }]); // 6240
 * ```
 */
export function peakOf(generations: readonly Growth[]): number {
  const byEnd = [...generations].sort((left, right) => left.remaining - right.remaining);
  let heldByRest = byEnd.reduce((sum, generation) => sum + generation.held, 0);
  let peak = 0;
  for (const [position, generation] of byEnd.entries()) {
    const alive = byEnd.length - position;
    peak = Math.max(peak, heldByRest + alive * generation.remaining);
    heldByRest -= generation.held;
  }
  return peak;
}

/**
 * Memory that generations are forecast to hold at one moment.
 *
 * @param generations - those on one engine
 * @param step - tokens that each of them will have made by then, unless it ends before
 * @returns tokens
 * @example
 * ```ts
 * memoryPeak.heldAt([{ held: 3000, remaining: 500 }, { held: 3200, remaining: 20 }], 30); // 3030
 * ```
 */
export function heldAt(generations: readonly Growth[], step: number): number {
  return generations
    .filter((generation) => generation.remaining >= step)
    .reduce((sum, generation) => sum + generation.held + step, 0);
}
