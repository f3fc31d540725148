/**
 * Forecasts of the output of generations, whose length nobody knows.
 *
 * Pattern: lengths with a long tail, and hints that are right at the median and often far off. Two things are
 * known: how long earlier generations of the same service and rank became, and what has been made already.
 * A generation that has outlived most others is a long one, so the forecast is the mean of those that became
 * longer still. Grounds: where hints err by a factor of three either way (sigma near 1.2) and lengths spread
 * with sigma 0.85, a hint deserves a third of the weight beside the lengths that were seen.
 */
import type * as types from './types.js';

/** Weight of a caller's hint beside what was learned, in the logarithm; see the module comment. */
const HINT_WEIGHT = 0.33;

/** Lengths remembered of each service and rank: a few minutes' worth at the users' rates. */
const SAMPLES = 256;

/** Lengths that must be known before they count. */
const LEAST_SAMPLES = 12;

/** Growth of the forecast of a generation that has outlived every length that is known. */
const OUTLIVED_GROWTH = 1.3;

/** Tokens that a running generation is expected to make at least: a dozen events, so that none is "done". */
const LEAST_REMAINING = 48;

/** Output assumed where nothing was learned and the caller gives no hint: as share of the limit that it names. */
const UNHINTED_SHARE = 0.5;

/** Learns lengths and forecasts them; see the module comment. */
export class LengthForecast {
  private readonly samples = new Map<string, number[]>();

  private keyOf(facts: types.GenerationFacts): string {
    return `${facts.service} ${facts.rank}`;
  }

  /** Notes the output of a generation that ended by itself. */
  learn(facts: types.GenerationFacts, output: number): void {
    const samples = this.samples.get(this.keyOf(facts)) ?? [];
    samples.push(output);
    if (samples.length > SAMPLES) {
      samples.shift();
    }
    this.samples.set(this.keyOf(facts), samples);
  }

  /** Mean of the known lengths above what was made; undefined where too few are known. */
  private learnedOutput(facts: types.GenerationFacts, produced: number): number | undefined {
    const samples = this.samples.get(this.keyOf(facts)) ?? [];
    if (samples.length < LEAST_SAMPLES) {
      return undefined;
    }
    const longer = samples.filter((output) => output > produced);
    if (longer.length === 0) {
      return produced * OUTLIVED_GROWTH;
    }
    return longer.reduce((sum, output) => sum + output, 0) / longer.length;
  }

  /**
   * Output tokens that a generation is expected to make in all; never above the limit that its caller named.
   *
   * @example
   * ```ts
   * forecast.expectedOutput(facts, 120);
   * ```
   */
  expectedOutput(facts: types.GenerationFacts, produced: number): number {
    const { lengthHint: hint, outputLimit } = facts;
    const learned = this.learnedOutput(facts, produced);
    const guess =
      learned === undefined
        ? hint > 0
          ? hint
          : outputLimit * UNHINTED_SHARE
        : hint > produced
          ? Math.exp(HINT_WEIGHT * Math.log(hint) + (1 - HINT_WEIGHT) * Math.log(learned))
          : learned;
    const least = produced === 0 ? 1 : produced + LEAST_REMAINING;
    return Math.min(Math.max(outputLimit, 1), Math.max(guess, least));
  }

  /** Output tokens that are still to come. */
  remaining(facts: types.GenerationFacts, produced: number): number {
    return Math.max(0, this.expectedOutput(facts, produced) - produced);
  }
}
