/**
 * Predicts how long a call to a plain upstream takes until its response.
 *
 * Load: plain upstreams of a few slots whose paces differ, called by many entries whose load reports are old.
 */
import type * as ports from '../kernel/ports.js';
import * as slowdown from './slowdown.js';

/** The load of an upstream follows demand, which changes over seconds. */
export const LOAD_HALF_LIFE: ports.Milliseconds = 1_000;

/** Largest plausible number of running or waiting calls; larger reports are bounded. */
const MAXIMUM_COUNT = 1_000;

/** A call that is certain to be turned away still has a finite forecast, so that upstreams remain comparable. */
const MAXIMUM_TURNED_AWAY_SHARE = 0.9;

/** Load that an upstream reported with a response. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Undefined if the upstream reports none. */
  readonly slots?: number;
  /** Undefined if the upstream reports none. */
  readonly slowdown?: number;
}

/** What is known of an upstream when a call is about to be sent. */
export interface ForecastInput {
  /** Time of one call on the idle upstream. */
  readonly pace: ports.Milliseconds;
  /** Slots by the announcement of the upstream, used where the report has none. */
  readonly announcedSlots: number;
  /** Undefined if there is no report. */
  readonly report?: LoadReport;
  readonly age: ports.Milliseconds;
  /** Calls of this entry that the upstream has not answered. */
  readonly ownInFlight: number;
  /** Share of recent calls that the upstream turned away. */
  readonly turnedAwayShare: number;
  /** Lower bound of the slowdown, for an upstream that was slow in its last answer. */
  readonly minimumSlowdown?: number;
}

/**
 * Bounds a reported count of calls.
 *
 * @param count - the count as reported
 * @returns a count between 0 and 1,000; 0 if it is not a number
 * @example
 * ```ts
 * completionForecast.plausibleCount(-3); // 0
 * ```
 */
export function plausibleCount(count: number): number {
  return Number.isNaN(count) ? 0 : Math.min(MAXIMUM_COUNT, Math.max(0, count));
}

function slotsOf({ report, announcedSlots }: ForecastInput): number {
  const announced = Math.max(1, plausibleCount(announcedSlots));
  return report?.slots !== undefined && report.slots >= 1 ? plausibleCount(report.slots) : announced;
}

/**
 * Predicts the time until the response to a call that is sent now. A call that is turned away is sent again, so the
 * time grows with the share of calls that the upstream turns away.
 *
 * @param input - what is known of the upstream
 * @example
 * ```ts
 * const report = { running: 6, waiting: 5, slots: 6 };
 * const input = { pace: 40, announcedSlots: 6, report, age: 0, ownInFlight: 0, turnedAwayShare: 0 };
 * completionForecast.predict(input); // 80
 * ```
 */
export function predict(input: ForecastInput): ports.Milliseconds {
  const { pace, report, ownInFlight, turnedAwayShare, minimumSlowdown = 0 } = input;
  const age = Math.max(0, input.age);
  const reported = report === undefined ? 0 : plausibleCount(report.running) + plausibleCount(report.waiting);
  const total = Math.max(ownInFlight, reported * 2 ** (-age / LOAD_HALF_LIFE));
  const slots = slotsOf(input);
  const callsAhead = Math.max(0, total + 1 - slots);
  const factor = Math.max(minimumSlowdown, slowdown.decayed(report?.slowdown, age));
  const share = Math.min(MAXIMUM_TURNED_AWAY_SHARE, Math.max(0, turnedAwayShare));
  return (pace * factor * (1 + callsAhead / slots)) / (1 - share);
}
