/**
 * Bounds the memory that an engine holds by what can be moved off it between its termination notice and its end.
 *
 * Load: engines that end with short notice while their link copies slowly.
 */
import type * as ports from '../kernel/ports.js';

/** Notice before any is observed. */
const DEFAULT_NOTICE: ports.Milliseconds = 1_500;

/** Observed notices that are kept; notices of one platform are similar. */
const MAXIMUM_NOTICES = 16;

/** Share of a notice that is left for copying, after the notice has reached the coordinator and targets are chosen. */
const COPYING_SHARE = 0.8;

const BITS_PER_BYTE = 8;

/** Link and memory figures of an engine. */
export interface EngineLink {
  readonly linkMegabitsPerSecond: number;
  readonly bytesPerToken: number;
}

/** Bound on the memory of engines; see the module comment. */
export class MoveBudget {
  private readonly notices: ports.Milliseconds[] = [];

  /** Records the time from the termination notice of an engine to its end. */
  observeNotice(duration: ports.Milliseconds): void {
    if (Number.isFinite(duration) && duration > 0) {
      this.notices.push(duration);
      if (this.notices.length > MAXIMUM_NOTICES) {
        this.notices.shift();
      }
    }
  }

  /** Notice to plan for: the lower quartile of the observed ones, with the default counted once. */
  get notice(): ports.Milliseconds {
    const sorted = [...this.notices, DEFAULT_NOTICE].sort((left, right) => left - right);
    return sorted[Math.floor((sorted.length - 1) / 4)] ?? DEFAULT_NOTICE;
  }

  /**
   * Tokens that an engine can hold so that all of them can be moved within a notice.
   *
   * @param link - figures of the engine; where one is missing (0), nothing is bounded
   * @returns the number of tokens; infinite if the figures are not known
   * @example
   * ```ts
   * budget.tokensFor({ linkMegabitsPerSecond: 1_000, bytesPerToken: 5_000 }); // 30_000
   * ```
   */
  tokensFor({ linkMegabitsPerSecond, bytesPerToken }: EngineLink): number {
    if (!(linkMegabitsPerSecond > 0) || !(bytesPerToken > 0)) {
      return Number.POSITIVE_INFINITY;
    }
    const bytesPerMillisecond = (linkMegabitsPerSecond * 1_000) / BITS_PER_BYTE;
    return Math.floor((this.notice * COPYING_SHARE * bytesPerMillisecond) / bytesPerToken);
  }

  /** True if the bound is below the memory of the engine, so that placement must regard it. */
  isBinding(link: EngineLink, memoryTokens: number): boolean {
    return this.tokensFor(link) < memoryTokens;
  }
}
