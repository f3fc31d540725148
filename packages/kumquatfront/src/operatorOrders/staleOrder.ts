/**
 * The failure of an order that was not carried out because it may be older than others; its caller may send it again.
 */
import * as failures from '../kernel/failures.js';

/**
 * Creates the failure.
 *
 * @param message - why the order may be old
 * @example
 * ```ts
 * done(results.Err(staleOrder.failure('The caller has closed its connection.')));
 * ```
 */
export function failure(message: string): failures.Failure {
  return failures.create('stale', message, 'Send it again, to any control replica: nothing was changed.');
}
