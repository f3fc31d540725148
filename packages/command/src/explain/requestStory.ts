/**
 * One request's story, put together from the logs of many processes: its own lines, and those that tell what
 * its processes believed at the time.
 */
import * as logLine from './logLine.js';

/** The story. */
export interface RequestStory {
  readonly request: string;
  /** In order of time: lines that name the request, and lines about what it ran on or was decided by. */
  readonly lines: readonly logLine.LogLine[];
  /** Lines that its processes left out because there were too many. */
  readonly leftOut: number;
}

/** Fields that name an upstream in lines of requests. */
const UPSTREAM_FIELDS = ['upstream', 'engine', 'source', 'target'];

/** Events about an upstream that say why something on it went wrong. */
const UPSTREAM_EVENTS = new Set(['instanceHeard', 'instanceLeaves', 'instanceSeen']);

/** Events about what an upstream has asked of this entry, which keeps requests from it. */
const SIGNAL_EVENTS = new Set([
  'upstreamPaused',
  'upstreamRateLimited',
  'upstreamRateLimitLifted',
  'upstreamLeaving',
]);

/** Events about what is held against a content, whichever process found it out. */
const CONTENT_EVENTS = new Set(['crashHeld', 'crashesVoid', 'quarantined', 'quarantineLifted', 'caseAgreed']);

/** Events about a process of which the last before the request's end counts. */
const STATE_EVENTS = new Set(['coordinatorState', 'trafficInForce', 'controlLost', 'coordinatorChanged']);

/** The last line of each process and event before a moment. */
function lastStates(lines: readonly logLine.LogLine[], before: string): readonly logLine.LogLine[] {
  const last = new Map<string, logLine.LogLine>();
  for (const line of lines) {
    if (STATE_EVENTS.has(line.event) && line.time <= before) {
      last.set(`${line.process} ${line.event}`, line);
    }
  }
  return [...last.values()];
}

/**
 * Puts a story together.
 *
 * @param request - identity of the request
 * @param texts - whole logs, one for each process or mixed
 * @returns the story; without lines where no log names the request
 * @example
 * ```ts
 * requestStory.collect('9c41d07be2a35f68', [entryLog, controlLog]);
 * ```
 */
export function collect(request: string, texts: readonly string[]): RequestStory {
  const all = logLine.readAll(texts);
  const own = all.filter((line) => line.fields.request === request);
  const processes = new Set(own.map((line) => line.process));
  const upstreams = new Set(
    own
      .flatMap((line) => UPSTREAM_FIELDS.map((field) => line.fields[field] ?? ''))
      .filter((name) => name !== ''),
  );
  const contents = new Set(own.map((line) => line.fields.content ?? '').filter((content) => content !== ''));
  const end = own.at(-1)?.time ?? '';
  const near = all.filter((line) => processes.has(line.process));
  const ofUpstreams = near.filter(
    (line) =>
      UPSTREAM_EVENTS.has(line.event) && line.time <= end && upstreams.has(line.fields.instance ?? ''),
  );
  const service = own.map((line) => line.fields.service).find((name) => name !== undefined);
  const ofSignals = near.filter(
    (line) => SIGNAL_EVENTS.has(line.event) && line.time <= end && line.fields.service === service,
  );
  const ofContents = all.filter(
    (line) =>
      CONTENT_EVENTS.has(line.event) &&
      line.fields.request !== request &&
      contents.has(line.fields.content ?? ''),
  );
  const leftOut = near
    .filter((line) => line.event === 'linesLeftOut')
    .reduce((sum, line) => sum + Number(line.fields.count ?? 0), 0);
  const lines =
    own.length === 0
      ? []
      : [...own, ...ofUpstreams, ...ofSignals, ...ofContents, ...lastStates(near, end)].sort(logLine.byTime);
  return { request, lines, leftOut };
}
