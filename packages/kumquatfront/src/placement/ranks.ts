/**
 * The rank of a generation: that of its client account first, then that of its route.
 *
 * Pattern: all accounts have the same priority. Were it taken in place of the route's, short answers would wait behind
 * long reports for the same places, and their lengths be learnt as one kind.
 */

/** Ranks that one account's routes may have; a priority beyond them counts as the last. */
const ROUTE_RANKS = 100;

/** Generations on a route of this priority or above it are patient; those below are urgent. */
const PATIENT_PRIORITY = 1;

/**
 * Rank of a generation; 0 goes first.
 *
 * @param routePriority - priority of its route, 0 or above
 * @param accountPriority - priority of its client account, where it has one
 * @returns a number that orders generations
 * @example
 * ```ts
 * ranks.of(0, 1) < ranks.of(1, 1); // true
 * ```
 */
export function of(routePriority: number, accountPriority = 0): number {
  return accountPriority * ROUTE_RANKS + Math.min(routePriority, ROUTE_RANKS - 1);
}

/**
 * True for a generation that may wait longer and takes less of an engine's memory.
 *
 * @param rank - its rank
 * @example
 * ```ts
 * ranks.isPatient(ranks.of(1)); // true
 * ```
 */
export function isPatient(rank: number): boolean {
  return rank % ROUTE_RANKS >= PATIENT_PRIORITY;
}
