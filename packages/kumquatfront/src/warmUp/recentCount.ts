/**
 * Counts what happened to each of some keys lately.
 */
import type * as ports from '../kernel/ports.js';

/** The count; see the module comment. */
export class RecentCount {
  private readonly times = new Map<string, ports.Milliseconds[]>();
  private prunedAt = 0;

  /**
   * @param window - what is counted: any span of this length, wherever it begins
   */
  constructor(private readonly window: ports.Milliseconds) {}

  add(key: string, now: ports.Milliseconds): void {
    const times = this.recent(key, now);
    times.push(now);
    this.times.set(key, times);
    if (now - this.prunedAt > this.window) {
      this.prunedAt = now;
      this.prune(now);
    }
  }

  of(key: string, now: ports.Milliseconds): number {
    return this.recent(key, now).length;
  }

  /** Moment at which fewer than a number of them are counted; now where that is so already. */
  belowAt(key: string, count: number, now: ports.Milliseconds): ports.Milliseconds {
    const times = this.recent(key, now);
    const leaves = times[times.length - count];
    return leaves === undefined ? now : leaves + this.window;
  }

  /** Forgets keys to which nothing happened lately. */
  prune(now: ports.Milliseconds): void {
    for (const key of this.times.keys()) {
      if (this.recent(key, now).length === 0) {
        this.times.delete(key);
      }
    }
  }

  private recent(key: string, now: ports.Milliseconds): ports.Milliseconds[] {
    const times = this.times.get(key) ?? [];
    const first = times.findIndex((time) => now - time <= this.window);
    times.splice(0, first < 0 ? times.length : first);
    return times;
  }
}
