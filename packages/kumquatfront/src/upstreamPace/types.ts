/**
 * Messages on the paces of plain upstreams between entries and the coordinator. They are arrays to keep reports small:
 * five upstreams take less than 300 bytes. Ages replace times, because clocks of processes differ.
 */
import type * as ports from '../kernel/ports.js';

/** The last load report of an upstream; -1 stands for a figure that the upstream does not report. */
export type ReportedLoad = readonly [
  age: ports.Milliseconds,
  running: number,
  waiting: number,
  slots: number,
  slowdownPercent: number,
];

/** What an entry observed of an upstream since its last report. */
export type PaceSum = readonly [
  upstream: string,
  answered: number,
  /** Sum of the times of the answered calls, without the time that they waited for a slot. */
  time: ports.Milliseconds,
  turnedAway: number,
  load: ReportedLoad | null,
];

/** Observations of an upstream by all entries, merged by the coordinator. */
export type PaceRow = readonly [
  upstream: string,
  /** Mean time of a call; 0 if none was answered. */
  mean: ports.Milliseconds,
  /** Number of observations that the mean is worth. */
  weight: number,
  /** Relative variance of single observations, in thousandths. */
  noise: number,
  /** Share of recent calls that the upstream turned away, in hundredths. */
  turnedAway: number,
  load: ReportedLoad | null,
];

/** Response of the coordinator to a report with pace sums. */
export interface PaceAnswer {
  readonly paces: readonly PaceRow[];
}
