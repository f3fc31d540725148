/**
 * Detects retries of refused placement requests. A retry has a new identity, but its objective counts from the first
 * attempt; treated as a new request, it would take capacity from one that can still meet its objective.
 */
import type * as ports from '../kernel/ports.js';

/** Time for which a refusal is kept: a third of the longest deadline, as callers do not wait longer before a retry. */
const RETENTION_PERIOD: ports.Milliseconds = 15_000;

/** Maximum number of refusals; the oldest are evicted first, and their retries count as new requests. */
const MAXIMUM_REFUSALS = 4_000;

interface Refusal {
  readonly firstRequestedAt: ports.Milliseconds;
  readonly refusedAt: ports.Milliseconds;
}

/** Recent refusals by request fingerprint. */
export class RetryTracker {
  private readonly refusals = new Map<string, Refusal>();

  /**
   * Records a refusal.
   *
   * @param fingerprint - key that the refused request and its retry share
   * @param firstRequestedAt - time of the caller's first attempt
   */
  recordRefusal(fingerprint: string, firstRequestedAt: ports.Milliseconds, now: ports.Milliseconds): void {
    this.refusals.delete(fingerprint);
    this.refusals.set(fingerprint, { firstRequestedAt, refusedAt: now });
    for (const [oldest, { refusedAt }] of this.refusals) {
      if (this.refusals.size <= MAXIMUM_REFUSALS && now - refusedAt < RETENTION_PERIOD) {
        return;
      }
      this.refusals.delete(oldest);
    }
  }

  /** Removes a refusal and returns the time of the caller's first attempt; undefined for a new request. */
  takeFirstRequestTime(fingerprint: string, now: ports.Milliseconds): ports.Milliseconds | undefined {
    const refusal = this.refusals.get(fingerprint);
    this.refusals.delete(fingerprint);
    return refusal === undefined || now - refusal.refusedAt > RETENTION_PERIOD
      ? undefined
      : refusal.firstRequestedAt;
  }
}
