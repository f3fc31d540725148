/**
 * Share of one entry in a limit that all entries use up over a sliding window, without coordination between them.
 *
 * The shares of all entries add up to at most the limit, also while entries are cut off from control or restart:
 * - An entry that has lost control keeps its share for a time, and has none after that. The others increase theirs
 *   only later, because they remember the former number of entries for longer.
 * - A new process has no share for one window, because its predecessor may have used the share up in that window.
 */
import type * as ports from '../kernel/ports.js';
import * as entryCountHistory from './entryCountHistory.js';

/** Share of one entry; see the module comment. */
export class WindowedShare {
  private readonly history: entryCountHistory.EntryCountHistory;

  /**
   * @param currentCount - returns the number of entries; 0 while unknown
   * @param window - length of the sliding window of the limit
   */
  constructor(
    currentCount: () => number,
    private readonly window: ports.Milliseconds,
  ) {
    this.history = new entryCountHistory.EntryCountHistory(currentCount);
  }

  /**
   * Share of this entry in the limit.
   *
   * @returns a fraction from 0 to 1
   * @example
   * ```ts
   * const share = new windowedShare.WindowedShare(() => 64, 10_000);
   * share.at(timers.now()); // 0 in the first ten seconds, then 1 / 64
   * ```
   */
  at(now: ports.Milliseconds): number {
    const count = this.history.countAt(now);
    const isNew = this.history.timeSinceFirstKnown(now) < this.window;
    const isOutOfContact = this.history.timeSinceLastKnown(now) > entryCountHistory.CONTACT_RETENTION;
    return count === 0 || isNew || isOutOfContact ? 0 : 1 / count;
  }
}
