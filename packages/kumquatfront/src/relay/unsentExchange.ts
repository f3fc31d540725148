/**
 * An exchange of which nothing is sent, and which therefore has nothing to pause.
 */
import type * as types from './types.js';

/**
 * Creates the exchange.
 *
 * @param cancel - withdraws what will be reported of it
 * @example
 * ```ts
 * return unsentExchange.create(timers.after(0, () => listener.failed('withheld', reason)));
 * ```
 */
export function create(cancel: types.CancelExchange): types.UpstreamExchange {
  const ignore = (): void => undefined;
  return { cancel, pause: ignore, resume: ignore };
}
