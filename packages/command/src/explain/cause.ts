/**
 * Derives from a request's log lines a short text that explains how the request ended.
 */
import type * as logLine from './logLine.js';
import type * as requestTimeline from './requestTimeline.js';

type Lines = readonly logLine.LogLine[];

/** Maximum number of back-pressure signals listed in an explanation; the latest are kept. */
const MAXIMUM_SIGNALS = 5;

function lastLineOf(lines: Lines, event: string): logLine.LogLine | undefined {
  return lines.filter((line) => line.event === event).at(-1);
}

function formatSeconds(milliseconds: string | undefined): string {
  return `${(Number(milliseconds ?? 0) / 1_000).toFixed(2)} s`;
}

/** Load of the coordinator that refused the request, from the last state it logged. */
function describeLoad(lines: Lines): string {
  const refusal = lastLineOf(lines, 'placementRefused');
  const state = lastLineOf(
    lines.filter((line) => line.process === refusal?.process),
    'coordinatorState',
  );
  if (state === undefined) {
    return '';
  }
  const engines = (state.fields.engines ?? '').split(' ').filter((engine) => engine !== '');
  const usable = engines.filter((engine) => !/:(leaving|evacuated)\b/.test(engine)).length;
  const evacuated = engines.filter((engine) => /:evacuated\b/.test(engine)).length;
  const cold = engines.filter((engine) => /:cold\b/.test(engine)).length;
  const waiting = state.fields.waiting ?? '?';
  return (
    ` Of ${engines.length} engines ${usable} were usable, ${waiting} generations were queued.` +
    (evacuated === 0 ? '' : ` ${evacuated} are in an evacuated data centre.`) +
    (cold === 0 ? '' : ` ${cold} were cold and received no more load than a cold engine accepts.`)
  );
}

/** Lists the crashes recorded for the request's content or a part of its prompt, with the process that detected each and the time. */
function describeQuarantine(lines: Lines, ran: boolean): string {
  const crashLines = lines.filter((line) => line.event === 'crashHeld');
  const crashes = crashLines.map(
    ({ fields, process, time }) =>
      `${fields.upstream ?? '?'} (detected by ${process} at ${time}, ${fields.sign ?? '?'})`,
  );
  const quarantinedAt = lines.find(
    ({ event }) => event === 'quarantined' || event === 'partQuarantined',
  )?.time;
  const parts = lastLineOf(lines, 'requestQuarantined')?.fields.parts;
  const shared = parts === undefined ? 'the same content' : `${parts} in their prompts`;
  const crashList = crashes.length === 0 ? 'none of these logs contains their records' : crashes.join(', ');
  const when = quarantinedAt === undefined ? '' : ` Quarantined at ${quarantinedAt}.`;
  const ownRun = ran
    ? 'The request had run before; it was not sent again.'
    : 'The request was rejected; nothing ran.';
  return `Upstreams crashed while they ran requests with ${shared}: ${crashList}.${when} ${ownRun}`;
}

function describeRefusal(lines: Lines, refusal: logLine.LogLine): string {
  const { reason = '', message = '' } = refusal.fields;
  if (reason === 'quarantined') {
    return describeQuarantine(lines, false);
  }
  const version = lastLineOf(lines, 'trafficInForce')?.fields.version ?? 'none';
  const causes: Record<string, string> = {
    noConfiguration: 'The entry had just started and had no configuration yet.',
    supersededConfiguration: `A newer configuration than version ${version} had not arrived at the entry in time.`,
    draining: 'The entry was draining and accepted no generation that might not finish before it stops.',
    noRoute: `The configuration in force at the entry, version ${version}, has no such route.`,
    unknownKey: `The configuration in force at the entry, version ${version}, has no such key.`,
  };
  return causes[reason] ?? `Refused before a service was chosen: ${message}.`;
}

/** Lists the pauses and rate limits that upstreams of the service requested before the entry refused the request. */
function describeSignals(lines: Lines): string {
  const signals = lines.flatMap(({ event, fields, time }) => {
    const upstream = fields.upstream ?? '?';
    switch (event) {
      case 'upstreamPaused':
        return [`${upstream} requested a pause of ${formatSeconds(fields.for)} at ${time}`];
      case 'upstreamRateLimited':
        return [`${upstream} set a rate limit of ${fields.perSecond ?? '?'} requests per second at ${time}`];
      case 'upstreamRateLimitLifted':
        return [`${upstream} removed its rate limit at ${time}`];
      default:
        return [];
    }
  });
  return signals.length === 0 ? '' : ` Before that ${signals.slice(-MAXIMUM_SIGNALS).join(', ')}.`;
}

/** Names the share of the client account if it was the cause of the refusal. */
function describeShare(refusal: logLine.LogLine): string {
  const { cause, account = '', debt } = refusal.fields;
  const name = account === '' ? 'Callers without a client account' : `Client account ${account}`;
  return cause === 'share'
    ? ` The share was the cause: ${name} had used ${formatSeconds(debt)} of its share too much, and requests of accounts below their shares went first.`
    : '';
}

function describeOverload(lines: Lines, end: logLine.LogLine): string {
  const refusal = lastLineOf(lines, 'placementRefused');
  const retry = lastLineOf(lines, 'callerReturned');
  if (refusal === undefined) {
    return `Refused: ${end.fields.reason ?? 'no reason logged'}. Nothing ran.${describeSignals(lines)}`;
  }
  const earlierRefusal =
    retry === undefined
      ? ''
      : ` The caller had already been refused, ${formatSeconds(retry.fields.firstAsked)} earlier.`;
  return `No engine could accept the request within ${formatSeconds(end.fields.milliseconds)}; nothing ran.${describeShare(refusal)}${earlierRefusal}${describeLoad(lines)}`;
}

function describeMoves(lines: Lines): string {
  const moves = lines.filter((line) => line.event === 'moveResult');
  if (moves.length === 0) {
    return 'no move to another engine was started';
  }
  const results = moves.map(
    ({ fields }) => `${fields.state ?? '?'}${fields.reason === undefined ? '' : ` (${fields.reason})`}`,
  );
  return `moves to other engines: ${results.join(', ')}`;
}

function describeInterruption(lines: Lines, end: logLine.LogLine): string {
  const brokenStream = lastLineOf(lines, 'streamBroken');
  if (brokenStream === undefined) {
    return `The stream was interrupted: ${end.fields.reason ?? 'no reason logged'}.`;
  }
  const engine = brokenStream.fields.upstream ?? '?';
  const terminationNotice = lines.find(
    (line) =>
      line.fields.instance === engine &&
      (line.event === 'instanceLeaves' ||
        line.fields.state === 'leaving' ||
        line.fields.change === 'leaving'),
  );
  if (terminationNotice === undefined) {
    return `The stream from engine ${engine} was interrupted without a termination notice after event ${brokenStream.fields.lastEvent ?? 'none'} (${brokenStream.fields.reason ?? '?'}).`;
  }
  return `Engine ${engine} sent a termination notice at ${terminationNotice.time} and its stream was interrupted at ${brokenStream.time}; ${describeMoves(lines)}.`;
}

function describeAnswer(lines: Lines, end: logLine.LogLine): string {
  const { fields } = end;
  if (fields.firstEvent === undefined) {
    return `Answered with status ${fields.status ?? '?'} by ${fields.upstream ?? '?'} in ${formatSeconds(fields.milliseconds)}.`;
  }
  const waited = lastLineOf(lines, 'placed')?.fields.waited;
  return `Answered by ${fields.upstream ?? '?'}: first event after ${formatSeconds(fields.firstEvent)}, of which ${formatSeconds(waited)} waiting for placement; longest pause ${formatSeconds(fields.longestPause)}, ${fields.moves ?? '0'} moves.`;
}

const OTHER_OUTCOMES: Readonly<Record<string, string>> = {
  callerGone: 'The caller disconnected before the answer was complete.',
  timeoutNotRun: 'The timeout expired before the request was placed; nothing ran.',
  timeoutUnknown: 'The timeout expired before the upstream answered; whether the request ran is unknown.',
  outcomeUnknown:
    'The connection to the upstream broke before it answered; the request may have run, so it was not sent again.',
};

/**
 * Explains how a request ended.
 *
 * @param timeline - log lines of the request, at least one
 * @returns one or two sentences
 * @example
 * ```ts
 * cause.describe(requestTimeline.collect(identity, logs));
 * ```
 */
export function describe(timeline: requestTimeline.RequestTimeline): string {
  const { lines } = timeline;
  const refusal = lastLineOf(lines, 'requestRefused');
  const end = lastLineOf(lines, 'requestEnded');
  if (end === undefined) {
    return refusal === undefined
      ? 'None of these logs contains the end of the request: add the logs of all entries; otherwise its process was killed.'
      : describeRefusal(lines, refusal);
  }
  const { outcome = '' } = end.fields;
  if (outcome === 'answered') {
    return describeAnswer(lines, end);
  }
  if (outcome === 'overloaded') {
    return describeOverload(lines, end);
  }
  if (outcome === 'noUpstream') {
    return `No instance of the service could receive the request: ${end.fields.reason ?? 'no reason logged'}.`;
  }
  if (
    outcome === 'quarantined' ||
    (outcome === 'outcomeUnknown' && lastLineOf(lines, 'quarantined') !== undefined)
  ) {
    return describeQuarantine(lines, outcome === 'outcomeUnknown');
  }
  if (outcome === 'interrupted') {
    return describeInterruption(lines, end);
  }
  return OTHER_OUTCOMES[outcome] ?? `Outcome ${outcome}: ${end.fields.reason ?? 'no reason logged'}.`;
}
