/**
 * Number of entries that divide a limit, with the memory that a safe division needs.
 *
 * Failure: entries that are cut off from control disappear from its count but still send. If the others divided the
 * limit by the lower count at once, all entries together would exceed it.
 */
import type * as ports from '../kernel/ports.js';

/** How long a higher number of entries is used after it has decreased. */
export const COUNT_RETENTION: ports.Milliseconds = 30_000;

/** Time for which an entry without control keeps its share; below `COUNT_RETENTION`. */
export const CONTACT_RETENTION: ports.Milliseconds = 20_000;

/** Remembers the highest recent number of entries and when it was last confirmed. */
export class EntryCountHistory {
  private maximum = { entries: 0, at: Number.NEGATIVE_INFINITY };
  private firstKnownAt = Number.POSITIVE_INFINITY;
  private lastKnownAt = Number.NEGATIVE_INFINITY;

  /** @param currentCount - returns the number of entries; 0 while unknown */
  constructor(private readonly currentCount: () => number) {}

  /** Number of entries that share a limit; 0 until it is known for the first time. */
  countAt(now: ports.Milliseconds): number {
    const entries = this.currentCount();
    if (entries > 0) {
      // After a long silence the others may have divided this entry's share, and used it in the present window.
      if (now - this.lastKnownAt > CONTACT_RETENTION) {
        this.firstKnownAt = now;
      }
      this.lastKnownAt = now;
    }
    const isOld = now - this.maximum.at > COUNT_RETENTION;
    if (entries > 0 && (entries >= this.maximum.entries || isOld)) {
      this.maximum = { entries, at: now };
    }
    return this.maximum.entries;
  }

  /** Time since the number of entries was known for the first time, or again after a long silence. */
  timeSinceFirstKnown(now: ports.Milliseconds): ports.Milliseconds {
    return now - this.firstKnownAt;
  }

  /** Time since the number of entries was last confirmed by control. */
  timeSinceLastKnown(now: ports.Milliseconds): ports.Milliseconds {
    return now - this.lastKnownAt;
  }
}
