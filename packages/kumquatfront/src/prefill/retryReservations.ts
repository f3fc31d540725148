/**
 * Reservations of prefill for refused callers, for overload in which they would otherwise return at the same time.
 * Each refusal takes the next free time after the forecast wait, in the order of refusal.
 */
import type * as ports from '../kernel/ports.js';

/** Share of the prefill of all engines that reservations hold. */
const RESERVED_SHARE = 0.1;

/** Time after the reservation for which the caller may still return. */
const GRACE_PERIOD: ports.Milliseconds = 1_000;

/** Time before the reservation at which a caller is accepted: retry times are rounded and clocks differ. */
const EARLY_TOLERANCE: ports.Milliseconds = 50;

/** Callers do not honour a longer retry time. */
export const MAXIMUM_RETRY_AFTER: ports.Milliseconds = 4_000;

/** Spread of the retry times of callers without a reservation, as share of the maximum. */
const MAXIMUM_TIME_JITTER = 0.1;

/** Upper bound of the reservations kept; more callers get the maximum time and no reservation. */
const MAXIMUM_RESERVATIONS = 4_000;

interface Reservation {
  readonly service: string;
  readonly at: ports.Milliseconds;
  readonly work: ports.Milliseconds;
}

/** Reservations by retry fingerprint. */
export class RetryReservations {
  private readonly reservations = new Map<string, Reservation>();
  /** End of the last reservation, by service. */
  private readonly reservedUntil = new Map<string, ports.Milliseconds>();

  /**
   * Reserves prefill for a refused caller.
   *
   * @param fingerprint - key that the refused request and its retry share
   * @param work - prefill time of its prompt
   * @param earliest - forecast wait, from now
   * @param engineCount - engines of the service
   * @param jitter - from 0 to 1
   * @returns time from now at which the caller should retry
   * @example
   * ```ts
   * const retryAfter = reservations.reserve('f1', 'llm', { work: 330, earliest: 900, engineCount: 31, jitter }, now);
   * ```
   */
  reserve(
    fingerprint: string,
    service: string,
    need: {
      readonly work: ports.Milliseconds;
      readonly earliest: ports.Milliseconds;
      readonly engineCount: number;
      readonly jitter: number;
    },
    now: ports.Milliseconds,
  ): ports.Milliseconds {
    const { work, earliest, engineCount, jitter } = need;
    const duration = work / (RESERVED_SHARE * Math.max(1, engineCount));
    const start = Math.max(now + earliest, this.reservedUntil.get(service) ?? Number.NEGATIVE_INFINITY);
    const at = start + jitter * duration;
    if (at - now > MAXIMUM_RETRY_AFTER || this.reservations.size >= MAXIMUM_RESERVATIONS) {
      return MAXIMUM_RETRY_AFTER * (1 - jitter * MAXIMUM_TIME_JITTER);
    }
    this.reservedUntil.set(service, start + duration);
    this.reservations.delete(fingerprint);
    this.reservations.set(fingerprint, { service, at, work });
    return at - now;
  }

  /**
   * Takes the reservation of a returning caller.
   *
   * @returns true if it holds one for this time
   * @example
   * ```ts
   * const isReserved = reservations.take('f1', now);
   * ```
   */
  take(fingerprint: string, now: ports.Milliseconds): boolean {
    const reservation = this.reservations.get(fingerprint);
    if (reservation === undefined || now < reservation.at - EARLY_TOLERANCE) {
      return false;
    }
    this.reservations.delete(fingerprint);
    return now <= reservation.at + GRACE_PERIOD;
  }

  /** Prefill time held for callers of a service that are due but have not returned. */
  dueWork(service: string, now: ports.Milliseconds): ports.Milliseconds {
    return [...this.reservations.values()]
      .filter((held) => held.service === service && held.at <= now)
      .reduce((sum, held) => sum + held.work, 0);
  }

  /** Cancels the reservations whose grace period has passed, and returns their number. */
  removeExpired(now: ports.Milliseconds): number {
    let count = 0;
    for (const [fingerprint, { at }] of this.reservations) {
      if (now > at + GRACE_PERIOD) {
        this.reservations.delete(fingerprint);
        count += 1;
      }
    }
    return count;
  }

  get size(): number {
    return this.reservations.size;
  }
}
