/**
 * How one attempt of a caller ended, read from the logs of entries and control.
 */
import type * as logLine from '../explain/logLine.js';

/**
 * `timedOut` where the route's timeout ended a request that was running, `notOwed` where the configuration has no such
 * route or key, `open` where the logs end before the request does.
 *
 * The two first are apart from what was lost and refused: operators try changed timeouts, routes and keys out, and
 * thousands of such tries would hide the few requests that the system itself did not serve.
 */
export type Ending =
  'answered' | 'late' | 'failed' | 'refused' | 'lost' | 'timedOut' | 'callerLeft' | 'notOwed' | 'open';

/** All of them, in the order of the table. */
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

/** One attempt. */
export interface RequestEnding {
  readonly request: string;
  /** Empty where it ended before a service was chosen. */
  readonly service: string;
  /** Rank of a generation; empty for other requests. */
  readonly rank: string;
  /** When it came, as ISO 8601 in whole seconds. */
  readonly second: string;
  readonly ending: Ending;
  /** Why it is neither answered in time nor open; empty for those. */
  readonly cause: string;
}

/** From when on an answer counts as late. Times are milliseconds. */
export interface LateRules {
  /** Time to the first event of a stream. */
  readonly firstEvent: number;
  /** Longest time between two events. */
  readonly pause: number;
}

/** Outcomes that say that nothing ran. */
const NOT_RUN = new Set([
  'overloaded',
  'noUpstream',
  'quarantined',
  'draining',
  'timeoutNotRun',
  'noConfiguration',
]);

/** Outcomes and reasons by which the configuration in force does not allow the request. */
const NOT_OWED = new Set(['noRoute', 'unknownKey']);

/** Outcomes after which nobody knows whether it ran, or a part of the answer is missing. */
const LOST = new Set(['interrupted', 'outcomeUnknown']);

const FIRST_FAILURE_STATUS = 500;

function secondOf(time: string, before: number): string {
  const moment = Date.parse(time) - before;
  return Number.isNaN(moment) ? time : new Date(moment).toISOString().slice(0, 19);
}

function judge(fields: logLine.LogLine['fields'], rules: LateRules): { ending: Ending; cause: string } {
  const { outcome = '', reason = '', status = '200' } = fields;
  if (outcome === 'callerGone') {
    return { ending: 'callerLeft', cause: 'the caller went away' };
  }
  if (NOT_OWED.has(outcome)) {
    return { ending: 'notOwed', cause: outcome };
  }
  if (outcome === 'timeoutUnknown') {
    return { ending: 'timedOut', cause: reason === '' ? outcome : reason };
  }
  if (NOT_RUN.has(outcome)) {
    return { ending: 'refused', cause: reason === '' ? outcome : `${outcome}: ${reason}` };
  }
  if (LOST.has(outcome)) {
    return { ending: 'lost', cause: reason === '' ? outcome : `${outcome}: ${reason}` };
  }
  if (Number(status) >= FIRST_FAILURE_STATUS) {
    return { ending: 'failed', cause: `the upstream answered ${status}` };
  }
  if (Number(fields.firstEvent ?? 0) > rules.firstEvent) {
    return { ending: 'late', cause: 'the first event came late' };
  }
  if (Number(fields.longestPause ?? 0) > rules.pause) {
    return { ending: 'late', cause: 'a pause between two events' };
  }
  return { ending: 'answered', cause: '' };
}

/**
 * Reads the ending of a request from its last line.
 *
 * @param line - any line
 * @param rules - what counts as late
 * @returns the ending; undefined where the line ends no request
 * @example
 * ```ts
 * requestEnding.of(line, { firstEvent: 1_800, pause: 180 });
 * ```
 */
export function of(line: logLine.LogLine, rules: LateRules): RequestEnding | undefined {
  const { event, fields, time } = line;
  const { request = '', service = '', rank = '' } = fields;
  if (event === 'requestEnded') {
    const second = secondOf(time, Number(fields.milliseconds ?? 0));
    return { request, service, rank, second, ...judge(fields, rules) };
  }
  if (event === 'requestRefused') {
    const cause = fields.reason ?? 'refused';
    const ending = NOT_OWED.has(cause) ? 'notOwed' : 'refused';
    return { request, service, rank, second: secondOf(time, 0), ending, cause };
  }
  return undefined;
}

/**
 * The ending of a generation that was placed and of which no entry says how it ended.
 *
 * @param placed - the coordinator's line
 * @param restartedAt - when its entry started again after that; undefined where the logs show no such start
 * @param service - whose engine it was placed on; empty where the logs do not tell
 * @returns lost with its entry, or open
 * @example
 * ```ts
 * requestEnding.withoutEnd(line, '2026-01-01T00:00:09.000Z', 'llm');
 * ```
 */
export function withoutEnd(
  placed: logLine.LogLine,
  restartedAt: string | undefined,
  service: string,
): RequestEnding {
  const { request = '' } = placed.fields;
  const base = { request, service, rank: '', second: secondOf(placed.time, 0) };
  return restartedAt === undefined
    ? { ...base, ending: 'open', cause: '' }
    : { ...base, ending: 'lost', cause: 'its entry ended' };
}
