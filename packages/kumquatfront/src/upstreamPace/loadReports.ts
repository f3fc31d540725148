/**
 * The last load report of each upstream, from its responses to this process or from other processes.
 */
import type * as ports from '../kernel/ports.js';
import type * as completionForecast from './completionForecast.js';
import type * as types from './types.js';

/** Reports older than this are dropped: their load and slowdown have decayed to nothing. */
const REPORT_TTL: ports.Milliseconds = 10_000;

interface StoredReport {
  readonly load: completionForecast.LoadReport;
  readonly at: ports.Milliseconds;
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

/** Last load reports; see the module comment. */
export class LoadReports {
  private readonly reports = new Map<string, StoredReport>();
  private readonly now: () => ports.Milliseconds;

  /**
   */
  constructor(now: () => ports.Milliseconds) {
    this.now = now;
  }

  /** Stores a report of some age unless a newer one is known. */
  record(upstream: string, load: completionForecast.LoadReport, age: ports.Milliseconds = 0): void {
    const now = this.now();
    const at = now - Math.max(0, age);
    const known = this.reports.get(upstream);
    // A report from the future was stored before the clock stepped back.
    if (known === undefined || known.at <= at || known.at > now) {
      this.reports.set(upstream, { load, at });
    }
  }

  /** The last report with its age; undefined if there is none. */
  get(
    upstream: string,
  ): { readonly load: completionForecast.LoadReport; readonly age: ports.Milliseconds } | undefined {
    const known = this.reports.get(upstream);
    const age = known === undefined ? 0 : Math.max(0, this.now() - known.at);
    return known === undefined || age > REPORT_TTL ? undefined : { load: known.load, age };
  }

  /**
   * Encodes the last report of an upstream for a message.
   *
   * @param upstream - identity of the upstream
   * @returns the encoded report; null if there is none
   * @example
   * ```ts
   * reports.encode('a'); // [120, 3, 0, 6, 100]
   * ```
   */
  encode(upstream: string): types.ReportedLoad | null {
    const known = this.get(upstream);
    if (known === undefined) {
      return null;
    }
    const { running, waiting, slots, slowdown } = known.load;
    const percent = slowdown === undefined ? -1 : Math.round(slowdown * 100);
    return [Math.round(known.age), running, waiting, slots ?? -1, percent];
  }

  /** Stores a report from a message; invalid ones are ignored. */
  decode(upstream: string, encoded: unknown): void {
    if (!Array.isArray(encoded) || encoded.length < 5 || !encoded.every(isCount)) {
      return;
    }
    const [age = 0, running = 0, waiting = 0, slots = -1, percent = -1] = encoded;
    const load = {
      ...{ running, waiting },
      ...(slots >= 1 && { slots }),
      ...(percent >= 0 && { slowdown: percent / 100 }),
    };
    this.record(upstream, load, age);
  }

  /** Removes an upstream that has ended or restarted. */
  remove(upstream: string): void {
    this.reports.delete(upstream);
  }

  /** Removes all upstreams that a predicate does not hold for. */
  retain(isKnown: (upstream: string) => boolean): void {
    for (const upstream of this.reports.keys()) {
      if (!isKnown(upstream)) {
        this.reports.delete(upstream);
      }
    }
  }
}
