/**
 * Keeps an engine for a queued request of an account below its share that fits on none yet. Without this, smaller
 * requests of accounts above their shares take the memory as it becomes free, and accounts with large requests never
 * reach their share. The number of reserved engines is bounded, so that little capacity stays unused.
 */
import type * as ports from '../kernel/ports.js';
import * as memoryPeak from '../placement/memoryPeak.js';

/** An engine on which the request may run. */
export interface ReservableEngine {
  readonly identity: string;
  /** Tokens that generations of the request's class may fill. */
  readonly usableTokens: number;
  readonly generations: readonly memoryPeak.GenerationMemory[];
}

/**
 * Maximum share of the engines of a service that is reserved. An engine with a reservation leaves about one generation
 * of 8 unused, so that at most 3 in 100 of the memory is unused.
 */
const MAXIMUM_RESERVED_SHARE = 0.25;

/**
 * Time after which the engine of a reservation is selected again, since forecasts of lengths are inaccurate. The
 * selection sorts the generations of every engine, which is too costly for every pass over the queue.
 */
const RESELECTION_INTERVAL: ports.Milliseconds = 100;

/**
 * Factor on the steps until a request fits on the engine that is kept for it already. A change of the engine gives the
 * memory that became free on the former one to others, so that another engine must be earlier by a clear margin.
 */
const PREFERENCE = 0.5;

/** Steps of decoding until the request fits; undefined if it does not even fit on the idle engine. */
function stepsUntilFit(engine: ReservableEngine, added: memoryPeak.GenerationMemory): number | undefined {
  const byRemaining = [...engine.generations].sort((left, right) => left.remaining - right.remaining);
  for (let ended = 0; ended <= byRemaining.length; ended += 1) {
    const steps = byRemaining[ended - 1]?.remaining ?? 0;
    const running = byRemaining.slice(ended).map(({ held, remaining }) => ({
      held: held + steps,
      remaining: remaining - steps,
    }));
    if (running.length === 0 || memoryPeak.peakOf([...running, added]) <= engine.usableTokens) {
      return steps;
    }
  }
  return undefined;
}

/**
 * Selects the engine on which a request will fit first.
 *
 * @returns identity of the engine; undefined if there is none, or the request fits on one already and waits for
 * something other than memory
 * @example
 * ```ts
 * engineReservations.earliestFit(engines, { held: 6000, remaining: 700 });
 * ```
 */
export function earliestFit(
  engines: readonly ReservableEngine[],
  added: memoryPeak.GenerationMemory,
  preferred?: string,
): string | undefined {
  let earliest: string | undefined;
  let earliestSteps = Number.POSITIVE_INFINITY;
  for (const engine of engines) {
    const factor = engine.identity === preferred ? PREFERENCE : 1;
    const steps = factor * (stepsUntilFit(engine, added) ?? Number.POSITIVE_INFINITY);
    if (steps < earliestSteps) {
      earliest = engine.identity;
      earliestSteps = steps;
    }
  }
  return earliestSteps > 0 ? earliest : undefined;
}

/** A request that an engine may be kept for. */
export interface ReservationRequest {
  readonly identity: string;
  readonly service: string;
  readonly rank: number;
  readonly memory: memoryPeak.GenerationMemory;
}

interface Reservation {
  readonly service: string;
  readonly rank: number;
  readonly engine: string;
  readonly selectedAt: ports.Milliseconds;
}

/**
 * Reservations of queued requests.
 *
 * @example
 * ```ts
 * reservations.reserve(request, () => engines, now);
 * ```
 */
export class EngineReservations {
  private readonly reserved = new Map<string, Reservation>();

  /** Removes reservations of requests that have left the queue. */
  removeUnless(waits: (identity: string) => boolean): void {
    for (const identity of this.reserved.keys()) {
      if (!waits(identity)) {
        this.reserved.delete(identity);
      }
    }
  }

  release(identity: string): void {
    this.reserved.delete(identity);
  }

  has(identity: string): boolean {
    return this.reserved.has(identity);
  }

  /** Engines that are reserved for other requests of the same service, unless those are less urgent. */
  enginesOfOthers(service: string, identity: string, rank = Number.POSITIVE_INFINITY): readonly string[] {
    const engines: string[] = [];
    for (const [other, reservation] of this.reserved) {
      if (other !== identity && reservation.service === service && reservation.rank <= rank) {
        engines.push(reservation.engine);
      }
    }
    return engines;
  }

  /** Returns the engine reserved for a request, after reserving one if it has none and the bound permits. */
  reserve(
    request: ReservationRequest,
    engines: () => readonly ReservableEngine[],
    now: ports.Milliseconds,
  ): string | undefined {
    const { identity, service, rank, memory } = request;
    const known = this.reserved.get(identity);
    if (known !== undefined && now - known.selectedAt < RESELECTION_INTERVAL) {
      return known.engine;
    }
    const all = engines();
    const maximum = Math.max(1, Math.floor(all.length * MAXIMUM_RESERVED_SHARE));
    const taken = new Set(this.enginesOfOthers(service, identity));
    if (known === undefined && taken.size >= maximum) {
      return undefined;
    }
    const engine = earliestFit(
      all.filter((candidate) => !taken.has(candidate.identity)),
      memory,
      known?.engine,
    );
    if (engine === undefined) {
      this.reserved.delete(identity);
    } else {
      this.reserved.set(identity, { service, rank, engine, selectedAt: now });
    }
    return engine;
  }
}
