/**
 * Demand of each data centre's callers, estimated from their address look-ups, and what its entries can carry of it. A
 * shift of callers shows in look-ups before it shows in the utilization of entries.
 */
import type * as ports from '../kernel/ports.js';

/** Time constant of the estimate; callers look up addresses every 1 to 2 s, some every 3 to 6 s. */
const ESTIMATE_TIME: ports.Milliseconds = 1_500;

/** Load above an even distribution that a data centre's own entries carry before its callers are sent elsewhere. */
const TOLERATED_EXCESS = 1.1;

/** Excess demand that counts, in standard errors of the estimate. */
const SIGNIFICANT_ERRORS = 2;

/**
 * Pressure on the entries of a data centre at which callers begin to be sent elsewhere, and at which all of the excess is.
 * Below it, crossing data centres costs callers more than the excess does.
 */
const SHORTAGE_START = 0.3;
const SHORTAGE_FULL = 0.5;

/** Least share of callers that stay in their data centre. */
const MINIMUM_LOCAL_SHARE = 0.1;

/** Least relative weight of remote entries of a data centre that has no spare capacity. */
const MINIMUM_SPARE = 0.2;

interface Estimate {
  /** Look-ups, each weighted by its age. */
  count: number;
  updatedAt: ports.Milliseconds;
}

/** Estimates demand by data centre; see the module comment. */
export class DataCentreDemand {
  private readonly estimates = new Map<string, Estimate>();

  /** Counts a look-up by a caller of a data centre that has entries. */
  countLookup(dataCentre: string, now: ports.Milliseconds): void {
    this.estimates.set(dataCentre, { count: this.countOf(dataCentre, now) + 1, updatedAt: now });
  }

  /**
   * Share of a data centre's callers that its own entries are to serve.
   *
   * @param capacities - total weight of the entries of each data centre
   * @param pressure - mean pressure on the entries of the data centre
   */
  localShare(
    dataCentre: string,
    capacities: ReadonlyMap<string, number>,
    pressure: number,
    now: ports.Milliseconds,
  ): number {
    const count = this.countOf(dataCentre, now);
    const even = this.evenCount(dataCentre, capacities, now);
    const margin = TOLERATED_EXCESS + SIGNIFICANT_ERRORS / Math.sqrt(Math.max(1, count * 2));
    if (count <= even * margin) {
      return 1;
    }
    const excess = 1 - Math.max(MINIMUM_LOCAL_SHARE, (TOLERATED_EXCESS * even) / count);
    const shortage = (pressure - SHORTAGE_START) / (SHORTAGE_FULL - SHORTAGE_START);
    return 1 - excess * Math.min(1, Math.max(0, shortage));
  }

  /** Spare share of a data centre's capacity, as a relative weight of its entries for callers of other data centres. */
  spareShare(dataCentre: string, capacities: ReadonlyMap<string, number>, now: ports.Milliseconds): number {
    const even = this.evenCount(dataCentre, capacities, now);
    const spare = even === 0 ? 1 : 1 - this.countOf(dataCentre, now) / even;
    return Math.max(MINIMUM_SPARE, spare);
  }

  private countOf(dataCentre: string, now: ports.Milliseconds): number {
    const estimate = this.estimates.get(dataCentre);
    return estimate === undefined
      ? 0
      : estimate.count * Math.exp(-(now - estimate.updatedAt) / ESTIMATE_TIME);
  }

  /** Look-ups of the data centre if all data centres had demand in proportion to their capacity. */
  private evenCount(
    dataCentre: string,
    capacities: ReadonlyMap<string, number>,
    now: ports.Milliseconds,
  ): number {
    let count = 0;
    let capacity = 0;
    for (const [name, own] of capacities) {
      count += this.countOf(name, now);
      capacity += own;
    }
    return capacity === 0 ? 0 : (count * (capacities.get(dataCentre) ?? 0)) / capacity;
  }
}
