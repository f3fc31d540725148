/**
 * Estimates the time from placement to the first event from the number of prompt tokens to process (prefill). The
 * prefill rate of each service is learned from completed prefills.
 */
import type * as ports from '../kernel/ports.js';

/** Time to the first event without prefill: connection, admission and the first decoding step. */
const FIXED_DELAY: ports.Milliseconds = 40;

/** Prefill time per token before the first observation: an engine that reads 112 tokens in a step of 17 ms. */
const INITIAL_MILLISECONDS_PER_TOKEN = 1 / 6;

/** Weight of one observation in the moving average; some tens of them determine it. */
const SMOOTHING_FACTOR = 0.03;

/** Limit on how far one observation can differ from the average, so that an unresponsive engine does not distort it. */
const MAXIMUM_CHANGE_FACTOR = 2;

/** Moving average of the prefill time per token, by service. */
export class PrefillEstimator {
  /** Prefill time of one prompt token, by service. */
  private readonly millisecondsPerToken = new Map<string, number>();

  /** Prefill time of one prompt token on the engines of a service. */
  millisecondsPerTokenOf(service: string): number {
    return this.millisecondsPerToken.get(service) ?? INITIAL_MILLISECONDS_PER_TOKEN;
  }

  /**
   * Estimates the time from placement to the first event.
   *
   * @param tokens - prompt tokens to process, including those of prompts ahead
   * @returns milliseconds
   * @example
   * ```ts
   * estimator.timeToFirstEvent('ledger-llm', 3000); // 650
   * ```
   */
  timeToFirstEvent(service: string, tokens: number): ports.Milliseconds {
    return FIXED_DELAY + tokens * this.millisecondsPerTokenOf(service);
  }

  /** Records a first event that arrived after `elapsed`, with `tokens` prompt tokens processed before it. */
  observe(service: string, tokens: number, elapsed: ports.Milliseconds): void {
    const current = this.millisecondsPerTokenOf(service);
    const observed = Math.max(0, elapsed - FIXED_DELAY) / Math.max(1, tokens);
    const bounded = Math.min(
      current * MAXIMUM_CHANGE_FACTOR,
      Math.max(current / MAXIMUM_CHANGE_FACTOR, observed),
    );
    this.millisecondsPerToken.set(service, current + SMOOTHING_FACTOR * (bounded - current));
  }
}
