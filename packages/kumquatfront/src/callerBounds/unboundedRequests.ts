/**
 * Held requests without effective bounds, for tests of other parts.
 */
import * as systemTime from '../adapters/systemTime.js';
import * as defaultBounds from './defaultBounds.js';
import * as heldRequests from './heldRequests.js';

/** Creates held requests with default bounds that log nothing. */
export function create(): heldRequests.HeldRequests {
  const noop = (): void => undefined;
  return new heldRequests.HeldRequests({
    ...systemTime,
    log: { debug: noop, info: noop, warn: noop, error: noop },
    metrics: { count: noop, gauge: noop, timing: noop },
    bounds: defaultBounds.forCapacity({}),
  });
}
