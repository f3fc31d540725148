/**
 * Says in a sentence why a request ended as it did.
 */
import type * as logLine from './logLine.js';
import type * as requestStory from './requestStory.js';

type Lines = readonly logLine.LogLine[];

/** Signals of upstreams that a cause names; the latest decide. */
const MOST_SIGNALS = 5;

function last(lines: Lines, event: string): logLine.LogLine | undefined {
  return lines.filter((line) => line.event === event).at(-1);
}

function seconds(milliseconds: string | undefined): string {
  return `${(Number(milliseconds ?? 0) / 1_000).toFixed(2)} s`;
}

/** The state of the coordinator that refused, as it logged it last. */
function crowding(lines: Lines): string {
  const refusal = last(lines, 'placementRefused');
  const state = last(
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
    ` Of ${engines.length} engines ${usable} could be used, ${waiting} generations waited.` +
    (evacuated === 0 ? '' : ` ${evacuated} are in an evacuated data centre.`) +
    (cold === 0 ? '' : ` ${cold} were cold and got no more than they tolerate.`)
  );
}

/** The ends that were held against the request's content, by whom and when. */
function ofQuarantine(lines: Lines, ran: boolean): string {
  const held = lines.filter((line) => line.event === 'crashHeld');
  const ends = held.map(
    ({ fields, process, time }) =>
      `${fields.upstream ?? '?'} (found by ${process} at ${time}, ${fields.sign ?? '?'})`,
  );
  const since = lines.find((line) => line.event === 'quarantined')?.time;
  const told = ends.length === 0 ? 'none of these logs tells of them' : ends.join(', ');
  const when = since === undefined ? '' : ` Quarantined at ${since}.`;
  const own = ran ? 'It had run before; it was not sent on.' : 'It was turned away; nothing ran.';
  return `Upstreams have ended under the same content: ${told}.${when} ${own}`;
}

function ofRefusal(lines: Lines, end: logLine.LogLine): string {
  const { reason = '', message = '' } = end.fields;
  if (reason === 'quarantined') {
    return ofQuarantine(lines, false);
  }
  const version = last(lines, 'trafficInForce')?.fields.version ?? 'none';
  const causes: Record<string, string> = {
    noConfiguration: 'The entry had just started and had no configuration yet.',
    draining: 'The entry was being stopped, and takes no generation that could outlast it.',
    noRoute: `The configuration in force at the entry, version ${version}, has no such route.`,
    unknownKey: `The configuration in force at the entry, version ${version}, has no such key.`,
  };
  return causes[reason] ?? `Refused before a service was chosen: ${message}.`;
}

/** What upstreams of the service had asked of the entry before it turned the request away. */
function signals(lines: Lines): string {
  const told = lines.flatMap(({ event, fields, time }) => {
    const upstream = fields.upstream ?? '?';
    switch (event) {
      case 'upstreamPaused':
        return [`${upstream} asked for a pause of ${seconds(fields.for)} at ${time}`];
      case 'upstreamRateLimited':
        return [`${upstream} named a limit of ${fields.perSecond ?? '?'} a second at ${time}`];
      case 'upstreamRateLimitLifted':
        return [`${upstream} named no limit any more at ${time}`];
      default:
        return [];
    }
  });
  return told.length === 0 ? '' : ` Before that ${told.slice(-MOST_SIGNALS).join(', ')}.`;
}

function ofOverload(lines: Lines, end: logLine.LogLine): string {
  const refused = last(lines, 'placementRefused');
  const returned = last(lines, 'callerReturned');
  if (refused === undefined) {
    return `Refused: ${end.fields.reason ?? 'no reason logged'}. Nothing ran.${signals(lines)}`;
  }
  const again =
    returned === undefined
      ? ''
      : ` It had been refused before, ${seconds(returned.fields.firstAsked)} earlier.`;
  return `No engine had a place within ${seconds(end.fields.milliseconds)}; nothing ran.${again}${crowding(lines)}`;
}

function movesOf(lines: Lines): string {
  const moves = lines.filter((line) => line.event === 'moveResult');
  if (moves.length === 0) {
    return 'no move off it was begun';
  }
  const told = moves.map(
    ({ fields }) => `${fields.state ?? '?'}${fields.reason === undefined ? '' : ` (${fields.reason})`}`,
  );
  return `moves off it: ${told.join(', ')}`;
}

function ofInterruption(lines: Lines, end: logLine.LogLine): string {
  const broken = last(lines, 'streamBroken');
  if (broken === undefined) {
    return `The stream was ended: ${end.fields.reason ?? 'no reason logged'}.`;
  }
  const engine = broken.fields.upstream ?? '?';
  const notice = lines.find(
    (line) =>
      line.fields.instance === engine &&
      (line.event === 'instanceLeaves' ||
        line.fields.state === 'leaving' ||
        line.fields.change === 'leaving'),
  );
  if (notice === undefined) {
    return `Engine ${engine} broke off without notice after event ${broken.fields.lastEvent ?? 'none'} (${broken.fields.reason ?? '?'}).`;
  }
  return `Engine ${engine} gave notice at ${notice.time} and was gone at ${broken.time}; ${movesOf(lines)}.`;
}

function ofAnswer(lines: Lines, end: logLine.LogLine): string {
  const { fields } = end;
  if (fields.firstEvent === undefined) {
    return `Answered with status ${fields.status ?? '?'} by ${fields.upstream ?? '?'} in ${seconds(fields.milliseconds)}.`;
  }
  const waited = last(lines, 'placed')?.fields.waited;
  return `Answered by ${fields.upstream ?? '?'}: first event after ${seconds(fields.firstEvent)}, of which ${seconds(waited)} waiting for a place; longest pause ${seconds(fields.longestPause)}, ${fields.moves ?? '0'} moves.`;
}

const OTHER_OUTCOMES: Readonly<Record<string, string>> = {
  callerGone: 'The caller went away before the answer was complete.',
  timeoutNotRun: 'The time was over before there was a place; nothing ran.',
  timeoutUnknown: 'The time was over and the upstream had not answered; whether it ran is unknown.',
  outcomeUnknown: 'The upstream broke off before it answered; it may have run, so it was not sent again.',
};

/**
 * The cause.
 *
 * @param story - the request's story, with at least one line
 * @returns a sentence or two
 * @example
 * ```ts
 * cause.of(requestStory.collect(identity, logs));
 * ```
 */
export function of(story: requestStory.RequestStory): string {
  const { lines } = story;
  const refused = last(lines, 'requestRefused');
  const end = last(lines, 'requestEnded');
  if (end === undefined) {
    return refused === undefined
      ? 'Its end is in none of these logs: add those of all entries, or its process was killed.'
      : ofRefusal(lines, refused);
  }
  const { outcome = '' } = end.fields;
  if (outcome === 'answered') {
    return ofAnswer(lines, end);
  }
  if (outcome === 'overloaded') {
    return ofOverload(lines, end);
  }
  if (outcome === 'noUpstream') {
    return `No instance of the service could be sent it: ${end.fields.reason ?? 'no reason logged'}.`;
  }
  if (
    outcome === 'quarantined' ||
    (outcome === 'outcomeUnknown' && last(lines, 'quarantined') !== undefined)
  ) {
    return ofQuarantine(lines, outcome === 'outcomeUnknown');
  }
  if (outcome === 'interrupted') {
    return ofInterruption(lines, end);
  }
  return OTHER_OUTCOMES[outcome] ?? `It ended as ${outcome}: ${end.fields.reason ?? 'no reason logged'}.`;
}
