/**
 * How long recent requests of each route took at this entry, for the decision whether another one would end in time.
 */
import type * as ports from '../kernel/ports.js';

/** Number of recent requests that count. */
const SAMPLE_COUNT = 64;

/** Number of requests below which nothing is concluded. */
const MINIMUM_SAMPLES = 8;

/** Maximum number of routes, so that changing configurations do not fill the memory. */
const MAXIMUM_ROUTES = 2_000;

/** Ring buffer of the latest durations of one route. */
interface Samples {
  readonly durations: ports.Milliseconds[];
  next: number;
}

/** Durations of requests by route; see the module comment. */
export class RouteDurations {
  private readonly samplesByRoute = new Map<string, Samples>();

  /** Records the time from the arrival of a request to its end. */
  record(route: string, duration: ports.Milliseconds): void {
    const samples = this.samplesByRoute.get(route) ?? this.add(route);
    samples.durations[samples.next] = duration;
    samples.next = (samples.next + 1) % SAMPLE_COUNT;
  }

  private add(route: string): Samples {
    const [oldest] = this.samplesByRoute.keys();
    if (oldest !== undefined && this.samplesByRoute.size >= MAXIMUM_ROUTES) {
      this.samplesByRoute.delete(oldest);
    }
    const samples = { durations: [], next: 0 };
    this.samplesByRoute.set(route, samples);
    return samples;
  }

  /**
   * Time within which a request of the route most likely ends: that of the longest recent one.
   *
   * @returns the bound in milliseconds; infinite while too little is known of the route
   */
  upperBound(route: string): ports.Milliseconds {
    const durations = this.samplesByRoute.get(route)?.durations ?? [];
    return durations.length < MINIMUM_SAMPLES ? Number.POSITIVE_INFINITY : Math.max(...durations);
  }
}
