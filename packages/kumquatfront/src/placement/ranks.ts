/**
 * Combines the priorities of client account and route into one rank. The account takes precedence; the route keeps
 * urgent and patient generations apart where all accounts have the same priority.
 */

/** Number of ranks per account priority; higher route priorities share the last one. */
const ROUTE_RANKS = 100;

/** Lowest route priority value whose generations are patient; those below are urgent. */
const PATIENT_PRIORITY = 1;

/**
 * Computes the rank of a generation; 0 is scheduled first.
 *
 * @param routePriority - priority of its route, 0 or above
 * @param accountPriority - priority of its client account, if any
 * @example
 * ```ts
 * ranks.fromPriorities(0, 1) < ranks.fromPriorities(1, 1); // true
 * ```
 */
export function fromPriorities(routePriority: number, accountPriority = 0): number {
  return accountPriority * ROUTE_RANKS + Math.min(routePriority, ROUTE_RANKS - 1);
}

/**
 * Returns whether a generation is patient: it may be refused earlier and is subject to a lower memory limit than an
 * urgent one.
 *
 * @param rank - rank of the generation
 * @example
 * ```ts
 * ranks.isPatient(ranks.fromPriorities(1)); // true
 * ```
 */
export function isPatient(rank: number): boolean {
  return rank % ROUTE_RANKS >= PATIENT_PRIORITY;
}
