/**
 * Determines whether a queued generation can still meet its objective for the first event. Under overload, late
 * generations only get spare capacity; otherwise they would make all the others late.
 */
import type * as ports from '../kernel/ports.js';
import type * as types from './types.js';

/** `unattainable`: not even an idle engine could meet the objective; such requests are not treated as late. */
export type Timeliness = 'inTime' | 'late' | 'unattainable';

/**
 * Classifies a queued request.
 *
 * @param waited - milliseconds since the request arrived
 * @param timeToFirstEvent - milliseconds from placement on an idle engine to the first event
 * @example
 * ```ts
 * timeliness.classify(request, 400, estimator.timeToFirstEvent('llm', 3000));
 * ```
 */
export function classify(
  request: types.PlacementRequest,
  waited: ports.Milliseconds,
  timeToFirstEvent: ports.Milliseconds,
): Timeliness {
  if (timeToFirstEvent > request.objective) {
    return 'unattainable';
  }
  return request.objectiveLeft - waited < timeToFirstEvent ? 'late' : 'inTime';
}
