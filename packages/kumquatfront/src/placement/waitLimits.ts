/**
 * Maximum time that a placement request may wait in the queue before it is refused.
 */
import type * as ports from '../kernel/ports.js';
import * as ranks from './ranks.js';

/**
 * Maximum wait of a patient generation as share of its objective. A caller that is refused early can retry while its
 * objective can still be met. Capacity becomes free at random, so a short wait finds most of what a long one would.
 */
const PATIENT_OBJECTIVE_SHARE = 0.12;

/**
 * The same for urgent generations. An engine has capacity for one or two of them beside its long ones, and each ends
 * after half a second.
 */
const URGENT_OBJECTIVE_SHARE = 0.35;

/** Maximum wait of a retry that cannot meet its objective: it is placed or refused almost immediately. */
export const LATE_RETRY_WAIT: ports.Milliseconds = 50;

/** Maximum wait as share of the caller's total timeout; the rest is reserved for the answer. */
const TOTAL_TIMEOUT_SHARE = 0.45;

/**
 * Computes the maximum time to wait for a placement.
 *
 * @param objective - the route's objective for the time to the first event, in milliseconds
 * @param totalTimeout - milliseconds from the request to the end of the answer
 * @param rank - 0 is the most urgent
 * @returns milliseconds from the request
 * @example
 * ```ts
 * waitLimits.maximumWait(1800, 39000, 1); // 216
 * ```
 */
export function maximumWait(
  objective: ports.Milliseconds,
  totalTimeout: ports.Milliseconds,
  rank: number,
): ports.Milliseconds {
  const objectiveShare = ranks.isPatient(rank) ? PATIENT_OBJECTIVE_SHARE : URGENT_OBJECTIVE_SHARE;
  return Math.max(0, Math.min(objective * objectiveShare, totalTimeout * TOTAL_TIMEOUT_SHARE));
}

/**
 * Computes the maximum wait of a patient generation while only headroom for urgent work is missing.
 *
 * @param objective - the route's objective for the time to the first event, in milliseconds
 * @param totalTimeout - milliseconds from the request to the end of the answer
 * @returns milliseconds from the request
 * @example
 * ```ts
 * waitLimits.longestWait(4000, 39000); // 4000
 * ```
 */
export function longestWait(
  objective: ports.Milliseconds,
  totalTimeout: ports.Milliseconds,
): ports.Milliseconds {
  return Math.max(0, Math.min(objective, totalTimeout * TOTAL_TIMEOUT_SHARE));
}
