/**
 * Keeps large prompts from starving under overload. Queues of engines then hover just below the objective, where only
 * small prompts still fit; while large ones are served too rarely, small ones must leave as much time as a large one.
 */
import type * as ports from '../kernel/ports.js';

/** Share of the largest prompts that are compared with the rest. */
const LARGE_SHARE = 0.1;

/** Ratio of the served shares below which small prompts are held back; above 0.5, as the effect takes a second. */
const MINIMUM_RATIO = 0.9;

/** Period and number of the outcomes that are compared; below the minimum there is too little to compare. */
const WINDOW: ports.Milliseconds = 5_000;
const MAXIMUM_OUTCOMES = 500;
const MINIMUM_OUTCOMES = 20;

interface PromptOutcome {
  readonly at: ports.Milliseconds;
  readonly tokens: number;
  readonly served: boolean;
}

function servedShare(outcomes: readonly PromptOutcome[]): number {
  // One outcome of each kind is added, so that few outcomes give no extreme share.
  return (outcomes.filter((outcome) => outcome.served).length + 1) / (outcomes.length + 2);
}

/** Outcomes of recent prompts, by service and class. */
export class SizeFairness {
  private readonly outcomes = new Map<string, PromptOutcome[]>();
  private readonly allowances = new Map<string, number>();

  /**
   * Records that a prompt was served or refused.
   *
   * @param key - service and class, within which prompts are compared
   * @example
   * ```ts
   * fairness.record('llm urgent', 2200, false, now);
   * ```
   */
  record(key: string, tokens: number, served: boolean, now: ports.Milliseconds): void {
    const recent = (this.outcomes.get(key) ?? [])
      .slice(-MAXIMUM_OUTCOMES + 1)
      .filter((outcome) => now - outcome.at < WINDOW);
    recent.push({ at: now, tokens, served });
    this.outcomes.set(key, recent);
    this.allowances.set(key, this.computeAllowance(recent));
  }

  private computeAllowance(outcomes: readonly PromptOutcome[]): number {
    if (outcomes.length < MINIMUM_OUTCOMES) {
      return 0;
    }
    const sizes = outcomes.map((outcome) => outcome.tokens).sort((left, right) => left - right);
    const largeSize = sizes[Math.floor(sizes.length * (1 - LARGE_SHARE))] ?? 0;
    const large = outcomes.filter((outcome) => outcome.tokens >= largeSize);
    const rest = outcomes.filter((outcome) => outcome.tokens < largeSize);
    const isStarved = rest.length > 0 && servedShare(large) < MINIMUM_RATIO * servedShare(rest);
    // The median of the large prompts: at the bound itself only the smallest of them would fit.
    const allowance = sizes[Math.floor(sizes.length * (1 - LARGE_SHARE / 2))] ?? 0;
    return isStarved ? allowance : 0;
  }

  /**
   * Number of tokens for which a prompt must leave time, at least its own size.
   *
   * @example
   * ```ts
   * const tokens = fairness.requiredTokens('llm urgent', 1500, now);
   * ```
   */
  requiredTokens(key: string, tokens: number, now: ports.Milliseconds): number {
    const newest = this.outcomes.get(key)?.at(-1);
    const isRecent = newest !== undefined && now - newest.at < WINDOW;
    return isRecent ? Math.max(tokens, this.allowances.get(key) ?? 0) : tokens;
  }
}
