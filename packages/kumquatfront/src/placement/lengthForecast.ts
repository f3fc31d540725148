/**
 * Forecasts the output length of generations from completed generations of the same service and rank, the tokens
 * produced so far, and the caller's hint. The forecast of a running generation is the mean of the observed lengths
 * that exceed its current length.
 */
import type * as types from './types.js';

/**
 * Weight of the caller's hint against the observed mean, in logarithmic space. Hints are right at the median, and often
 * wrong by a factor of three either way.
 */
const HINT_WEIGHT = 0.33;

/** Most recent lengths kept for each service and rank. */
const MAXIMUM_SAMPLES = 256;

/** Observations required before they are used. */
const MINIMUM_SAMPLES = 12;

/** Factor applied to the produced tokens when they exceed every observed length. */
const UNSEEN_LENGTH_FACTOR = 1.3;

/** Minimum remaining output of a running generation, a dozen events, so that none is forecast as complete. */
export const MINIMUM_REMAINING_TOKENS = 48;

/** Share of the output limit that is assumed without observations and without a hint. */
const DEFAULT_LIMIT_SHARE = 0.5;

/** Observes output lengths and forecasts them. */
export class LengthForecast {
  private readonly samples = new Map<string, number[]>();

  private keyOf(attributes: types.GenerationAttributes): string {
    return `${attributes.service} ${attributes.rank}`;
  }

  /** Records the output length of a completed generation. */
  observe(attributes: types.GenerationAttributes, output: number): void {
    const samples = this.samples.get(this.keyOf(attributes)) ?? [];
    samples.push(output);
    if (samples.length > MAXIMUM_SAMPLES) {
      samples.shift();
    }
    this.samples.set(this.keyOf(attributes), samples);
  }

  /** Mean of the observed lengths above `produced`; undefined with too few observations. */
  private observedMean(attributes: types.GenerationAttributes, produced: number): number | undefined {
    const samples = this.samples.get(this.keyOf(attributes)) ?? [];
    if (samples.length < MINIMUM_SAMPLES) {
      return undefined;
    }
    const longerOutputs = samples.filter((output) => output > produced);
    if (longerOutputs.length === 0) {
      return produced * UNSEEN_LENGTH_FACTOR;
    }
    return longerOutputs.reduce((sum, output) => sum + output, 0) / longerOutputs.length;
  }

  /**
   * Expected total output tokens of a generation, at most its output limit.
   *
   * @example
   * ```ts
   * forecast.totalOutput(attributes, 120);
   * ```
   */
  totalOutput(attributes: types.GenerationAttributes, produced: number): number {
    const { lengthHint: hint, outputLimit } = attributes;
    const observed = this.observedMean(attributes, produced);
    const estimate =
      observed === undefined
        ? hint > 0
          ? hint
          : outputLimit * DEFAULT_LIMIT_SHARE
        : hint > produced
          ? Math.exp(HINT_WEIGHT * Math.log(hint) + (1 - HINT_WEIGHT) * Math.log(observed))
          : observed;
    const minimum = produced === 0 ? 1 : produced + MINIMUM_REMAINING_TOKENS;
    return Math.min(Math.max(outputLimit, 1), Math.max(estimate, minimum));
  }

  /** Expected number of output tokens still to be produced. */
  remainingOutput(attributes: types.GenerationAttributes, produced: number): number {
    return Math.max(0, this.totalOutput(attributes, produced) - produced);
  }
}
