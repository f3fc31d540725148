/**
 * Table of the paces of plain upstreams at the coordinator, merged from the reports of all entries and returned to them
 * in the response to a report.
 *
 * Load: many entries, each of which calls a plain upstream only every few seconds.
 */
import type * as ports from '../kernel/ports.js';
import * as callOutcomes from './callOutcomes.js';
import * as loadReports from './loadReports.js';
import * as paceEstimator from './paceEstimator.js';
import type * as types from './types.js';

/** Bounds the size of a response; deployments have 3 to 5 plain upstreams. */
const MAXIMUM_ROWS = 32;

/** Calls that one sum counts as at most; an entry has far fewer between two reports. */
const MAXIMUM_CALLS = 1_000;

function isCount(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;
}

/** Merged table of paces; see the module comment. */
export class PaceTable {
  private readonly paces: paceEstimator.PaceEstimator;
  private readonly outcomes: callOutcomes.CallOutcomes;
  private readonly loads: loadReports.LoadReports;
  private readonly services = new Map<string, string>();
  private readonly serviceOf: (upstream: string) => string | undefined;

  /**
   * @param serviceOf - service of an upstream; undefined if no such upstream is known
   */
  constructor(now: () => ports.Milliseconds, serviceOf: (upstream: string) => string | undefined) {
    this.paces = new paceEstimator.PaceEstimator(now, paceEstimator.PLAIN_EVIDENCE_HALF_LIFE);
    this.outcomes = new callOutcomes.CallOutcomes(now);
    this.loads = new loadReports.LoadReports(now);
    this.serviceOf = serviceOf;
  }

  /** Adds the sums of an entry. Sums that are invalid or of unknown upstreams are ignored. */
  merge(sums: readonly types.PaceSum[]): void {
    if (!Array.isArray(sums)) {
      return;
    }
    for (const sum of sums as readonly unknown[]) {
      if (Array.isArray(sum)) {
        this.mergeSum(sum);
      }
    }
  }

  private mergeSum([upstream, answered, time, turnedAway, load]: readonly unknown[]): void {
    const service = typeof upstream === 'string' ? this.serviceOf(upstream) : undefined;
    if (typeof upstream !== 'string' || service === undefined) {
      return;
    }
    if (!isCount(answered) || !isCount(time) || !isCount(turnedAway)) {
      return;
    }
    this.services.set(upstream, service);
    if (answered >= 1) {
      this.paces.observe(upstream, service, time / answered, Math.min(MAXIMUM_CALLS, answered));
    }
    this.outcomes.record(upstream, Math.min(MAXIMUM_CALLS, answered), Math.min(MAXIMUM_CALLS, turnedAway));
    this.loads.decode(upstream, load);
  }

  /** Rows for the response to a report; upstreams that have ended are left out. */
  rows(): readonly types.PaceRow[] {
    for (const upstream of this.services.keys()) {
      if (this.serviceOf(upstream) === undefined) {
        this.services.delete(upstream);
      }
    }
    const isKnown = (upstream: string): boolean => this.services.has(upstream);
    this.paces.retain(isKnown);
    this.outcomes.retain(isKnown);
    this.loads.retain(isKnown);
    return [...this.services].slice(0, MAXIMUM_ROWS).map(([upstream, service]): types.PaceRow => {
      const evidence = this.paces.evidenceOf(upstream, service);
      return [
        upstream,
        Math.round((evidence?.mean ?? 0) * 10) / 10,
        Math.round((evidence?.weight ?? 0) * 10) / 10,
        Math.round((evidence?.noise ?? 0) * 1_000),
        Math.round(this.outcomes.turnedAwayShareOf(upstream) * 100),
        this.loads.encode(upstream),
      ];
    });
  }
}
