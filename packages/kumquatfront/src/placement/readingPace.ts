/**
 * How long an engine takes from a place to the first event, learned from what it was given.
 *
 * Pattern: engines read prompts in turns and in pieces between the tokens of what they run. An engine that has
 * just started has memory for many, so all new prompts go there, and the fourth waits for three others although
 * other engines could read it at once. Grounds: beside decoding, engines of the first users read six tokens in a
 * millisecond, half of what they read alone; of the long generations that were served, one in five had its first
 * event after its objective only because it stood behind other prompts.
 */
import type * as ports from '../kernel/ports.js';

/** From a place to the first event without any reading: connection, admission, and the first step. */
const FIXED: ports.Milliseconds = 40;

/** Before anything is learned: an engine that reads 112 tokens in a step of 17 ms. */
const FIRST_GUESS = 1 / 6;

/** Weight of one more generation in what is learned: some tens of them settle it. */
const LEARNING_WEIGHT = 0.03;

/** A single reading changes the pace by this factor at most: engines that hang are no sign of the pace. */
const MOST_CHANGE = 2;

/** Learns the pace of the engines of each service; see the module comment. */
export class ReadingPace {
  /** Milliseconds for one prompt token, by service. */
  private readonly paces = new Map<string, number>();

  private paceOf(service: string): number {
    return this.paces.get(service) ?? FIRST_GUESS;
  }

  /**
   * Time from a place to the first event.
   *
   * @param service - whose engines
   * @param tokens - of the prompt, and of those that are read before it
   * @returns milliseconds
   * @example
   * ```ts
   * pace.timeToFirstEvent('ledger-llm', 3000); // 650
   * ```
   */
  timeToFirstEvent(service: string, tokens: number): ports.Milliseconds {
    return FIXED + tokens * this.paceOf(service);
  }

  /** Learns from a first event that came after `taken`, where `tokens` had to be read before it. */
  learn(service: string, tokens: number, taken: ports.Milliseconds): void {
    const known = this.paceOf(service);
    const seen = Math.max(0, taken - FIXED) / Math.max(1, tokens);
    const bounded = Math.min(known * MOST_CHANGE, Math.max(known / MOST_CHANGE, seen));
    this.paces.set(service, known + LEARNING_WEIGHT * (bounded - known));
  }
}
