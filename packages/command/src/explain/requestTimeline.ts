/**
 * Collects the log lines that concern one request from the logs of several processes: lines with its request id, and
 * lines that show the state its processes had recorded at that time.
 */
import * as logLine from './logLine.js';

/** Log lines that concern one request. */
export interface RequestTimeline {
  readonly request: string;
  /** In order of time: lines with the request id, and lines about its upstreams, content and deciding processes. */
  readonly lines: readonly logLine.LogLine[];
  /** Number of log lines that its processes omitted because they exceeded their log rate limit. */
  readonly leftOut: number;
}

/** Fields of request lines whose value is the name of an upstream. */
const UPSTREAM_FIELDS = ['upstream', 'engine', 'source', 'target'];

/** Events about the state of an instance, which may explain a failure on it. */
const UPSTREAM_EVENTS = new Set(['instanceHeard', 'instanceLeaves', 'instanceSeen']);

/** Events about back-pressure signals of an upstream, which make the entry send it fewer or no requests. */
const SIGNAL_EVENTS = new Set([
  'upstreamPaused',
  'upstreamRateLimited',
  'upstreamRateLimitLifted',
  'upstreamLeaving',
]);

/** Events about crashes recorded for a content and its quarantine, from any process. */
const CONTENT_EVENTS = new Set([
  'crashHeld',
  'crashesVoid',
  'quarantined',
  'partQuarantined',
  'quarantineLifted',
  'quarantineLiftOrdered',
  'caseAgreed',
]);

/** Events about the state of a process; only the last one before the request's end is relevant. */
const STATE_EVENTS = new Set(['coordinatorState', 'trafficInForce', 'controlLost', 'coordinatorChanged']);

/** The last state line of each process and event up to a given time. */
function latestStateLines(lines: readonly logLine.LogLine[], before: string): readonly logLine.LogLine[] {
  const latest = new Map<string, logLine.LogLine>();
  for (const line of lines) {
    if (STATE_EVENTS.has(line.event) && line.time <= before) {
      latest.set(`${line.process} ${line.event}`, line);
    }
  }
  return [...latest.values()];
}

/** Content and quarantined parts of the prompt that a line of the request names. */
function causesOf({ event, fields }: logLine.LogLine): readonly string[] {
  const parts = event === 'requestQuarantined' ? (fields.parts ?? '').split(' ') : [];
  return [fields.content ?? '', ...parts].filter((cause) => cause !== '');
}

/** Content and parts of the prompt to which a crash line applies. */
function crashCausesOf({ fields }: logLine.LogLine): readonly string[] {
  const { content = '', part = '', parts = '', hadEvent } = fields;
  return [content, part, ...(hadEvent === 'false' ? parts.split(' ') : [])];
}

/**
 * Collects the log lines that concern a request.
 *
 * @param texts - texts of the logs; a text may mix the lines of several processes
 * @returns the lines; none if no log line contains the request id
 * @example
 * ```ts
 * requestTimeline.collect('9c41d07be2a35f68', [entryLog, controlLog]);
 * ```
 */
export function collect(request: string, texts: readonly string[]): RequestTimeline {
  const allLines = logLine.parseLogs(texts);
  const ownLines = allLines.filter((line) => line.fields.request === request);
  const processes = new Set(ownLines.map((line) => line.process));
  const upstreams = new Set(
    ownLines
      .flatMap((line) => UPSTREAM_FIELDS.map((field) => line.fields[field] ?? ''))
      .filter((name) => name !== ''),
  );
  const contents = new Set(ownLines.flatMap(causesOf));
  const endTime = ownLines.at(-1)?.time ?? '';
  const processLines = allLines.filter((line) => processes.has(line.process));
  const upstreamLines = processLines.filter(
    (line) =>
      UPSTREAM_EVENTS.has(line.event) && line.time <= endTime && upstreams.has(line.fields.instance ?? ''),
  );
  const service = ownLines.map((line) => line.fields.service).find((name) => name !== undefined);
  const signalLines = processLines.filter(
    (line) => SIGNAL_EVENTS.has(line.event) && line.time <= endTime && line.fields.service === service,
  );
  const contentLines = allLines.filter(
    (line) =>
      CONTENT_EVENTS.has(line.event) &&
      line.fields.request !== request &&
      crashCausesOf(line).some((cause) => contents.has(cause)),
  );
  const leftOut = processLines
    .filter((line) => line.event === 'linesLeftOut')
    .reduce((sum, line) => sum + Number(line.fields.count ?? 0), 0);
  const lines =
    ownLines.length === 0
      ? []
      : [
          ...ownLines,
          ...upstreamLines,
          ...signalLines,
          ...contentLines,
          ...latestStateLines(processLines, endTime),
        ].sort(logLine.compareByTime);
  return { request, lines, leftOut };
}
