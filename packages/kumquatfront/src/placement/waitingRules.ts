/**
 * How long a generation may wait for its place before its caller is told that there is none.
 */
import type * as ports from '../kernel/ports.js';
import * as ranks from './ranks.js';

/**
 * How long a generation may wait for its place, in objectives: an eighth. Places come free at random, so a short
 * wait finds most of what a long one would; whoever is told early comes back while its first event can still be in
 * time. On stand-in engines under one and a half times the load that fits, waiting six times as long earns callers
 * nothing more, and those who end without a place have then waited in vain for most of their objective.
 */
const WAITING_OBJECTIVES = 0.12;

/**
 * The same for urgent generations. They are short, and so are those that hold what they wait for: an engine has room
 * for one or two of them beside its long ones, and each is gone after half a second. Placed by then, one is still in
 * time.
 */
const URGENT_WAITING_OBJECTIVES = 0.35;

/** A caller that comes back too late to be in time has waited before: it is placed at once, or told at once. */
export const LATE_WAIT: ports.Milliseconds = 50;

/** No wait for a place takes more than this share of a caller's whole time; the rest is for the answer. */
const WAITING_SHARE = 0.45;

/**
 * Longest time to wait for a place.
 *
 * @param objective - milliseconds to the first event that the route promises
 * @param wholeTime - milliseconds from the question to the caller's final answer
 * @param rank - 0 is the most urgent
 * @returns milliseconds from the question
 * @example
 * ```ts
 * waitingRules.longestWait(1800, 39000, 1); // 216
 * ```
 */
export function longestWait(
  objective: ports.Milliseconds,
  wholeTime: ports.Milliseconds,
  rank: number,
): ports.Milliseconds {
  const objectives = ranks.isPatient(rank) ? WAITING_OBJECTIVES : URGENT_WAITING_OBJECTIVES;
  return Math.max(0, Math.min(objective * objectives, wholeTime * WAITING_SHARE));
}
