/**
 * Whether a generation that waits can still have its first event in time.
 *
 * Pattern: under more load than fits, generations that are late already take the memory that others, still in
 * time, needed: everybody ends up late. Late ones go where there is slack, and are told early where there is none.
 * Grounds: on stand-in engines under one and a half times the load that fits, this raises what callers earn from
 * 58 to 74 in 100 (`npm run measure:fleet`).
 */
import type * as ports from '../kernel/ports.js';
import type * as types from './types.js';

/** `unattainable`: even an idle engine would need longer than the objective, so that lateness decides nothing. */
export type Timeliness = 'inTime' | 'late' | 'unattainable';

/**
 * Judges one that waits.
 *
 * @param request - its question
 * @param waited - milliseconds since the question
 * @param needed - milliseconds from a place on an idle engine to the first event
 * @returns the verdict
 * @example
 * ```ts
 * timeliness.judge(request, 400, pace.timeToFirstEvent('llm', 3000));
 * ```
 */
export function judge(
  request: types.PlacementRequest,
  waited: ports.Milliseconds,
  needed: ports.Milliseconds,
): Timeliness {
  if (needed > request.objective) {
    return 'unattainable';
  }
  return request.objectiveLeft - waited < needed ? 'late' : 'inTime';
}
