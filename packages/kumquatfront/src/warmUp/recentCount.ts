/**
 * Counts what happened to each of some keys in the last second.
 */
import type * as ports from '../kernel/ports.js';

/** What is counted: any second, wherever it begins. */
const WINDOW: ports.Milliseconds = 1_000;

/** The count; see the module comment. */
export class RecentCount {
  private readonly times = new Map<string, ports.Milliseconds[]>();

  add(key: string, now: ports.Milliseconds): void {
    this.times.set(key, [...this.recent(key, now), now]);
  }

  of(key: string, now: ports.Milliseconds): number {
    return this.recent(key, now).length;
  }

  /** Forgets keys to which nothing happened lately. */
  prune(now: ports.Milliseconds): void {
    for (const key of this.times.keys()) {
      if (this.recent(key, now).length === 0) {
        this.times.delete(key);
      }
    }
  }

  private recent(key: string, now: ports.Milliseconds): readonly ports.Milliseconds[] {
    return (this.times.get(key) ?? []).filter((time) => now - time <= WINDOW);
  }
}
