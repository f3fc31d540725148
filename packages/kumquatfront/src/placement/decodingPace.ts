/**
 * How fast each engine makes tokens, learned from the reports of what runs there.
 *
 * Pattern: engines of one service differ in speed by a third, and those that read many prompts beside are slower
 * still. What a generation takes from its first to its last event is what is lost of it when a process dies: a long
 * one that runs a quarter shorter is exposed a quarter less. The pace that counts is the one seen, with all that the
 * engine reads beside, since that is what the next generation gets.
 */
import type * as ports from '../kernel/ports.js';

/** Before anything is learned of a service: a step of a few milliseconds with a little reading beside it. */
const FIRST_GUESS = 9;

/** Weight of one more sample; an engine with five generations gives as many samples a second. */
const LEARNING_WEIGHT = 0.1;

/** Tokens between two looks at a generation: events hold several, and reports come four times a second. */
export const SAMPLE_TOKENS = 64;

/** A generation that was paused or moved in between tells nothing of the pace. */
const SLOWEST_SAMPLE = 60;

/** Learns the pace of engines; see the module comment. */
export class DecodingPace {
  /** Milliseconds a token, by engine. */
  private readonly engines = new Map<string, number>();
  /** The same over all engines of a service. */
  private readonly services = new Map<string, number>();

  /** Learns from a generation that made `tokens` in `taken` milliseconds on an engine. */
  learn(service: string, engine: string, tokens: number, taken: ports.Milliseconds): void {
    const seen = taken / Math.max(1, tokens);
    if (seen <= 0 || seen > SLOWEST_SAMPLE) {
      return;
    }
    const known = this.paceOf(service, engine);
    this.engines.set(engine, known + LEARNING_WEIGHT * (seen - known));
    const common = this.services.get(service) ?? seen;
    this.services.set(service, common + LEARNING_WEIGHT * 0.2 * (seen - common));
  }

  /**
   * Milliseconds that an engine takes for a token; that of its service where it is not known yet.
   *
   * @example
   * ```ts
   * pace.paceOf('ledger-llm', 'i-7f3a'); // 8.2
   * ```
   */
  paceOf(service: string, engine: string): ports.Milliseconds {
    return this.engines.get(engine) ?? this.services.get(service) ?? FIRST_GUESS;
  }

  /** Milliseconds by which an engine makes a number of tokens later than its service's common one; below 0 sooner. */
  laterThanCommon(service: string, engine: string, tokens: number): ports.Milliseconds {
    const common = this.services.get(service) ?? FIRST_GUESS;
    return tokens * (this.paceOf(service, engine) - common);
  }

  /** Forgets engines that are gone. */
  keepOnly(engines: ReadonlySet<string>): void {
    for (const engine of this.engines.keys()) {
      if (!engines.has(engine)) {
        this.engines.delete(engine);
      }
    }
  }
}
