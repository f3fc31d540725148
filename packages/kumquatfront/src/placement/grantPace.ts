/**
 * Time between two placements on the engines of a service, from which the wait of refused requests is forecast.
 */
import type * as ports from '../kernel/ports.js';

/** Upper bound of an observed time between two grants; longer ones come from times without requests. */
const MAXIMUM_INTERVAL: ports.Milliseconds = 1_000;

/** Interval of a service without grants. */
const INITIAL_INTERVAL: ports.Milliseconds = 100;

/** Weight of the latest interval in the moving average. */
const LATEST_WEIGHT = 0.1;

/** Moving averages of the time between two grants, by service. */
export class GrantPace {
  private readonly services = new Map<string, { readonly at: number; readonly interval: number }>();

  /** Records a grant. */
  record(service: string, now: number): void {
    const previous = this.services.get(service);
    const interval =
      previous === undefined
        ? INITIAL_INTERVAL
        : (1 - LATEST_WEIGHT) * previous.interval +
          LATEST_WEIGHT * Math.min(now - previous.at, MAXIMUM_INTERVAL);
    this.services.set(service, { at: now, interval });
  }

  /** Average time between two grants. */
  intervalOf(service: string): ports.Milliseconds {
    return this.services.get(service)?.interval ?? INITIAL_INTERVAL;
  }
}
