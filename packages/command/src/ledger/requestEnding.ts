/**
 * Classifies how an attempt of a caller ended, from the log lines of entries and control replicas.
 */
import type * as logLine from '../explain/logLine.js';

/**
 * How an attempt ended. `timedOut`: the route's timeout expired while the request was running. `notOwed`: the
 * configuration has no such route or key. `open`: the logs end before the request does.
 *
 * `timedOut` and `notOwed` are separate from `lost` and `refused` because they result from the configuration, not from a
 * fault of the system.
 */
export type Ending =
  'answered' | 'late' | 'failed' | 'refused' | 'lost' | 'timedOut' | 'callerLeft' | 'notOwed' | 'open';

/** All endings, in the order of the table columns. */
export const ENDINGS: readonly Ending[] = [
  'answered',
  'late',
  'failed',
  'refused',
  'lost',
  'timedOut',
  'callerLeft',
  'notOwed',
  'open',
];

/** Classification of one attempt. */
export interface RequestEnding {
  readonly request: string;
  /** Empty if the attempt ended before a service was selected. */
  readonly service: string;
  /** Rank of a generation; empty for other requests. */
  readonly rank: string;
  /** Second in which the attempt arrived, as ISO 8601. */
  readonly second: string;
  readonly ending: Ending;
  /** Reason for the ending; empty for `answered` and `open`. */
  readonly cause: string;
}

/** Times in milliseconds above which a streamed answer counts as late. */
export interface LatenessThresholds {
  /** Time to the first event of a stream. */
  readonly firstEvent: number;
  /** Time between two consecutive events of a stream. */
  readonly pause: number;
}

/** Logged outcomes of requests that did not run on any upstream. */
const NOT_RUN_OUTCOMES = new Set([
  'overloaded',
  'noUpstream',
  'quarantined',
  'originUnknown',
  'softwareGone',
  'draining',
  'timeoutNotRun',
  'noConfiguration',
  'supersededConfiguration',
]);

/** Logged outcomes and reasons of requests for which the configuration has no route or key. */
const NOT_CONFIGURED_OUTCOMES = new Set(['noRoute', 'unknownKey']);

/** Logged outcomes of requests that may have run, or whose answer is incomplete. */
const LOST_OUTCOMES = new Set(['interrupted', 'outcomeUnknown']);

const MINIMUM_FAILURE_STATUS = 500;

function startSecond(time: string, elapsed: number): string {
  const startTime = Date.parse(time) - elapsed;
  return Number.isNaN(startTime) ? time : new Date(startTime).toISOString().slice(0, 19);
}

function classify(
  fields: logLine.LogLine['fields'],
  thresholds: LatenessThresholds,
): { ending: Ending; cause: string } {
  const { outcome = '', reason = '', status = '200' } = fields;
  if (outcome === 'callerGone') {
    return { ending: 'callerLeft', cause: 'the caller disconnected' };
  }
  if (NOT_CONFIGURED_OUTCOMES.has(outcome)) {
    return { ending: 'notOwed', cause: outcome };
  }
  if (outcome === 'timeoutUnknown') {
    return { ending: 'timedOut', cause: reason === '' ? outcome : reason };
  }
  if (NOT_RUN_OUTCOMES.has(outcome)) {
    return { ending: 'refused', cause: reason === '' ? outcome : `${outcome}: ${reason}` };
  }
  if (LOST_OUTCOMES.has(outcome)) {
    return { ending: 'lost', cause: reason === '' ? outcome : `${outcome}: ${reason}` };
  }
  if (Number(status) >= MINIMUM_FAILURE_STATUS) {
    return { ending: 'failed', cause: `the upstream answered ${status}` };
  }
  if (Number(fields.firstEvent ?? 0) > thresholds.firstEvent) {
    return { ending: 'late', cause: 'time to the first event above the threshold' };
  }
  if (Number(fields.longestPause ?? 0) > thresholds.pause) {
    return { ending: 'late', cause: 'pause between two events above the threshold' };
  }
  return { ending: 'answered', cause: '' };
}

/**
 * Classifies a request by its final log line.
 *
 * @param thresholds - times above which an answer counts as late
 * @returns the ending, or undefined if the line is not the final line of a request
 * @example
 * ```ts
 * requestEnding.fromLogLine(line, { firstEvent: 1_800, pause: 180 });
 * ```
 */
export function fromLogLine(
  line: logLine.LogLine,
  thresholds: LatenessThresholds,
): RequestEnding | undefined {
  const { event, fields, time } = line;
  const { request = '', service = '', rank = '' } = fields;
  if (event === 'requestEnded') {
    const second = startSecond(time, Number(fields.milliseconds ?? 0));
    return { request, service, rank, second, ...classify(fields, thresholds) };
  }
  if (event === 'requestRefused') {
    const cause = fields.reason ?? 'refused';
    const ending = NOT_CONFIGURED_OUTCOMES.has(cause) ? 'notOwed' : 'refused';
    return { request, service, rank, second: startSecond(time, 0), ending, cause };
  }
  return undefined;
}

/**
 * Classifies a generation that was placed but has no final log line.
 *
 * @param placed - the coordinator's log line about the placement
 * @param restartedAt - time at which the entry restarted after the placement; undefined if the logs show no restart
 * @param service - service of the engine it was placed on; empty if unknown
 * @returns `lost` if the entry restarted, else `open`
 * @example
 * ```ts
 * requestEnding.fromPlacement(line, '2026-01-01T00:00:09.000Z', 'llm');
 * ```
 */
export function fromPlacement(
  placed: logLine.LogLine,
  restartedAt: string | undefined,
  service: string,
): RequestEnding {
  const { request = '' } = placed.fields;
  const base = { request, service, rank: '', second: startSecond(placed.time, 0) };
  return restartedAt === undefined
    ? { ...base, ending: 'open', cause: '' }
    : { ...base, ending: 'lost', cause: 'its entry restarted' };
}
