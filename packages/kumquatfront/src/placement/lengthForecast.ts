/**
 * Forecasts of memory for generations whose length nobody knows.
 *
 * Pattern: hints that are right at the median and often far off, with a long tail. A generation that has
 * outlived its hint is a long one, so its forecast grows with what it has made. Grounds: with lengths spread
 * log-normally (sigma near 0.85) the median of what is left, given n tokens made past the hint, is a quarter
 * to a third of n.
 */
import type * as types from './types.js';

/** Growth of the forecast of a generation that has outlived its hint; see the module comment. */
const OUTLIVED_GROWTH = 1.3;

/** Tokens that a running generation is expected to make at least: a dozen events, so that none is "done". */
const LEAST_REMAINING = 48;

/** Output assumed where the caller gives no hint: as share of the limit that it names. */
const UNHINTED_SHARE = 0.5;

/**
 * Output tokens that a generation is expected to make in all.
 *
 * @param facts - what its caller said
 * @param produced - tokens made so far
 * @returns tokens, never above the limit that the caller named
 * @example
 * ```ts
 * lengthForecast.expectedOutput(facts, 0);
 * ```
 */
export function expectedOutput(facts: types.GenerationFacts, produced: number): number {
  const hint = facts.lengthHint > 0 ? facts.lengthHint : facts.outputLimit * UNHINTED_SHARE;
  const grown = produced === 0 ? 0 : Math.max(produced * OUTLIVED_GROWTH, produced + LEAST_REMAINING);
  return Math.min(Math.max(facts.outputLimit, 1), Math.max(hint, grown));
}

/**
 * Memory that a generation is expected to need at its end.
 *
 * @param facts - what its caller said
 * @param produced - tokens made so far
 * @returns tokens of prompt and output
 * @example
 * ```ts
 * const needed = lengthForecast.peakMemory(facts, 120);
 * ```
 */
export function peakMemory(facts: types.GenerationFacts, produced: number): number {
  return facts.promptTokens + expectedOutput(facts, produced);
}
