/**
 * Recognises generations whose callers come back after a refusal.
 *
 * Pattern: a refused caller asks again under a new identity, and its time to the first event counts from its
 * first question. Taken for a fresh one, it gets a place that a caller still in time needed, and is late all the
 * same. Grounds: under one and a half times the load that fits, every third generation that was served was late.
 */
import type * as ports from '../kernel/ports.js';

/** Time for which a refusal is remembered: a third of the longest time that callers of the first users have. */
const REMEMBERED: ports.Milliseconds = 15_000;

/** Refusals remembered at most; beyond them the oldest are forgotten and look fresh. */
const MOST_REMEMBERED = 4_000;

interface Refusal {
  readonly firstAskedAt: ports.Milliseconds;
  readonly refusedAt: ports.Milliseconds;
}

/** Remembers refusals; see the module comment. */
export class ReturningCallers {
  private readonly refusals = new Map<string, Refusal>();

  /**
   * Notes a refusal.
   *
   * @param likeness - what this question and the caller's next one have in common
   * @param firstAskedAt - when the caller asked first
   */
  refused(likeness: string, firstAskedAt: ports.Milliseconds, now: ports.Milliseconds): void {
    this.refusals.delete(likeness);
    this.refusals.set(likeness, { firstAskedAt, refusedAt: now });
    for (const [oldest, { refusedAt }] of this.refusals) {
      if (this.refusals.size <= MOST_REMEMBERED && now - refusedAt < REMEMBERED) {
        return;
      }
      this.refusals.delete(oldest);
    }
  }

  /** Takes a refusal back out: when its caller asked first; undefined for a fresh question. */
  take(likeness: string, now: ports.Milliseconds): ports.Milliseconds | undefined {
    const refusal = this.refusals.get(likeness);
    this.refusals.delete(likeness);
    return refusal === undefined || now - refusal.refusedAt > REMEMBERED ? undefined : refusal.firstAskedAt;
  }
}
