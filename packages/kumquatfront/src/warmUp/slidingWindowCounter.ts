/**
 * Counts events by key in a sliding time window.
 */
import type * as ports from '../kernel/ports.js';

/** Sliding-window counter; see the module comment. */
export class SlidingWindowCounter {
  private readonly times = new Map<string, ports.Milliseconds[]>();
  private prunedAt = 0;

  /**
   * @param window - length of the sliding window
   */
  constructor(private readonly window: ports.Milliseconds) {}

  /** Counts an event. */
  add(key: string, now: ports.Milliseconds): void {
    const times = this.recentTimes(key, now);
    times.push(now);
    this.times.set(key, times);
    if (now - this.prunedAt > this.window) {
      this.prunedAt = now;
      this.prune(now);
    }
  }

  /** Number of events in the window that ends now. */
  countOf(key: string, now: ports.Milliseconds): number {
    return this.recentTimes(key, now).length;
  }

  /** Earliest time at which fewer than `count` events are in the window; `now` if that is already the case. */
  timeBelow(key: string, count: number, now: ports.Milliseconds): ports.Milliseconds {
    const times = this.recentTimes(key, now);
    const expiring = times[times.length - count];
    return expiring === undefined ? now : expiring + this.window;
  }

  /** Removes keys without events in the window. */
  prune(now: ports.Milliseconds): void {
    for (const key of this.times.keys()) {
      if (this.recentTimes(key, now).length === 0) {
        this.times.delete(key);
      }
    }
  }

  private recentTimes(key: string, now: ports.Milliseconds): ports.Milliseconds[] {
    const times = this.times.get(key) ?? [];
    const first = times.findIndex((time) => now - time <= this.window);
    times.splice(0, first < 0 ? times.length : first);
    return times;
  }
}
