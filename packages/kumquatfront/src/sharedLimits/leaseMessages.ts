/**
 * Messages with which entries borrow from limits that they share, and offer what they do not use.
 */
import type * as ports from '../kernel/ports.js';

/** Time for which a lease may be spent, counted by the entry from its request. */
export const LEASE_TTL: ports.Milliseconds = 1_000;

/** Time after the stamp of a holder during which the holder may lend what an entry has offered. */
export const OFFER_LENDABLE: ports.Milliseconds = 3_000;

/** Clocks of two processes may differ in rate by this fraction; crystal oscillators differ by less than 0.0002. */
const CLOCK_DRIFT = 0.001;

/** Demand for one limit. */
export interface LeaseDemand {
  readonly key: string;
  /** The limit, as in the settings of the entry, and its window in ms. */
  readonly limit: number;
  readonly window: number;
  /** Amount asked for; 0 if the entry only reports or offers. */
  readonly wanted: number;
  /** Amount spent from leases since the entry started. The entry spends none of its earlier leases any more. */
  readonly used: number;
  /**
   * Part of its static share that the entry will not use for `offerDuration` after sending this. Without the field, its
   * last offer stays valid.
   */
  readonly offered?: number;
  /** Number of entries that share the limit, as known to the entry. */
  readonly entries?: number;
  /** Variance of what the entry rounds at random beside its share, and the margin that it leaves for that. */
  readonly variance?: number;
  readonly margin?: number;
}

/** Request of `limits.lease`. */
export interface LeaseRequest {
  readonly entry: string;
  /** Identity of the process; an entry that restarts has a new one. */
  readonly epoch: string;
  /** Increases with each request of the process. */
  readonly sequence: number;
  /** Holder and time of the newest answer; offers count from that time. Absent before the first answer. */
  readonly holder?: string;
  readonly stamp?: ports.Milliseconds;
  readonly leases: readonly LeaseDemand[];
}

/** Amount lent of one limit. */
export interface LeaseGrant {
  readonly key: string;
  readonly granted: number;
  readonly ttl: ports.Milliseconds;
}

/** Answer of `limits.lease`. */
export interface LeaseAnswer {
  /** Identity of the holder's process. */
  readonly holder: string;
  /** Time of the answer by the holder's clock. */
  readonly stamp: ports.Milliseconds;
  readonly leases: readonly LeaseGrant[];
}

/**
 * Time for which an amount that was lent counts at the holder, from the grant or from the report of its use.
 *
 * @param duration - time by the clock of the entry
 * @returns the time by the clock of the holder after which `duration` has passed at the entry
 * @example
 * ```ts
 * const expiresAt = now + leaseMessages.withDrift(leaseMessages.LEASE_TTL);
 * ```
 */
export function withDrift(duration: ports.Milliseconds): ports.Milliseconds {
  return duration * (1 + CLOCK_DRIFT);
}

/**
 * Time for which an entry does not use what it has offered: until all that was lent of it counts no more.
 *
 * @param window - window of the limit
 * @returns the time from the sending of the offer
 * @example
 * ```ts
 * leaseMessages.offerDuration(10_000); // about 14 s
 * ```
 */
export function offerDuration(window: ports.Milliseconds): ports.Milliseconds {
  return withDrift(withDrift(LEASE_TTL + window) + OFFER_LENDABLE);
}
