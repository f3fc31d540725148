/**
 * Shares of the heap limit at which the process reports what it holds.
 */
import type * as ports from '../kernel/ports.js';

/** An idle entry is at a quarter; Node.js spends most of its time on collections, or ends, from about nine tenths. */
const LEVELS: readonly number[] = [0.6, 0.75, 0.85];

/** Share that the heap must fall below a level before it counts as below it. */
const HYSTERESIS = 0.08;

/** Time within which the same level is not reported again. */
const REPORT_INTERVAL: ports.Milliseconds = 5_000;

/** Decides when a report is due; see the module comment. */
export class HeapLevels {
  /** Number of levels that the heap has passed. */
  private level = 0;
  private readonly reportedAt: ports.Milliseconds[] = LEVELS.map(() => Number.NEGATIVE_INFINITY);

  /**
   * Records the live share of the limit.
   *
   * @returns true if the heap has passed a level that was not reported lately
   * @example
   * ```ts
   * if (levels.update(live / limit, timers.now())) { report(); }
   * ```
   */
  update(share: number, now: ports.Milliseconds): boolean {
    const previous = this.level;
    while (share >= (LEVELS[this.level] ?? Number.POSITIVE_INFINITY)) {
      this.level += 1;
    }
    while (this.level > 0 && share < (LEVELS[this.level - 1] ?? 0) - HYSTERESIS) {
      this.level -= 1;
    }
    const highest = this.level - 1;
    if (this.level <= previous || now - (this.reportedAt[highest] ?? 0) < REPORT_INTERVAL) {
      return false;
    }
    // A report of a level stands for those below it as well.
    for (let index = 0; index <= highest; index += 1) {
      this.reportedAt[index] = now;
    }
    return true;
  }
}
