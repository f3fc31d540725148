/**
 * Headroom for urgent generations, for bursts of urgent arrivals: derived from the arrivals of the last seconds, so
 * that it is released shortly after the last one.
 */
import type * as ports from '../kernel/ports.js';

/** Window of the arrivals. Headroom must be released within two seconds. */
const WINDOW: ports.Milliseconds = 1_600;

/** Resolution of the variance. */
const BUCKET: ports.Milliseconds = 100;

const BUCKET_COUNT = WINDOW / BUCKET;

/** Period in which patient prompts that are placed now delay urgent ones: about the objective of an urgent one. */
const HORIZON: ports.Milliseconds = 1_000;

/** Standard deviations of the urgent arrivals that the headroom covers. */
const COVERED_DEVIATIONS = 2;

interface Arrival {
  readonly at: ports.Milliseconds;
  readonly tokens: number;
  readonly objective: ports.Milliseconds;
}

/** Urgent arrivals of the last seconds. */
export interface Demand {
  /** Arrivals per millisecond. */
  readonly rate: number;
  /** Standard deviation of the arrivals in one second. */
  readonly deviation: number;
  /** Mean prompt size in tokens. */
  readonly tokens: number;
  /** Shortest objective. */
  readonly objective: ports.Milliseconds;
}

/** Urgent arrivals by service. */
export class UrgentDemand {
  private readonly arrivals = new Map<string, Arrival[]>();

  /** Records the arrival of an urgent generation. */
  record(service: string, arrival: Arrival): void {
    const arrivals = this.prune(service, arrival.at);
    arrivals.push(arrival);
    this.arrivals.set(service, arrivals);
  }

  private prune(service: string, now: ports.Milliseconds): Arrival[] {
    const arrivals = this.arrivals.get(service) ?? [];
    const firstRecent = arrivals.findIndex((arrival) => now - arrival.at < WINDOW);
    arrivals.splice(0, firstRecent < 0 ? arrivals.length : firstRecent);
    return arrivals;
  }

  /**
   * Summarizes the urgent arrivals of a service.
   *
   * @returns undefined if there were none within the window
   * @example
   * ```ts
   * const demand = urgentDemand.of('llm', now);
   * ```
   */
  of(service: string, now: ports.Milliseconds): Demand | undefined {
    const arrivals = this.prune(service, now);
    if (arrivals.length === 0) {
      return undefined;
    }
    const counts = new Array<number>(BUCKET_COUNT).fill(0);
    let tokens = 0;
    let objective = Number.POSITIVE_INFINITY;
    for (const arrival of arrivals) {
      const bucket = Math.min(BUCKET_COUNT - 1, Math.floor((now - arrival.at) / BUCKET));
      counts[bucket] = (counts[bucket] ?? 0) + 1;
      tokens += arrival.tokens;
      objective = Math.min(objective, arrival.objective);
    }
    const mean = arrivals.length / BUCKET_COUNT;
    const variance = counts.reduce((sum, count) => sum + (count - mean) ** 2, 0) / BUCKET_COUNT;
    return {
      rate: arrivals.length / WINDOW,
      deviation: Math.sqrt((variance * HORIZON) / BUCKET),
      tokens: tokens / arrivals.length,
      objective,
    };
  }
}

/**
 * Latest time from now at which an engine may finish a patient prompt, so that the next urgent one is still in time.
 *
 * @param pace - prefill time of one token
 * @returns milliseconds, 0 or more
 * @example
 * ```ts
 * const limit = urgentDemand.patientLimit(demand, 0.15, 31, 40);
 * ```
 */
export function patientLimit(
  demand: Demand,
  pace: number,
  engineCount: number,
  fixedDelay: ports.Milliseconds,
): ports.Milliseconds {
  const work = demand.tokens * pace;
  const workPerEngine = work / Math.max(1, engineCount);
  const excess = Math.max(0, demand.rate * HORIZON * workPerEngine - HORIZON);
  const reserve = excess + COVERED_DEVIATIONS * demand.deviation * workPerEngine;
  return Math.max(0, demand.objective - fixedDelay - work - reserve);
}
